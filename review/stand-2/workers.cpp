#include "workers.hpp"

#include <algorithm>

#include "wrenusher/testbed/answers.hpp"

namespace stand {

using wrenusher::testbed::query;
using wrenusher::testbed::reply;
using wrenusher::value::decode;
using wrenusher::value::encode;

namespace {

std::string unit_name(const std::string& ref, std::uint32_t task) {
  return ref + "/" + std::to_string(task);
}

std::string unit_key(const std::string& ref, std::uint32_t task, std::uint64_t attempt) {
  return unit_name(ref, task) + " " + std::to_string(attempt);
}

}  // namespace

Value Job::body() const {
  Value::Map out{{"ref", ref},
                 {"queue", queue},
                 {"owner", owner},
                 {"shape", shape},
                 {"urgency", urgency},
                 {"units", std::uint64_t{units}},
                 {"cores", cores},
                 {"cards", cards},
                 {"memory_gb", memory_gb},
                 {"bundle", bundle},
                 {"image_gb", image_gb},
                 {"flavors", flavors},
                 {"site", nullptr},
                 {"same_place", false},
                 {"scatter", scatter},
                 {"standby", true},
                 {"expected_s", expected_s},
                 {"snapshot_every_s", 0.0},
                 {"snapshot_s", 0.0},
                 {"due_s", due_s > 0 ? Value(due_s) : Value()}};
  return out;
}

Fleet::Fleet(World& world) : world_(world) {
  struct Ticker {
    Fleet* fleet;
    void operator()() const {
      for (auto& [host, machine] : fleet->machines_) fleet->check_lease(*machine);
      fleet->world_.after(0.1, *this);
    }
  };
  world_.after(0.1, Ticker{this});
}

Machine& Fleet::add_up(const std::string& flavor, const std::string& zone, bool standby) {
  auto owned = std::make_unique<Machine>();
  Machine& machine = *owned;
  machine.fleet = this;
  char host[24];
  std::snprintf(host, sizeof host, "m-%06d", ++created_);
  machine.host = host;
  machine.address = free_address();
  machine.flavor = flavor;
  machine.zone = zone;
  machine.standby = standby;
  machine.rented = world_.now();
  machine.node = static_cast<std::size_t>(created_) % world_.controllers();
  machines_[machine.host] = std::move(owned);
  world_.runtime.listen(machine.address, 10000,
                        [this, &machine](const Request& request, const Responder& respond) {
                          serve_worker(machine, request, respond);
                        });
  boot(machine);
  return machine;
}

void Fleet::boot(Machine& machine) {
  machine.up = true;
  machine.lease_from = world_.now();
  schedule_report(machine, world_.site.report_s * 0.25 * (1 + static_cast<double>(created_ % 4)));
}

// ---------------------------------------------------------------- cloud

void Fleet::serve_cloud(int, const Request& request, const Responder& respond) {
  const auto body = request.body.empty() ? std::optional<Value>(Value()) : decode(request.body);
  if (request.target == "/catalog") {
    Value::List flavors;
    for (const Flavor& flavor : world_.site.flavors) {
      Value::List sites;
      for (const std::string& zone : flavor.sites) sites.emplace_back(zone);
      flavors.emplace_back(Value::Map{{"name", flavor.name},
                                      {"cores", flavor.cores},
                                      {"cards", flavor.cards},
                                      {"memory_gb", flavor.memory_gb},
                                      {"cache_gb", flavor.cache_gb},
                                      {"pull_gb_per_s", flavor.pull_gb_per_s},
                                      {"rate", flavor.rate},
                                      {"low_price", flavor.low_price},
                                      {"boot_s", flavor.boot_s},
                                      {"sites", std::move(sites)}});
    }
    respond(reply(200, Value::Map{{"flavors", std::move(flavors)}}));
  } else if (request.target == "/rentals" && request.method == "POST" && body) {
    const std::string booking = text_of(*body, "booking");
    const std::string flavor_name = text_of(*body, "flavor");
    if (const auto found = bookings_.find(booking); found == bookings_.end() && boot_factor < 0) {
      respond(reply(503, Value::Map{{"error", "no capacity"}}));
      return;
    }
    if (!bookings_.contains(booking)) {
      std::vector<std::string>& hosts = bookings_[booking];
      double boot_s = 0;
      for (const Flavor& flavor : world_.site.flavors) {
        if (flavor.name == flavor_name) boot_s = flavor.boot_s * boot_factor;
      }
      for (std::uint64_t n = (*body)["count"].count().value_or(0); n > 0; --n) {
        Machine& machine =
            add_up(flavor_name, text_of(*body, "site"), (*body)["standby"].boolean().value_or(false));
        machine.up = false;
        world_.after(boot_s, [this, &machine] {
          if (!machine.gone) boot(machine);
        });
        hosts.push_back(machine.host);
        world_.record.line("cloud: rented " + machine.host + " " + machine.flavor + " in " + machine.zone);
      }
    }
    Value::List hosts;
    for (const std::string& host : bookings_[booking]) hosts.emplace_back(host);
    respond(reply(200, Value::Map{{"hosts", std::move(hosts)}}));
  } else if (request.target == "/rentals/return" && body && (*body)["hosts"].list() != nullptr) {
    for (const Value& host : *(*body)["hosts"].list()) {
      const auto it = host.text() == nullptr ? machines_.end() : machines_.find(*host.text());
      if (it == machines_.end() || it->second->gone) continue;
      world_.record.line("cloud: " + it->first + " is returned");
      drop_units(*it->second);
      it->second->gone = true;
      it->second->up = false;
    }
    respond({200, encode(Value(Value::Map{})), 0});
  } else if (request.target.starts_with("/rentals")) {
    const std::string after = query(request.target, "from");
    Value::List rows;
    for (const auto& [host, machine] : machines_) {
      const double age = to_seconds(world_.now() - machine->rented);
      if (host <= after || machine->gone || age < world_.site.list_lag_s) continue;
      rows.emplace_back(Value::Map{{"ref", host},
                                   {"addr", machine->address},
                                   {"flavor", machine->flavor},
                                   {"site", machine->zone},
                                   {"standby", machine->standby},
                                   {"status", machine->up ? "running" : "starting"},
                                   {"held_s", age}});
      if (rows.size() == 500) break;
    }
    const bool truncated = rows.size() == 500;
    respond(reply(200, Value::Map{{"hosts", std::move(rows)}, {"truncated", truncated}}));
  } else {
    respond({400, {}, 0});
  }
}

// ---------------------------------------------------------------- reports

Value Fleet::report_body(Machine& machine) {
  Value::List units;
  units.reserve(machine.units.size());
  for (const auto& [key, unit] : machine.units) {
    Value::Map row{{"unit", unit_name(unit.ref, unit.task)}, {"try", unit.attempt}, {"status", unit.status}};
    if (!unit.cause.empty()) row.emplace_back("cause", unit.cause);
    units.emplace_back(std::move(row));
  }
  return Value::Map{{"host", machine.host},       {"addr", machine.address},    {"flavor", machine.flavor},
                    {"site", machine.zone},       {"standby", machine.standby}, {"tenure", machine.tenure},
                    {"serial", ++machine.serial}, {"epoch", machine.epoch},     {"warning_s", nullptr},
                    {"units", std::move(units)}};
}

void Fleet::schedule_report(Machine& machine, double in_s) {
  const std::uint64_t timer = ++machine.report_timer;
  world_.after(in_s, [this, &machine, timer] {
    if (timer == machine.report_timer && machine.up && !machine.in_flight) report(machine);
  });
}

void Fleet::report(Machine& machine) {
  machine.in_flight = true;
  machine.report_scheduled = false;
  machine.last_sent = world_.now();
  const std::uint64_t tenure = machine.tenure;
  const std::string body = encode(report_body(machine));
  const auto done = [this, &machine, tenure, sent = world_.now()](const CallResult& result) {
    on_answer(machine, sent, tenure, result);
  };
  if (machine.mute) {
    world_.after(4, [done] { done(CallResult{}); });
    return;
  }
  world_.call(world_.client(static_cast<int>(machine.node)), "POST", "/hello", body, 4, done);
}

void Fleet::next_node(Machine& machine) {
  machine.node = (machine.node + 1) % world_.controllers();
  schedule_report(machine, 1);
}

void Fleet::on_answer(Machine& machine, Instant sent, std::uint64_t tenure, const CallResult& result) {
  machine.in_flight = false;
  if (!machine.up) return;
  const auto body = result.answered ? decode(result.response.body) : std::nullopt;
  if (result.answered && result.response.status == 421) {
    const std::string upstream = body ? text_of(*body, "upstream") : "";
    for (std::size_t i = 0; i < world_.controllers(); ++i) {
      if (upstream == world_.name(static_cast<int>(i)) && i != machine.node) {
        machine.node = i;
        schedule_report(machine, 0.2);
        return;
      }
    }
    next_node(machine);
    return;
  }
  if (!result.answered || result.response.status != 200) {
    next_node(machine);
    return;
  }
  const std::uint64_t epoch = body ? (*body)["epoch"].count().value_or(0) : 0;
  const double spread = 0.75 + 0.5 * static_cast<double>(machine.serial % 7) / 6;
  schedule_report(machine, world_.site.report_s * spread);
  if (epoch == 0 || epoch < machine.epoch || tenure != machine.tenure) return;  // dropped
  if (epoch > machine.epoch) machine.epoch = epoch;
  machine.lease_from = std::max(machine.lease_from, sent);
  execute(machine, (*body)["orders"]);
}

/// Reports a change at once, but no more often than every half second.
void Fleet::changed(Machine& machine) {
  if (machine.report_scheduled || !machine.up) return;
  machine.report_scheduled = true;
  struct Try {
    Fleet* fleet;
    Machine* machine;
    void operator()() const {
      if (!machine->report_scheduled || !machine->up) return;
      if (machine->in_flight) {
        fleet->world_.after(0.05, *this);
        return;
      }
      ++machine->report_timer;
      fleet->report(*machine);
    }
  };
  const double wait = std::max(0.0, 0.5 - to_seconds(world_.now() - machine.last_sent));
  world_.after(wait, Try{this, &machine});
}

void Fleet::check_lease(Machine& machine) {
  if (!machine.up || to_seconds(world_.now() - machine.lease_from) <= world_.site.lease_s) return;
  world_.record.line("worker " + machine.host + ": lease expired, session " +
                     std::to_string(machine.tenure + 1) + " begins");
  drop_units(machine);
  ++machine.tenure;
  machine.lease_from = world_.now();
  changed(machine);
}

void Fleet::drop_units(Machine& machine) {
  for (auto& [key, unit] : machine.units) {
    if (unit.status == "gathering") gathering_[{unit.ref, unit.attempt}].erase(unit.task);
    if (unit.status != "ended" && unit.status != "pulling") {
      --present_[unit.ref];
      if (on_leave) on_leave(machine, unit);
    }
  }
  machine.units.clear();
}

// ---------------------------------------------------------------- commands

void Fleet::serve_worker(Machine& machine, const Request& request, const Responder& respond) {
  if (!machine.up) return;  // a machine that is off or gone gives no answer
  if (request.target == "/inspect") {
    respond(reply(200, report_body(machine)));
    return;
  }
  const auto body = decode(request.body);
  const auto epoch = body ? (*body)["epoch"].count() : std::nullopt;
  const auto tenure = body ? (*body)["tenure"].count() : std::nullopt;
  if (request.target != "/orders" || !epoch || !tenure) {
    respond({400, {}, 0});
    return;
  }
  if (*epoch < machine.epoch || *tenure != machine.tenure) {
    respond(reply(409, report_body(machine)));
    return;
  }
  if (*epoch > machine.epoch) {
    machine.epoch = *epoch;
    changed(machine);
  }
  execute(machine, (*body)["orders"]);
  respond(reply(200, report_body(machine)));
}

void Fleet::execute(Machine& machine, const Value& orders) {
  if (orders.list() == nullptr) return;
  for (const Value& order : *orders.list()) {
    const std::string verb = text_of(order, "verb");
    const std::string name = text_of(order, "unit");
    const auto slash = name.find('/');
    if (slash == std::string::npos) continue;
    const std::string ref = name.substr(0, slash);
    const auto task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
    const std::uint64_t attempt = order["try"].count().value_or(0);
    const std::string key = unit_key(ref, task, attempt);
    if (log_units_) world_.record.line("worker " + machine.host + ": " + verb + " " + key);
    if (verb == "run" && on_run && !machine.units.contains(key)) on_run(machine, key);
    if (verb == "run") {
      run(machine, ref, task, attempt);
    } else if (const auto it = machine.units.find(key); it != machine.units.end()) {
      if (verb == "halt" && it->second.status != "ended") end(machine, it->second, "stopped");
      if (verb == "reap" && it->second.status == "ended") machine.units.erase(it);
    }
  }
}

void Fleet::run(Machine& machine, const std::string& ref, std::uint32_t task, std::uint64_t attempt) {
  const std::string key = unit_key(ref, task, attempt);
  if (machine.units.contains(key)) return;
  for (const auto& [other, unit] : machine.units) {
    if (unit.ref == ref && unit.task == task && unit.status != "ended") {
      machine.units[key] = {ref, task, attempt, "ended", "in_use", {}};
      changed(machine);
      return;
    }
  }
  const auto job = jobs_.find(ref);
  if (job == jobs_.end() || task >= job->second.units) {
    machine.units[key] = {ref, task, attempt, "ended", "no_such", {}};
    changed(machine);
    return;
  }
  if (free_cores(machine) < job->second.cores - 1e-6) {
    machine.units[key] = {ref, task, attempt, "ended", "no_room", {}};
    changed(machine);
    return;
  }
  machine.units[key] = {ref, task, attempt, "pulling", "", {}};
  changed(machine);
  if (machine.images.contains(job->second.bundle)) {
    has_image(machine, key);
    return;
  }
  double rate = 1;
  for (const Flavor& flavor : world_.site.flavors) {
    if (flavor.name == machine.flavor) rate = flavor.pull_gb_per_s;
  }
  const std::uint64_t tenure = machine.tenure;
  world_.after(job->second.image_gb / (rate * pull_factor),
               [this, &machine, key, tenure, bundle = job->second.bundle] {
                 if (!machine.up || machine.tenure != tenure) return;
                 machine.images[bundle] = 1;
                 has_image(machine, key);
               });
}

void Fleet::has_image(Machine& machine, const std::string& key) {
  const auto it = machine.units.find(key);
  if (it == machine.units.end() || it->second.status != "pulling") return;
  Unit& unit = it->second;
  ++present_[unit.ref];
  if (on_start) on_start(machine, unit);
  if (results_.contains({unit.ref, unit.task})) {
    end(machine, unit, "done");
    return;
  }
  const Job& job = jobs_.at(unit.ref);
  if (job.shape != "gang") {
    begin(machine, unit);
    return;
  }
  unit.status = "gathering";
  unit.began = world_.now();
  changed(machine);
  gathering_[{unit.ref, unit.attempt}].insert(unit.task);
  const std::uint64_t tenure = machine.tenure;
  world_.after(world_.site.gang_wait_s, [this, &machine, key, tenure] {
    const auto waiting = machine.units.find(key);
    if (machine.tenure != tenure || waiting == machine.units.end() || waiting->second.status != "gathering")
      return;
    end(machine, waiting->second, "alone");
  });
  check_gang(unit.ref, unit.attempt);
}

void Fleet::check_gang(const std::string& ref, std::uint64_t attempt) {
  const Job& job = jobs_.at(ref);
  if (gathering_[{ref, attempt}].size() < job.units) return;
  gathering_.erase({ref, attempt});
  world_.record.line("gang " + ref + " starts, attempt " + std::to_string(attempt));
  for (auto& [host, machine] : machines_) {
    for (auto& [key, unit] : machine->units) {
      if (unit.ref == ref && unit.attempt == attempt && unit.status == "gathering") {
        unit.status = "running";
        unit.began = world_.now();
        changed(*machine);
      }
    }
  }
  world_.after(job.run_s, [this, ref, attempt] {
    std::uint64_t running = 0;
    for (auto& [host, machine] : machines_) {
      for (auto& [key, unit] : machine->units)
        running += unit.ref == ref && unit.attempt == attempt && unit.status == "running" ? 1 : 0;
    }
    const bool complete = running == jobs_.at(ref).units;
    for (auto& [host, machine] : machines_) {
      for (auto& [key, unit] : machine->units) {
        if (unit.ref == ref && unit.attempt == attempt && unit.status == "running")
          end(*machine, unit, complete ? "done" : "peers");
      }
    }
  });
}

void Fleet::fail_gang(const std::string& ref) {
  for (auto& [host, machine] : machines_) {
    if (!machine->up) continue;
    for (auto& [key, unit] : machine->units) {
      if (unit.ref == ref && unit.status == "running") end(*machine, unit, "peers");
    }
  }
}

void Fleet::begin(Machine& machine, Unit& unit) {
  unit.status = "running";
  unit.began = world_.now();
  changed(machine);
  const Job& job = jobs_.at(unit.ref);
  if (job.shape == "daemon") return;
  const std::uint64_t tenure = machine.tenure;
  const std::string key = unit_key(unit.ref, unit.task, unit.attempt);
  const double run_s = job.run_of ? job.run_of(unit.task) : job.run_s;
  world_.after(run_s, [this, &machine, key, tenure] {
    const auto it = machine.units.find(key);
    if (!machine.up || machine.tenure != tenure || it == machine.units.end() ||
        it->second.status != "running")
      return;
    end(machine, it->second, "done");
  });
}

void Fleet::end(Machine& machine, Unit& unit, const std::string& cause) {
  if (unit.status == "gathering") gathering_[{unit.ref, unit.attempt}].erase(unit.task);
  if (unit.status != "pulling") {
    --present_[unit.ref];
    if (on_leave) on_leave(machine, unit);
  }
  unit.status = "ended";
  unit.cause = cause;
  if (cause == "done" && results_.insert({unit.ref, unit.task}).second) {
    ++done_[unit.ref];
    if (on_done) on_done(machine, unit);
  }
  changed(machine);
}

std::uint64_t Fleet::done_count(const std::string& ref) const {
  const auto it = done_.find(ref);
  return it == done_.end() ? 0 : it->second;
}

bool Fleet::on_machine(const std::string& ref) const {
  const auto it = present_.find(ref);
  return it != present_.end() && it->second > 0;
}

double Fleet::free_cores(const Machine& machine) const {
  double free = 0;
  for (const Flavor& flavor : world_.site.flavors) {
    if (flavor.name == machine.flavor) free = flavor.cores;
  }
  for (const auto& [key, unit] : machine.units) {
    if (unit.status != "ended") free -= jobs_.at(unit.ref).cores;
  }
  return free;
}

}  // namespace stand

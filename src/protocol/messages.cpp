#include "wrenusher/protocol/messages.hpp"

#include <algorithm>
#include <charconv>

#include "wrenusher/settings/settings.hpp"

namespace wrenusher::protocol {

namespace {

constexpr double kMaxAmount = 1e9;
constexpr double kMaxSeconds = 1e9;
constexpr std::size_t kMaxDeviceNames = 16;
constexpr std::uint64_t kMaxDeviceCount = 1000;

std::optional<double> amount(const Value& value, double most) {
  const auto n = value.number();
  if (!n || *n < 0 || *n > most) return std::nullopt;
  return n;
}

/// A name as used for queues, teams, bundles, types and zones.
const std::string* name(const Value& value) {
  const std::string* s = value.text();
  return s != nullptr && !s->empty() && s->size() <= 200 ? s : nullptr;
}

std::optional<JobType> read_job_type(const std::string& s) {
  if (s == "sweep") return JobType::array;
  if (s == "gang") return JobType::gang;
  if (s == "daemon") return JobType::service;
  return std::nullopt;
}

std::optional<Priority> read_priority(const std::string& s) {
  if (s == "prod") return Priority::prod;
  if (s == "high") return Priority::high;
  if (s == "normal") return Priority::normal;
  if (s == "low") return Priority::low;
  return std::nullopt;
}

constexpr const char* kJobTypeNames[] = {"sweep", "gang", "daemon"};
constexpr const char* kPriorityNames[] = {"prod", "high", "normal", "low"};

std::optional<TaskStatus> read_status(const std::string& s) {
  if (s == "pulling") return TaskStatus::fetching_image;
  if (s == "gathering") return TaskStatus::waiting_for_gang;
  if (s == "running") return TaskStatus::running;
  if (s == "saving") return TaskStatus::checkpointing;
  if (s == "ended") return TaskStatus::exited;
  return std::nullopt;
}

/// "req-000412/3" into job and task.
bool split_task_name(const std::string& task_name, std::string& job_id, std::uint32_t& task) {
  const auto slash = task_name.find('/');
  if (slash == std::string::npos) return false;
  job_id = task_name.substr(0, slash);
  const char* end = task_name.data() + task_name.size();
  const auto [at, err] = std::from_chars(task_name.data() + slash + 1, end, task);
  return err == std::errc{} && at == end && !job_id.empty();
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cores += other.cores;
  gpus += other.gpus;
  memory += other.memory;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cores -= other.cores;
  gpus -= other.gpus;
  memory -= other.memory;
  return *this;
}

std::uint32_t count_fitting(const Resources& need, const Resources& room, std::uint32_t most) {
  Amount n = most;
  if (need.cores > 0) n = std::min(n, room.cores / need.cores);
  if (need.gpus > 0) n = std::min(n, room.gpus / need.gpus);
  if (need.memory > 0) n = std::min(n, room.memory / need.memory);
  if (room.cores < 0 || room.gpus < 0 || room.memory < 0) n = 0;
  return static_cast<std::uint32_t>(std::max<Amount>(n, 0));
}

bool JobSpec::allows(const std::string& machine_type, const std::string& wanted_zone, bool spot) const {
  if (spot && !spot_allowed) return false;
  if (!zone.empty() && zone != wanted_zone) return false;
  return machine_types.empty() ||
         std::find(machine_types.begin(), machine_types.end(), machine_type) != machine_types.end();
}

std::uint32_t Layout::Spread::limit(std::uint32_t task_count) const {
  if (max_tasks > 0) return max_tasks;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(share * task_count - 1e-9)));
}

const std::map<std::string, std::uint32_t>& JobSpec::devices() const {
  static const std::map<std::string, std::uint32_t> kNone;
  return layout ? layout->devices : kNone;
}

bool valid_job_id(std::string_view job_id) {
  if (!job_id.starts_with("req-") || job_id.size() < 5 || job_id.size() > 64) return false;
  return std::all_of(job_id.begin() + 4, job_id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

namespace {

/// Takes the fields of a submission one by one and keeps the first fault.
class SpecReader {
 public:
  explicit SpecReader(const Value& value) : v_(value) {}

  std::string text(const char* field) {
    const std::string* s = name(v_[field]);
    if (s == nullptr) fail(field, "must be a text of 1 to 200 bytes");
    return s == nullptr ? std::string() : *s;
  }
  double number(const char* field, double most) {
    const auto n = amount(v_[field], most);
    if (!n) fail(field, "must be a number from 0 to a thousand million");
    return n.value_or(0);
  }
  bool boolean(const char* field) {
    const auto b = v_[field].boolean();
    if (!b) fail(field, "must be true or false");
    return b.value_or(false);
  }
  Micros seconds(const char* field) { return from_seconds(number(field, kMaxSeconds)); }
  void fail(const char* field, const char* what) {
    if (!fault_.field.empty()) return;
    const bool there = !v_[std::string_view(field).substr(0, std::string_view(field).find('.'))].is_null();
    fault_ = {field, there ? what : std::string("is missing; it ") + what};
  }
  bool good() const { return fault_.field.empty(); }
  const InvalidField& fault() const { return fault_; }

 private:
  const Value& v_;
  InvalidField fault_;
};

/// Fields that a map may have and no others: a layout that is misspelt must not pass for none.
bool only(const Value& value, std::initializer_list<std::string_view> known) {
  return value.map() != nullptr &&
         std::all_of(value.map()->begin(), value.map()->end(), [&](const Value::Field& field) {
           return std::find(known.begin(), known.end(), field.first) != known.end();
         });
}

std::optional<Layout> read_layout(const Value& value, SpecReader& reader) {
  Layout out;
  const auto must = [](const Value& part) -> std::optional<bool> {
    if (part["must"].is_null()) return true;
    return part["must"].boolean();
  };
  if (!only(value, {"spread", "together", "devices"})) {
    reader.fail("layout", "must be a map of spread, together and devices");
    return std::nullopt;
  }
  if (const Value& s = value["spread"]; !s.is_null()) {
    const std::string* level = name(s["level"]);
    const auto most = s["most"].count();
    const auto share = s["share"].number();
    const bool limit = s["most"].is_null()
                           ? share && *share > 0 && *share <= 1
                           : s["share"].is_null() && most && *most >= 1 && *most <= kMaxTasksPerJob;
    if (!only(s, {"level", "most", "share", "must"}) || level == nullptr || !limit || !must(s)) {
      reader.fail(
          "layout.spread",
          "must be a map of level, most (1 to 100000) or share (above 0, to 1), and must (true or false)");
      return std::nullopt;
    }
    out.spread = {*level, static_cast<std::uint32_t>(most.value_or(0)), share.value_or(0), *must(s)};
  }
  if (const Value& t = value["together"]; !t.is_null()) {
    const std::string* level = name(t["level"]);
    if (!only(t, {"level", "must"}) || level == nullptr || !must(t)) {
      reader.fail("layout.together", "must be a map of level and must (true or false)");
      return std::nullopt;
    }
    out.colocation = {*level, *must(t)};
  }
  if (const Value& d = value["devices"]; !d.is_null()) {
    bool good = d.map() != nullptr && d.map()->size() <= kMaxDeviceNames;
    for (std::size_t i = 0; good && i < d.map()->size(); ++i) {
      const auto& [device, n] = (*d.map())[i];
      const auto count = n.count();
      good = !device.empty() && device.size() <= 200 && count && *count >= 1 && *count <= kMaxDeviceCount;
      if (good) out.devices[device] = static_cast<std::uint32_t>(*count);
    }
    if (!good) {
      reader.fail("layout.devices", "must be a map of 16 names at most, each with a count from 1 to 1000");
      return std::nullopt;
    }
  }
  return out;
}

Value write_layout(const Layout& layout) {
  Value::Map out;
  if (layout.spread) {
    Value::Map s{{"level", layout.spread->level}, {"must", layout.spread->required}};
    if (layout.spread->max_tasks > 0) {
      s.emplace_back("most", std::uint64_t{layout.spread->max_tasks});
    } else {
      s.emplace_back("share", layout.spread->share);
    }
    out.emplace_back("spread", std::move(s));
  }
  if (layout.colocation)
    out.emplace_back("together",
                     Value::Map{{"level", layout.colocation->level}, {"must", layout.colocation->required}});
  if (!layout.devices.empty()) {
    Value::Map d;
    for (const auto& [device, n] : layout.devices) d.emplace_back(device, std::uint64_t{n});
    out.emplace_back("devices", std::move(d));
  }
  return out;
}

}  // namespace

std::optional<JobSpec> read_spec(const Value& value, InvalidField* fault) {
  SpecReader reader(value);
  JobSpec spec;
  spec.job_id = reader.text("ref");
  if (!valid_job_id(spec.job_id)) reader.fail("ref", "must be req- and digits, 64 bytes at most");
  spec.job_class = reader.text("queue");
  spec.team = reader.text("owner");
  if (const auto type = read_job_type(reader.text("shape"))) {
    spec.type = *type;
  } else {
    reader.fail("shape", "must be sweep, gang or daemon");
  }
  if (const auto priority = read_priority(reader.text("urgency"))) {
    spec.priority = *priority;
  } else {
    reader.fail("urgency", "must be prod, high, normal or low");
  }
  const auto task_count = value["units"].count();
  if (!task_count || *task_count < 1 || *task_count > kMaxTasksPerJob)
    reader.fail("units", "must be a whole number from 1 to 100000");
  spec.task_count =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(task_count.value_or(1), kMaxTasksPerJob));
  spec.resources = {to_amount(reader.number("cores", kMaxAmount)),
                    to_amount(reader.number("cards", kMaxAmount)),
                    to_amount(reader.number("memory_gb", kMaxAmount))};
  spec.image = reader.text("bundle");
  spec.image_gb = reader.number("image_gb", kMaxAmount);
  spec.single_zone = reader.boolean("same_place");
  spec.spread_zones = reader.boolean("scatter");
  spec.spot_allowed = reader.boolean("standby");
  spec.expected_runtime = reader.seconds("expected_s");
  spec.checkpoint_interval = reader.seconds("snapshot_every_s");
  spec.checkpoint_time = reader.seconds("snapshot_s");
  if (const Value& f = value["flavors"]; !f.is_null()) {
    const bool good =
        f.list() != nullptr && !f.list()->empty() && f.list()->size() <= 1000 &&
        std::all_of(f.list()->begin(), f.list()->end(), [](const Value& i) { return name(i) != nullptr; });
    if (good) {
      for (const Value& item : *f.list()) spec.machine_types.push_back(*item.text());
    } else {
      reader.fail("flavors", "must be a list of 1 to 1000 names, or null");
    }
  }
  if (!value["site"].is_null()) spec.zone = reader.text("site");
  if (!value["due_s"].is_null()) spec.deadline = reader.seconds("due_s");
  if (const Value& l = value["layout"]; !l.is_null()) spec.layout = read_layout(l, reader);
  if (reader.good()) return spec;
  if (fault != nullptr) *fault = reader.fault();
  return std::nullopt;
}

Value write_spec(const JobSpec& spec) {
  Value::List machine_types;
  for (const std::string& f : spec.machine_types) machine_types.emplace_back(f);
  Value::Map fields{{"ref", spec.job_id},
                    {"queue", spec.job_class},
                    {"owner", spec.team},
                    {"shape", kJobTypeNames[static_cast<int>(spec.type)]},
                    {"urgency", kPriorityNames[static_cast<int>(spec.priority)]},
                    {"units", std::uint64_t{spec.task_count}},
                    {"cores", from_amount(spec.resources.cores)},
                    {"cards", from_amount(spec.resources.gpus)},
                    {"memory_gb", from_amount(spec.resources.memory)},
                    {"bundle", spec.image},
                    {"image_gb", spec.image_gb},
                    {"same_place", spec.single_zone},
                    {"scatter", spec.spread_zones},
                    {"standby", spec.spot_allowed},
                    {"expected_s", to_seconds(spec.expected_runtime)},
                    {"snapshot_every_s", to_seconds(spec.checkpoint_interval)},
                    {"snapshot_s", to_seconds(spec.checkpoint_time)}};
  if (!machine_types.empty()) fields.emplace_back("flavors", std::move(machine_types));
  if (!spec.zone.empty()) fields.emplace_back("site", spec.zone);
  if (spec.deadline) fields.emplace_back("due_s", to_seconds(*spec.deadline));
  if (spec.layout) fields.emplace_back("layout", write_layout(*spec.layout));
  return fields;
}

std::optional<WorkerReport> read_report(const Value& value) {
  WorkerReport report;
  const std::string* host = name(value["host"]);
  const std::string* address = value["addr"].text();
  const std::string* machine_type = value["flavor"].text();
  const std::string* zone = value["site"].text();
  const auto standby = value["standby"].boolean();
  const auto incarnation = value["tenure"].count();
  const auto sequence = value["serial"].count();
  const auto fencing_token = value["epoch"].count();
  const Value::List* task_count = value["units"].list();
  if (!host || !address || !machine_type || !zone || !standby || !incarnation || !sequence ||
      !fencing_token || !task_count)
    return std::nullopt;
  report = {*host,        *address,  *machine_type,  *zone,        *standby,
            *incarnation, *sequence, *fencing_token, std::nullopt, {}};
  if (const auto w = value["warning_s"].number())
    report.eviction_notice = from_seconds(std::clamp(*w, 0.0, kMaxSeconds));
  report.tasks.reserve(task_count->size());
  for (const Value& u : *task_count) {
    TaskReport unit;
    const std::string* id = u["unit"].text();
    const auto attempt = u["try"].count();
    const std::string* status = u["status"].text();
    if (!id || !attempt || !status || !split_task_name(*id, unit.job_id, unit.task)) return std::nullopt;
    const auto task_status = read_status(*status);
    if (!task_status) return std::nullopt;
    unit.status = *task_status;
    unit.attempt = *attempt;
    if (const std::string* cause = u["cause"].text()) unit.exit_reason = *cause;
    unit.progress_saved = u["kept"].boolean().value_or(false);
    report.tasks.push_back(std::move(unit));
  }
  return report;
}

std::string task_name(const std::string& job_id, std::uint32_t task) {
  return job_id + "/" + std::to_string(task);
}

Value write_commands(const std::vector<WorkerCommand>& commands) {
  static constexpr const char* verbs[] = {"run", "halt", "reap"};
  Value::List out;
  out.reserve(commands.size());
  for (const WorkerCommand& command : commands) {
    Value::Map fields{{"verb", verbs[static_cast<int>(command.verb)]},
                      {"unit", task_name(command.job_id, command.task)},
                      {"try", command.attempt}};
    if (command.verb == WorkerCommand::Verb::stop)
      fields.emplace_back("leeway_s", to_seconds(command.grace_period));
    out.emplace_back(std::move(fields));
  }
  return out;
}

std::optional<Catalog> read_catalog(const Value& value) {
  const Value::List* list = value["flavors"].list();
  if (list == nullptr) return std::nullopt;
  Catalog out;
  for (const Value& f : *list) {
    MachineType machine_type;
    const std::string* n = name(f["name"]);
    const auto cores = amount(f["cores"], kMaxAmount);
    const auto gpus = amount(f["cards"], kMaxAmount);
    const auto memory = amount(f["memory_gb"], kMaxAmount);
    const Value::List* sites = f["sites"].list();
    if (!n || !cores || !memory || !sites) return std::nullopt;
    machine_type.name = *n;
    machine_type.capacity = {to_amount(*cores), to_amount(gpus.value_or(0)), to_amount(*memory)};
    machine_type.image_cache_gb = f["cache_gb"].number().value_or(0);
    machine_type.fetch_gb_per_s = std::max(1e-3, f["pull_gb_per_s"].number().value_or(0));
    machine_type.price = f["rate"].number().value_or(0);
    machine_type.spot_price = f["low_price"].number().value_or(machine_type.price);
    machine_type.boot_time = from_seconds(std::clamp(f["boot_s"].number().value_or(0), 0.0, kMaxSeconds));
    for (const Value& s : *sites) {
      if (const std::string* z = name(s)) machine_type.zones.push_back(*z);
    }
    out.emplace(machine_type.name, std::move(machine_type));
  }
  return out;
}

std::optional<Rental> read_rental(const Value& value) {
  const std::string* job_id = name(value["ref"]);
  const std::string* machine_type = value["flavor"].text();
  const std::string* zone = value["site"].text();
  const std::string* status = value["status"].text();
  if (!job_id || !machine_type || !zone || !status) return std::nullopt;
  Rental rental;
  rental.host = *job_id;
  rental.machine_type = *machine_type;
  rental.zone = *zone;
  rental.status = *status;
  if (const std::string* a = value["addr"].text()) rental.address = *a;
  rental.spot = value["standby"].boolean().value_or(false);
  rental.age = from_seconds(std::clamp(value["held_s"].number().value_or(0), 0.0, kMaxSeconds));
  return rental;
}

std::optional<InvalidField> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team) {
  if (team == nullptr) return InvalidField{"owner", "the team '" + spec.team + "' is not known"};
  const bool whole = spec.type != JobType::array;
  const Resources all = whole ? spec.resources * static_cast<std::int64_t>(spec.task_count) : spec.resources;
  const char* who = whole ? "all its tasks together need" : "a task needs";
  if (team->cores_max > 0 && all.cores > to_amount(team->cores_max))
    return InvalidField{"cores", std::string(who) + " more cores than the team may use"};
  if (team->gpus_max > 0 && all.gpus > to_amount(team->gpus_max))
    return InvalidField{"cards", std::string(who) + " more cards than the team may use"};
  // An array may do with half of its tasks at a time; what runs as a whole may not.
  if (whole && spec.task_count > 1 && spec.spread_zones && (spec.single_zone || !spec.zone.empty()))
    return InvalidField{"scatter", "its tasks must be in one zone and may not be"};
  for (const auto& [name, flavor] : catalog) {
    if (!spec.resources.fits(flavor.capacity)) continue;
    for (const std::string& zone : flavor.zones) {
      if (spec.allows(name, zone, false)) return std::nullopt;
    }
  }
  return InvalidField{spec.machine_types.empty() && spec.zone.empty() ? "cores"
                      : spec.machine_types.empty()                    ? "site"
                                                                      : "flavors",
                      "a task fits no machine type that the job allows"};
}

}  // namespace wrenusher::protocol

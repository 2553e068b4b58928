#include "wrenusher/testbed/world.hpp"

#include <algorithm>

namespace wrenusher::testbed {

namespace {

constexpr Micros kCheckInterval = from_millis(100);
constexpr Micros kAgreementCheckInterval = from_seconds(1);
constexpr Micros kRoomCheckInterval = from_seconds(2);
/// A mass cancellation takes jobs with at least this remaining runtime, cancels them all within
/// kMassCancelSeconds and hangs at most kMaxHungMachines of their machines.
constexpr Micros kMinRemainingRuntime = from_seconds(20);
constexpr double kMassCancelSeconds = 0.2;
constexpr std::size_t kMaxHungMachines = 8;
constexpr int kDefaultMassCancelJobs = 8;
/// The maximum delay of a late copy of a message, in worker leases.
constexpr double kMaxCopyDelayLeases = 2.5;
const Endpoint kStateEndpoint = "10.2.0.1:2379";
const Endpoint kCloudEndpoint = "10.2.0.2:8443";

std::string controller_name(int i) {
  return "c" + std::to_string(i);
}
Endpoint client_endpoint(int i) {
  return "10.0.0." + std::to_string(i + 1) + ":8080";
}
Endpoint peer_endpoint(int i) {
  return "10.0.0." + std::to_string(i + 1) + ":8081";
}

std::vector<std::pair<std::string, Endpoint>> controller_endpoints(int count) {
  std::vector<std::pair<std::string, Endpoint>> out;
  for (int i = 0; i < count; ++i) out.emplace_back(controller_name(i), client_endpoint(i));
  return out;
}

std::vector<Endpoint> client_endpoints(int count) {
  std::vector<Endpoint> out;
  for (int i = 0; i < count; ++i) out.push_back(client_endpoint(i));
  return out;
}

}  // namespace

class World::NodeRuntime : public Runtime {
 public:
  NodeRuntime(SimTransport& transport, std::string name, double drift)
      : random_(transport.random()()), transport_(transport), name_(std::move(name)), drift_(drift) {}
  bool alive = true;
  Instant stalled_until{};

  Instant now() const override {
    return Instant{Micros{static_cast<std::int64_t>(
        static_cast<double>(transport_.now().time_since_epoch().count()) * drift_)}};
  }
  WallTime wall_time() const override {
    return WallTime{transport_.now().time_since_epoch() + from_seconds(1e9)};
  }
  std::mt19937_64& random() override { return random_; }
  void post(std::function<void()> f) override { after(Micros{0}, std::move(f)); }
  void after(Micros delay, std::function<void()> f) override {
    transport_.at(delay, [this, f = std::move(f)]() mutable { run(std::move(f)); });
  }
  void call(const Endpoint& to, Request request, Micros timeout, CallHandler done) override {
    transport_.send(name_, to, std::move(request), timeout,
                    [this, done = std::move(done)](CallResult o) mutable {
                      run([done, o = std::move(o)]() mutable { done(std::move(o)); });
                    });
  }
  /// Runs `f`, after the end of the pause if the controller is paused. Does nothing after the controller's
  /// process has ended.
  void run(std::function<void()> f) {
    if (!alive) return;
    if (transport_.now() < stalled_until) {
      transport_.at(stalled_until - transport_.now(),
                    [this, f = std::move(f)]() mutable { run(std::move(f)); });
    } else {
      f();
    }
  }

 private:
  std::mt19937_64 random_;
  SimTransport& transport_;
  std::string name_;
  double drift_;
};

struct World::Node {
  std::string name;
  NodeRuntime runtime;
  controller::Controller controller;
  Node(SimTransport& transport, const std::string& n, double drift, const Settings& s,
       topology_loader::Reader reader)
      : name(n), runtime(transport, n, drift), controller(runtime, s, std::move(reader)) {}
};

Site World::default_site(Settings settings) {
  Site site;
  site.name = "small";
  site.settings = std::move(settings);
  const auto type = [](const char* name, double cores, double gpus, double memory, double cache, double price,
                       double spot_price, double boot, std::vector<std::string> zones, int spot,
                       int ordinary) {
    MachineSupply t;
    t.type = {name,
              {to_amount(cores), to_amount(gpus), to_amount(memory)},
              cache,
              1,
              price,
              spot_price,
              from_seconds(boot),
              std::move(zones)};
    t.spot = spot;
    t.ordinary = ordinary;
    return t;
  };
  site.types = {type("small", 16, 0, 64, 30, 1, 0.3, 8, {"a", "b"}, 6, 3),
                type("large", 64, 4, 256, 50, 4, 1.1, 12, {"a"}, 3, 2)};
  return site;
}

Settings World::small_site() {
  Settings s;
  s.zones = {"a", "b"};
  s.teams = {{"red", 32, 96, 0, 0}, {"blue", 0, 0, 0, 0}};
  s.report_interval = from_seconds(1);
  s.worker_lease = from_seconds(10);
  s.gang_start_timeout = from_seconds(20);
  s.gang_peer_timeout = from_seconds(3);
  s.cancel_deadline = from_seconds(30);
  s.state_rps = 200;
  s.state_write_rps = 40;
  s.value_kb = 16;
  s.txn_ops = 16;
  s.cloud_rps = 4;
  s.list_lag = from_seconds(4);
  s.max_sockets = 600;
  return s;
}

JobSpec World::job(int number, std::uint32_t units, double cores, double run_s) {
  JobSpec s;
  s.job_id = "req-" + std::to_string(100000 + number);
  s.job_class = "work";
  s.team = number % 2 == 0 ? "red" : "blue";
  s.task_count = units;
  s.resources = {to_amount(cores), 0, to_amount(2)};
  s.image = "img-" + std::to_string(number % 3);
  s.image_gb = 2;
  s.spot_allowed = true;
  s.expected_runtime = from_seconds(run_s);
  return s;
}

World::World(std::uint64_t seed, Settings settings, int scale)
    : World(seed, default_site(std::move(settings)), scale) {}

World::World(std::uint64_t seed, Site site, int scale)
    : site_(std::move(site)),
      checker(site_.settings, site_.topology),
      transport_(seed),
      kv_service_(transport_, limits_of(site_.settings), std::make_unique<MemoryStorage>()),
      machines_(transport_, site_, checker),
      cloud_(transport_, site_, machines_, scale),
      balancer_(transport_, client_endpoints(site_.controllers)),
      users_(transport_, balancer_, machines_, checker) {
  transport_.links.zone_of = [this](const std::string& name) -> std::string {
    for (int i = 0; i < site_.controllers; ++i) {
      if (name == controller_name(i))
        return site_.settings.zones[static_cast<std::size_t>(i) % site_.settings.zones.size()];
    }
    return machines_.zone_of(name);
  };
  transport_.serve_at(kStateEndpoint, "state", LinkType::state,
                      [this](const std::string& from, const Request& r, const Responder& a) {
                        kv_service_.serve(from, r, a);
                      });
  transport_.serve_at(
      kCloudEndpoint, "cloud", LinkType::cloud,
      [this](const std::string& from, const Request& r, const Responder& a) { cloud_.serve(from, r, a); });
  kv_service_.on_saved = [this](const WriteBatch& batch) { transport_.digests.stored(now(), batch); };
  machines_.on_end = [this](const std::string& job_id) { users_.ended(job_id); };
  machines_.controllers(controller_endpoints(site_.controllers));
  cloud_.provide_now();
  nodes_.resize(static_cast<std::size_t>(site_.controllers));
  for (int i = 0; i < site_.controllers; ++i) start_node(i);
  balancer_.start();
  machines_.start();
  observe();
}

World::~World() = default;

void World::start_node(int i) {
  const std::string name = controller_name(i);
  Settings settings = site_.settings;
  settings.node = name;
  settings.zone = settings.zones[static_cast<std::size_t>(i) % settings.zones.size()];
  settings.client_listen = client_endpoint(i);
  settings.peer_listen = peer_endpoint(i);
  settings.state = kStateEndpoint;
  settings.cloud = kCloudEndpoint;
  for (int k = 0; k < site_.controllers; ++k) {
    if (k != i)
      settings.peers.push_back({controller_name(k),
                                settings.zones[static_cast<std::size_t>(k) % settings.zones.size()],
                                peer_endpoint(k)});
  }
  auto& node = nodes_[static_cast<std::size_t>(i)];
  if (!site_.topology_text.empty()) settings.tunables.topology = "topology.yaml";
  node = std::make_unique<Node>(transport_, name, 1.0 + uniform(0, 0.0005), settings,
                                [this](const std::string&) { return std::optional(site_.topology_text); });
  Node* started = node.get();
  transport_.serve_at(client_endpoint(i), name, LinkType::client,
                      [this, started](const std::string&, const Request& request, const Responder& respond) {
                        started->runtime.run([this, started, request, respond] {
                          started->controller.serve_client(
                              request, [this, started, request, respond](const Response& response) {
                                checker.given(now(), started->name, request, response);
                                respond(response);
                              });
                        });
                      });
  transport_.serve_at(peer_endpoint(i), name, LinkType::peer,
                      [started](const std::string&, const Request& request, const Responder& respond) {
                        started->runtime.run([started, request, respond] {
                          started->controller.serve_peer(request, respond);
                        });
                      });
  started->controller.failover_finished().connect(
      started->runtime, [this](const events::FailoverTimes& times) {
        failovers_.push_back({now() - times.reported_after, times});
      });
  started->controller.start();
}

/// Checks conditions that are no rules of the protocol themselves but are preconditions of several rules: at
/// most one valid leadership lease, controllers whose incremental state agrees with its recomputation, and no
/// job that waits although there is room for it.
void World::observe() {
  if (checker.all_finished() && now().time_since_epoch() % kRoomCheckInterval < kCheckInterval) {
    for (const std::string& job_id : checker.open()) {
      const JobSpec& spec = checker.spec(job_id);
      // Gangs are left out: the model does not compute whether all tasks of a gang have room at once.
      if (spec.type != JobType::gang)
        checker.waits(now(), job_id, !checker.on_a_machine(job_id) && machines_.has_room(spec));
    }
  }
  checker.leaders(static_cast<int>(std::count_if(
      nodes_.begin(), nodes_.end(), [](const auto& n) { return n && n->controller.lease_valid(); })));
  if (now().time_since_epoch() % kAgreementCheckInterval < kCheckInterval) {
    for (const auto& n : nodes_) {
      if (n) checker.check_agreement(n->controller.disagreement());
    }
  }
  at(kCheckInterval, [this] { observe(); });
}

bool World::in_domain(const std::string& host, const std::string& domain) const {
  if (!site_.topology || !host.starts_with("m-")) return false;
  const topology::MachineLocation place =
      site_.topology->find(host, "", machines_.type_of(host), machines_.zone_of(host));
  return std::any_of(place.by_level.begin(), place.by_level.end(), [&](topology::DomainId id) {
    return id != topology::kNoDomain && site_.topology->domain(id).name == domain;
  });
}

std::vector<std::string> World::hosts_in(const std::string& domain) const {
  std::vector<std::string> out = machines_.up();
  std::erase_if(out, [&](const std::string& h) { return !in_domain(h, domain); });
  return out;
}

void World::cut_domain(const std::string& domain, LinkCut how) {
  transport_.links.cut_group([this, domain](const std::string& who) { return in_domain(who, domain); }, how);
}

void World::kill_domain(const std::string& domain) {
  for (const std::string& h : hosts_in(domain)) die(h);
}

void World::send_commands(int controller, const Request& request, const CallHandler& done, Micros within) {
  transport_.send("user", client_endpoint(controller), request, within, done);
}

std::optional<Response> World::ask(int controller, const Request& request, Micros within) {
  auto out = std::make_shared<std::optional<Response>>();
  transport_.send("user", client_endpoint(controller), request, within, [out](const CallResult& o) {
    if (o.answered) *out = o.response;
  });
  const Instant end = now() + within;
  while (!out->has_value() && now() < end) run(from_millis(10));
  return *out;
}

void World::crash(int i, Micros back_after) {
  auto& n = nodes_[static_cast<std::size_t>(i)];
  if (!n) return;
  n->runtime.alive = false;
  transport_.unserve(client_endpoint(i));
  transport_.unserve(peer_endpoint(i));
  crashed_nodes_.push_back(std::move(n));  // pending events still refer to the node
  at(back_after, [this, i] { start_node(i); });
}

void World::stall(int i, Micros how_long) {
  if (const auto& n = nodes_[static_cast<std::size_t>(i)]) n->runtime.stalled_until = now() + how_long;
}

void World::isolate(const std::string& who, LinkCut how, const std::set<std::string>& but) {
  std::set<std::string> others{"state", "cloud", "user"};
  for (int i = 0; i < site_.controllers; ++i) others.insert(controller_name(i));
  for (const std::string& host : machines_.up()) others.insert(host);
  others.erase(who);
  for (const std::string& o : others) {
    if (!but.contains(o)) cut(who, o, how);
  }
}

void World::leave_alone(int controller, LinkCut how) {
  cut(controller_name(controller), "state", how);
  for (int i = 0; i < site_.controllers; ++i) {
    if (i != controller) cut(controller_name(controller), controller_name(i), how);
  }
}

void World::drop_inbound(const std::string& host, LinkCut how) {
  for (int i = 0; i < site_.controllers; ++i) cut_one_way(controller_name(i), host, how);
}

void World::drop_replies(const std::string& host, LinkCut how) {
  for (int i = 0; i < site_.controllers; ++i) transport_.links.cut_requests(host, controller_name(i), how);
}

void World::cancel_many(int count, Micros hang_for) {
  const auto jobs = machines_.with_long_to_go(kMinRemainingRuntime);
  std::vector<std::string> job_ids;
  for (const auto& [ref, hosts] : jobs) job_ids.push_back(ref);
  std::erase_if(job_ids, [&](const std::string& job_id) { return checker.asked(job_id); });
  std::shuffle(job_ids.begin(), job_ids.end(), transport_.random());
  job_ids.resize(std::min(job_ids.size(), static_cast<std::size_t>(count)));
  std::set<std::string> job_hosts;
  for (const std::string& job_id : job_ids) {
    at(from_seconds(uniform(0, kMassCancelSeconds)), [this, job_id] { cancel(job_id); });
    job_hosts.insert(jobs.at(job_id).begin(), jobs.at(job_id).end());
  }
  std::vector<std::string> hosts_to_hang(job_hosts.begin(), job_hosts.end());
  std::shuffle(hosts_to_hang.begin(), hosts_to_hang.end(), transport_.random());
  hosts_to_hang.resize(hang_for.count() > 0 ? std::min(hosts_to_hang.size(), kMaxHungMachines) : 0);
  for (const std::string& host : hosts_to_hang) hang(host, hang_for);
}

events::Readiness World::ready(int controller) const {
  const auto& n = nodes_[static_cast<std::size_t>(controller)];
  return n ? n->controller.readiness() : events::Readiness::cold;
}

int World::leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i] && nodes_[i]->controller.lease_valid()) return static_cast<int>(i);
  }
  return -1;
}

std::uint64_t World::state_requests(const std::string& who) const {
  const auto it = kv_service_.requests().find(who);
  return it == kv_service_.requests().end() ? 0 : it->second;
}

std::uint64_t World::terms() const {
  const KvEntry* e = kv_service_.find("epoch");
  return e == nullptr ? 0 : e->value["epoch"].count().value_or(0);
}

int World::controller_number(const std::string& target) {
  for (int i = 0; i < site_.controllers; ++i) {
    if (target == controller_name(i)) return i;
  }
  if (target == "leader" && leader() >= 0) return leader();
  return pick(site_.controllers);
}

void World::inject_fault(const FaultSpec& fault) {
  const auto choose_hosts = [&](std::vector<std::string> hosts) {
    std::shuffle(hosts.begin(), hosts.end(), transport_.random());
    const auto n =
        fault.share > 0 ? static_cast<std::size_t>(fault.share * static_cast<double>(hosts.size())) : 1;
    hosts.resize(std::min(hosts.size(), n));
    return hosts;
  };
  const auto at_fault_end = [&](std::function<void()> f) { at(fault.lasts, std::move(f)); };
  if (fault.what == "controller_crash") {
    crash(controller_number(fault.whom), fault.lasts);
  } else if (fault.what == "all_crash") {
    for (int i = 0; i < site_.controllers; ++i) crash(i, fault.lasts);
  } else if (fault.what == "rolling_restart") {
    for (int i = 0; i < site_.controllers; ++i) at(fault.lasts * i, [this, i] { crash(i, from_seconds(3)); });
  } else if (fault.what == "controller_cut") {
    isolate(controller_name(controller_number(fault.whom)), pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "controller_stalls") {
    stall(controller_number(fault.whom), fault.lasts);
  } else if (fault.what == "controller_alone") {
    leave_alone(controller_number(fault.whom.empty() ? "leader" : fault.whom),
                pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "controller_flickers") {
    // Repeated crashes, each with a restart within a second.
    const int c = controller_number(fault.whom);
    for (Micros offset{}; offset < fault.lasts; offset += from_seconds(uniform(0.3, 3)))
      at(offset, [this, c] { crash(c, from_seconds(uniform(0.05, 0.9))); });
  } else if (fault.what == "machine_deaf") {
    for (const std::string& h :
         fault.whom.empty() ? choose_hosts(hosts()) : std::vector<std::string>{fault.whom})
      drop_inbound(h, pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "machine_mute") {
    for (const std::string& h :
         fault.whom.empty() ? choose_hosts(hosts()) : std::vector<std::string>{fault.whom})
      drop_replies(h, pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "mass_cancel") {
    cancel_many(fault.count > 0 ? fault.count : kDefaultMassCancelJobs, fault.lasts);
  } else if (fault.what == "machine_reborn") {
    for (const std::string& h :
         fault.whom.empty() ? choose_hosts(hosts()) : std::vector<std::string>{fault.whom})
      restart_worker(h);
  } else if (fault.what == "late_copies") {
    copy_late({fault.share > 0 ? fault.share : 0.2,
               from_seconds(1),
               Micros{static_cast<std::int64_t>(to_seconds(site_.settings.worker_lease) *
                                                kMaxCopyDelayLeases * 1e6)},
               {}});
    at_fault_end([this] { copy_late({}); });
  } else if (fault.what == "late_writes") {
    write_late(fault.share > 0 ? fault.share : 0.2);
    at_fault_end([this] { write_late(0); });
  } else if (fault.what == "lost_answers") {
    SimTransport::AnswerLoss loss;
    loss.share = fault.share > 0 ? fault.share : 0.2;
    if (!fault.whom.empty()) loss.keys = {fault.whom};
    at_fault_end([this, number = lose_answers(std::move(loss))] { answer_again(number); });
  } else if (fault.what == "question_storm") {
    query_storm(8);
    at_fault_end([this] { query_storm(1); });
  } else if (fault.what == "close_looks") {
    users_.look_closely(true);
    at_fault_end([this] { users_.look_closely(false); });
  } else if (fault.what == "odd_requests") {
    users_.ask_oddly(fault.lasts);
  } else if (fault.what == "cancel_at_end") {
    users_.cancel_at_end(fault.share > 0 ? fault.share : 0.2);
    at_fault_end([this] { users_.cancel_at_end(0); });
  } else if (fault.what == "boots_late") {
    boots(6, 0.3);
    at_fault_end([this] { boots(1, 0); });
  } else if (fault.what == "state_outage") {
    state_outage(true);
    at_fault_end([this] { state_outage(false); });
  } else if (fault.what == "state_refuses") {
    const int c = controller_number(fault.whom);
    state_refuses(c, true);
    at_fault_end([this, c] { state_refuses(c, false); });
  } else if (fault.what == "store_gap") {
    const int c = controller_number(fault.whom.empty() ? "leader" : fault.whom);
    state_refuses(c, true);
    at(from_seconds(1), [this, c] {
      state_refuses(c, false);
      state_outage(true);
    });
    at(from_seconds(1) + fault.lasts, [this] { state_outage(false); });
  } else if (fault.what == "state_slow") {
    state_slow(from_millis(300));
    at_fault_end([this] { state_slow(Micros{0}); });
  } else if (fault.what == "cloud_outage") {
    cloud_outage(true);
    at_fault_end([this] { cloud_outage(false); });
  } else if (fault.what == "zone_cut") {
    const auto& zones = site_.settings.zones;
    cut_zone(fault.whom.empty() ? zones[static_cast<std::size_t>(pick(static_cast<int>(zones.size())))]
                                : fault.whom,
             pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "domain_cut") {
    cut_domain(fault.whom, pick(2) == 0 ? LinkCut::hold : LinkCut::reset);
    at_fault_end([this] { heal(); });
  } else if (fault.what == "domain_dies") {
    kill_domain(fault.whom);
  } else if (fault.what == "machine_dies") {
    for (const std::string& h :
         fault.whom.empty() ? choose_hosts(hosts()) : std::vector<std::string>{fault.whom})
      die(h);
  } else if (fault.what == "machine_hangs") {
    for (const std::string& h :
         fault.whom.empty() ? choose_hosts(hosts()) : std::vector<std::string>{fault.whom})
      hang(h, fault.lasts);
  } else if (fault.what == "spot_wave") {
    std::vector<std::string> spot = hosts();
    std::erase_if(spot, [&](const std::string& h) { return !machines_.is_spot(h); });
    for (const std::string& h : choose_hosts(spot)) take(h, fault.lasts);
  }
}

}  // namespace wrenusher::testbed

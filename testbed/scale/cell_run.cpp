#include "wrenusher/testbed/cell_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wrenusher::testbed {

namespace {

constexpr const char* kOrdinary = "ordinary";
constexpr const char* kUrgent = "urgent";
constexpr const char* kHeldJobs = "held";
constexpr int kUrgentTasks = 5;
/// A worker has room for this many tasks of one core.
constexpr int kCoresPerWorker = 26;
constexpr Micros kLeaderWithin = from_seconds(30);
constexpr Micros kLagEvery = from_millis(100);
constexpr Micros kTopologyPollInterval = from_millis(50);
constexpr Micros kTopologyChangeLimit = from_seconds(60);
/// The phase of failures, in which a day's worth of them comes.
constexpr Micros kFailuresLast = from_seconds(40);
constexpr Micros kLeaderDiesAt = from_seconds(5);
constexpr Micros kZoneCutAt = from_seconds(18);
constexpr Micros kZoneCutLasts = from_seconds(12);
constexpr Micros kFaultInterval = from_millis(500);
/// Of 11,000 workers so many fail a day, and so many begin anew.
constexpr double kDyingPerWorker = 170.0 / 11000;
constexpr double kRestartingPerWorker = 2900.0 / 11000;

std::string topology_text(int version) {
  return "version: " + std::to_string(version) +
         "\nlevels: [zone]\ndomains:\n  zone-a: {level: zone, machines: [{zone: a}]}\n";
}

TestbedOptions lab_options(const CellLoad& load) {
  TestbedOptions o;
  o.site = site_of(load);
  o.program = load.wrenusher;
  o.controllers = load.controllers;
  o.port = load.port;
  // The size is to stay what was asked for, whether or not there is work for all workers.
  o.tunables = "idle_return_s: 3600\n";
  return o;
}

JobClass array_class(const char* name, Priority urgency, int tasks, double run_s) {
  JobClass c;
  c.name = name;
  c.priority = urgency;
  c.tasks = {static_cast<double>(tasks), static_cast<double>(tasks)};
  c.run_s = {run_s, run_s};
  c.resources = {to_amount(1), 0, to_amount(1)};
  c.image_gb = {0.2, 0.2};
  c.images = 4;
  return c;
}

}  // namespace

Site site_of(const CellLoad& load) {
  Site site;
  site.name = load.name;
  Settings& s = site.settings;
  s.zones = {"a"};
  for (int i = 0; i < load.teams; ++i) {
    settings::Team t;
    t.name = "team-" + std::to_string(i);
    t.cores = static_cast<double>(load.workers) * kCoresPerWorker / load.teams;
    s.teams.push_back(t);
  }
  s.report_interval = from_seconds(load.report_s);
  s.worker_lease = from_seconds(20);
  s.gang_start_timeout = from_seconds(20);
  s.gang_peer_timeout = from_seconds(4);
  s.cancel_deadline = from_seconds(50);
  s.state_rps = load.state_requests;
  s.state_write_rps = load.state_puts;
  s.value_kb = 16;
  s.txn_ops = 24;
  s.cloud_rps = 4;
  s.list_lag = from_seconds(8);
  s.max_sockets = 20000;
  settings::Objective soon;
  soon.kind = "wait";
  soon.job_class = kUrgent;
  soon.within = from_seconds(2.2);
  s.objectives = {soon};
  MachineSupply t;
  t.type.name = "worker";
  t.type.capacity = {to_amount(kCoresPerWorker), 0, to_amount(2 * kCoresPerWorker)};
  t.type.image_cache_gb = 10;
  t.type.fetch_gb_per_s = 1;
  t.type.price = 1;
  t.type.spot_price = 1;
  t.type.boot_time = from_seconds(5);
  t.type.zones = s.zones;
  t.ordinary = load.workers;
  site.types = {t};
  site.machines = load.workers;
  site.classes = {array_class(kOrdinary, Priority::normal, load.tasks_per_job, load.run_s),
                  array_class(kUrgent, Priority::high, kUrgentTasks, load.run_s),
                  array_class(kHeldJobs, Priority::normal, load.held_per_job, 36000)};
  if (load.changes_per_minute > 0) {
    site.topology_text = topology_text(1);
    site.topology = topology::Topology::parse(site.topology_text, "topology");
  }
  return site;
}

CellRun::CellRun(net::UvRuntime& runtime, CellLoad load)
    : runtime_(runtime), load_(std::move(load)), testbed_(runtime, lab_options(load_)) {
  result_.load = load_;
  testbed_.users().ask_more_often(load_.questions_factor);
  testbed_.balancer().on_outcome = [this](const Request& r, const runtime::CallResult& o, Micros took) {
    count_user(r, o, took);
  };
  testbed_.machines().on_start = [this](const std::string& job_id, std::uint32_t task) {
    count_start(job_id, task);
  };
}

void CellRun::say(const std::string& what) const {
  std::fprintf(stderr, "%s: %s\n", load_.name.c_str(), what.c_str());
}

void CellRun::start(std::function<void(const CellResult&)> done) {
  done_ = std::move(done);
  leader_by_ = runtime_.now() + kLeaderWithin;
  wait_for_leader();
  watch_lag();
}

void CellRun::wait_for_leader() {
  if (testbed_.ready()) {
    say(testbed_.leader() + " leads " + std::to_string(load_.workers) + " workers");
    begin_load();
    return;
  }
  if (runtime_.now() > leader_by_) {
    result_.error = "no controller leads after " + std::to_string(kLeaderWithin / from_seconds(1)) + " s";
    finish();
    return;
  }
  runtime_.after(from_millis(100), [this] { wait_for_leader(); });
}

void CellRun::begin_load() {
  loading_ = true;
  for (int i = 0; i < load_.held_tasks; i += load_.held_per_job) {
    // Not all at once: a user's request has to be answered before the next.
    runtime_.after(from_millis(2) * (i / load_.held_per_job), [this] { testbed_.submit(kHeldJobs); });
  }
  const double urgent = load_.starts_per_second * load_.urgent_share / kUrgentTasks;
  const double ordinary = load_.starts_per_second * (1 - load_.urgent_share) / load_.tasks_per_job;
  if (ordinary > 0) arrive(kOrdinary, ordinary);
  if (urgent > 0) arrive(kUrgent, urgent);
  if (load_.changes_per_minute > 0) change_topology();
  runtime_.after(from_seconds(load_.warmup_s), [this] { begin_measurement(); });
}

/// Jobs come at random, at this rate on average.
void CellRun::arrive(const std::string& queue, double jobs_per_second) {
  if (!loading_) return;
  const double wait = std::exponential_distribution<double>(jobs_per_second)(runtime_.random());
  runtime_.after(from_seconds(wait), [this, queue, jobs_per_second] {
    if (!loading_) return;
    testbed_.submit(queue);
    arrive(queue, jobs_per_second);
  });
}

void CellRun::change_topology() {
  if (!loading_) return;
  runtime_.after(from_seconds(60 / load_.changes_per_minute), [this] {
    if (!loading_) return;
    ++topology_version_;
    testbed_.write_topology(topology_text(topology_version_));
    wait_for_topology(topology_version_, runtime_.now());
    change_topology();
  });
}

void CellRun::wait_for_topology(int version, Instant written) {
  const KvEntry* fencing_token = testbed_.kv_service().find("epoch");
  const Value::List* in_force = fencing_token == nullptr ? nullptr : fencing_token->value["topology"].list();
  const bool there = in_force != nullptr && !in_force->empty() &&
                     in_force->front().count().value_or(0) >= static_cast<std::uint64_t>(version);
  const Micros waited = runtime_.now() - written;
  if (there || waited > kTopologyChangeLimit) {
    change_waits_.push_back(to_seconds(waited));
    return;
  }
  runtime_.after(kTopologyPollInterval, [this, version, written] { wait_for_topology(version, written); });
}

/// How late timers fire says whether this process keeps up with its hollow workers.
void CellRun::watch_lag() {
  runtime_.after(kLagEvery, [this, due = runtime_.now() + kLagEvery] {
    if (measuring_) lags_.push_back(std::max(0.0, to_seconds(runtime_.now() - due)));
    if (!result_.error.empty()) return;
    watch_lag();
  });
}

void CellRun::count_user(const Request& r, const runtime::CallResult& o, Micros took) {
  const bool submission = r.method == "POST" && r.target == "/submissions";
  const bool good = o.answered && (o.response.status == 200 || o.response.status == 201);
  ++asked_;
  if (!good) ++in_vain_;
  if (submission) {
    if (good) ++accepted_;
    if (measuring_) submission_waits_.push_back(to_seconds(took));
  } else if (r.method == "GET") {
    ++questions_;
  }
}

void CellRun::count_start(const std::string& job_id, std::uint32_t task) {
  ++starts_;
  const bool first = started_.emplace(job_id, task).second;
  if (!measuring_ || !first) return;
  const auto job = testbed_.users().jobs().find(job_id);
  if (job == testbed_.users().jobs().end()) return;
  const double wait = to_seconds(runtime_.now() - job->second.submitted);
  const std::string& queue = testbed_.machines().job(job_id)->spec.job_class;
  if (queue == kOrdinary) start_waits_.push_back(wait);
  if (queue == kUrgent) urgent_waits_.push_back(wait);
}

CellRun::Counts CellRun::counts() {
  Counts c;
  c.at = runtime_.now();
  c.machine = machine_time();
  if (const auto own = usage_of(getpid())) c.lab_processor_s = own->processor_s;
  for (int i = 0; i < load_.controllers; ++i) {
    const auto pid = testbed_.pid(i);
    const auto usage = pid ? usage_of(*pid) : std::nullopt;
    c.processor_s.push_back(usage ? usage->processor_s : 0);
    const auto asked = testbed_.kv_service().requests().find("c" + std::to_string(i));
    c.state_requests.push_back(asked == testbed_.kv_service().requests().end() ? 0 : asked->second);
  }
  c.traffic = testbed_.traffic();
  c.writes = testbed_.kv_service().writes();
  c.refused = testbed_.kv_service().refusals();
  c.starts = starts_;
  c.accepted = accepted_;
  c.questions = questions_;
  c.asked = asked_;
  c.in_vain = in_vain_;
  c.leader = testbed_.leader();
  c.terms = testbed_.terms();
  return c;
}

void CellRun::begin_measurement() {
  say("measuring for " + std::to_string(static_cast<int>(load_.seconds)) + " s");
  before_ = counts();
  measuring_ = true;
  runtime_.after(from_seconds(load_.seconds), [this] { end_measurement(); });
}

void CellRun::end_measurement() {
  measuring_ = false;
  const Counts after = counts();
  CellResult& r = result_;
  const double seconds = to_seconds(after.at - before_.at);
  const auto rate = [seconds](auto from, auto to) {
    return (static_cast<double>(to) - static_cast<double>(from)) / seconds;
  };
  r.seconds = seconds;
  r.one_leader = after.leader == before_.leader && after.terms == before_.terms;
  for (int i = 0; i < load_.controllers; ++i) {
    const auto k = static_cast<std::size_t>(i);
    ControllerUsage u;
    u.leader = after.leader == "c" + std::to_string(i);
    u.cores = rate(before_.processor_s[k], after.processor_s[k]);
    u.state_requests = rate(before_.state_requests[k], after.state_requests[k]);
    const auto pid = testbed_.pid(i);
    if (const auto usage = pid ? usage_of(*pid) : std::nullopt) {
      u.memory_mb = usage->memory_mb;
      u.sockets = usage->sockets;
    }
    r.state_requests += u.state_requests;
    r.controllers.push_back(u);
  }
  for (const auto& [kind, now] : after.traffic) {
    const auto it = before_.traffic.find(kind);
    const Traffic was = it == before_.traffic.end() ? Traffic{} : it->second;
    r.links[kind] = {rate(was.requests, now.requests), rate(was.request_bytes, now.request_bytes),
                     rate(was.response_bytes, now.response_bytes)};
    if (kind == "worker>controller /hello") r.reports = r.links[kind].requests;
  }
  r.starts = rate(before_.starts, after.starts);
  r.submissions = rate(before_.accepted, after.accepted);
  r.questions = rate(before_.questions, after.questions);
  r.puts = rate(before_.writes, after.writes);
  r.state_refused = after.refused - before_.refused;
  r.asked = after.asked - before_.asked;
  r.in_vain = after.in_vain - before_.in_vain;
  r.live_jobs = static_cast<double>(testbed_.users().live());
  const std::vector<std::string> up = testbed_.machines().up();
  r.machines = static_cast<double>(up.size());
  for (const std::string& host : up)
    r.tasks_on_machines += static_cast<double>(testbed_.machines().tasks_on(host).size());
  r.start_wait = waits_of(start_waits_);
  r.urgent_start_wait = waits_of(urgent_waits_);
  r.submission_wait = waits_of(submission_waits_);
  r.lab_cores = rate(before_.lab_processor_s, after.lab_processor_s);
  if (const auto own = usage_of(getpid())) r.lab_memory_mb = own->memory_mb;
  r.lab_lag_p99 = waits_of(lags_).p99;
  r.machine_busy =
      (after.machine.busy_s - before_.machine.busy_s) / (after.machine.all_s - before_.machine.all_s);
  say("measured: " + std::to_string(static_cast<int>(r.starts)) + " starts a second");
  if (load_.failures) {
    begin_failures();
  } else {
    finish();
  }
}

std::string CellRun::any_machine() {
  const std::vector<std::string> up = testbed_.machines().up();
  if (up.empty()) return {};
  return up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(runtime_.random())];
}

/// A day's failures in `kFailuresLast`: machines die and begin anew, the leader is killed, and the cell's
/// controllers are cut off from the users' side of the installation for a while.
void CellRun::begin_failures() {
  say("failures");
  failures_began_ = runtime_.now();
  failure_starts_from_ = starts_;
  const int strikes = static_cast<int>(kFailuresLast / kFaultInterval);
  const int dying = std::max(1, static_cast<int>(std::round(load_.workers * kDyingPerWorker)));
  const int restarting = std::max(1, static_cast<int>(std::round(load_.workers * kRestartingPerWorker)));
  inject_machine_faults(strikes, dying, restarting);
  runtime_.after(kLeaderDiesAt, [this] {
    if (testbed_.ready()) say(testbed_.perform({"kill", "leader", "6s"}));
  });
  runtime_.after(kZoneCutAt, [this] {
    for (int i = 0; i < load_.controllers; ++i)
      testbed_.perform({"cut", "c" + std::to_string(i), "user", "hold"});
    say("the zone is cut off from its users");
    runtime_.after(kZoneCutLasts, [this] { heal(); });
  });
  runtime_.after(kFailuresLast, [this] {
    loading_ = false;
    result_.failure_starts =
        static_cast<double>(starts_ - failure_starts_from_) / to_seconds(runtime_.now() - failures_began_);
    testbed_.checker().troubles_over(runtime_.now());
    say("settling");
    runtime_.after(from_seconds(load_.settle_s), [this] { finish(); });
  });
}

void CellRun::inject_machine_faults(int left, int dying, int restarting) {
  if (left == 0) return;
  // What is left, spread over the strikes that are left.
  const int die_now = dying / left;
  const int restart_now = restarting / left;
  for (int i = 0; i < die_now; ++i) {
    if (const std::string host = any_machine(); !host.empty()) testbed_.machines().die(host);
  }
  for (int i = 0; i < restart_now; ++i) {
    if (const std::string host = any_machine(); !host.empty()) testbed_.machines().restart_worker(host);
  }
  result_.failed_machines += static_cast<std::uint64_t>(die_now);
  result_.restarted_machines += static_cast<std::uint64_t>(restart_now);
  runtime_.after(kFaultInterval,
                 [this, left, dying = dying - die_now, restarting = restarting - restart_now] {
                   inject_machine_faults(left - 1, dying, restarting);
                 });
}

void CellRun::heal() {
  testbed_.perform({"heal"});
  say("all links are whole again");
}

void CellRun::finish() {
  loading_ = false;
  result_.change_wait = waits_of(change_waits_);
  result_.broken = testbed_.checker().notes();
  result_.terms = testbed_.terms();
  testbed_.stop([this] { done_(result_); });
}

}  // namespace wrenusher::testbed

#include "wrenusher/testbed/cell_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wrenusher::testbed {

namespace {

constexpr const char* kOrdinary = "ordinary";
constexpr const char* kUrgent = "urgent";
constexpr const char* kLongJobs = "held";
constexpr int kUrgentTasks = 5;
/// Number of one-core tasks that fit on a worker.
constexpr int kCoresPerWorker = 26;
constexpr Micros kLeaderElectionTimeout = from_seconds(30);
constexpr Micros kLagSampleInterval = from_millis(100);
constexpr Micros kTopologyPollInterval = from_millis(50);
constexpr Micros kTopologyChangeTimeout = from_seconds(60);
/// Duration of the failure phase, which injects the failures of a whole day.
constexpr Micros kFailurePhaseDuration = from_seconds(40);
constexpr Micros kLeaderKillDelay = from_seconds(5);
constexpr Micros kZonePartitionDelay = from_seconds(18);
constexpr Micros kZonePartitionDuration = from_seconds(12);
constexpr Micros kFaultInterval = from_millis(500);
/// Per day, 170 of 11,000 machines fail and 2,900 of 11,000 workers restart.
constexpr double kMachineFailuresPerWorker = 170.0 / 11000;
constexpr double kRestartsPerWorker = 2900.0 / 11000;

std::string topology_text(int version) {
  return "version: " + std::to_string(version) +
         "\nlevels: [zone]\ndomains:\n  zone-a: {level: zone, machines: [{zone: a}]}\n";
}

TestbedOptions testbed_options(const CellLoad& load) {
  TestbedOptions o;
  o.site = site_of(load);
  o.program = load.wrenusher;
  o.controllers = load.controllers;
  o.port = load.port;
  // Prevents the return of idle machines, so that the cell keeps its configured size even when some
  // workers have no tasks.
  o.tunables = "idle_return_s: 3600\n";
  return o;
}

JobClass array_class(const char* name, Priority priority, int tasks, double run_s) {
  JobClass c;
  c.name = name;
  c.priority = priority;
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
  Settings& site_settings = site.settings;
  site_settings.zones = {"a"};
  for (int i = 0; i < load.teams; ++i) {
    settings::Team team;
    team.name = "team-" + std::to_string(i);
    team.cores = static_cast<double>(load.workers) * kCoresPerWorker / load.teams;
    site_settings.teams.push_back(team);
  }
  site_settings.report_interval = from_seconds(load.report_s);
  site_settings.worker_lease = from_seconds(20);
  site_settings.gang_start_timeout = from_seconds(20);
  site_settings.gang_peer_timeout = from_seconds(4);
  site_settings.cancel_deadline = from_seconds(50);
  site_settings.state_rps = load.state_requests;
  site_settings.state_write_rps = load.state_puts;
  site_settings.value_kb = 16;
  site_settings.txn_ops = 24;
  site_settings.cloud_rps = 4;
  site_settings.list_lag = from_seconds(8);
  site_settings.max_sockets = 20000;
  settings::Objective urgent_wait;
  urgent_wait.kind = "wait";
  urgent_wait.job_class = kUrgent;
  urgent_wait.within = from_seconds(2.2);
  site_settings.objectives = {urgent_wait};
  MachineSupply supply;
  supply.type.name = "worker";
  supply.type.capacity = {to_amount(kCoresPerWorker), 0, to_amount(2 * kCoresPerWorker)};
  supply.type.image_cache_gb = 10;
  supply.type.fetch_gb_per_s = 1;
  supply.type.price = 1;
  supply.type.spot_price = 1;
  supply.type.boot_time = from_seconds(5);
  supply.type.zones = site_settings.zones;
  supply.ordinary = load.workers;
  site.types = {supply};
  site.machines = load.workers;
  site.classes = {array_class(kOrdinary, Priority::normal, load.tasks_per_job, load.run_s),
                  array_class(kUrgent, Priority::high, kUrgentTasks, load.run_s),
                  array_class(kLongJobs, Priority::normal, load.held_per_job, 36000)};
  if (load.changes_per_minute > 0) {
    site.topology_text = topology_text(1);
    site.topology = topology::Topology::parse(site.topology_text, "topology");
  }
  return site;
}

CellRun::CellRun(net::UvRuntime& runtime, CellLoad load)
    : runtime_(runtime), load_(std::move(load)), testbed_(runtime, testbed_options(load_)) {
  result_.load = load_;
  testbed_.users().ask_more_often(load_.questions_factor);
  testbed_.balancer().on_outcome = [this](const Request& request, const runtime::CallResult& outcome,
                                          Micros duration) {
    count_user_request(request, outcome, duration);
  };
  testbed_.machines().on_start = [this](const std::string& job_id, std::uint32_t task) {
    count_start(job_id, task);
  };
}

void CellRun::log_progress(const std::string& message) const {
  std::fprintf(stderr, "%s: %s\n", load_.name.c_str(), message.c_str());
}

void CellRun::start(std::function<void(const CellResult&)> done) {
  done_ = std::move(done);
  leader_deadline_ = runtime_.now() + kLeaderElectionTimeout;
  wait_for_leader();
  sample_timer_lag();
}

void CellRun::wait_for_leader() {
  if (testbed_.ready()) {
    log_progress(testbed_.leader() + " leads " + std::to_string(load_.workers) + " workers");
    begin_load();
    return;
  }
  if (runtime_.now() > leader_deadline_) {
    result_.error =
        "no controller leads after " + std::to_string(kLeaderElectionTimeout / from_seconds(1)) + " s";
    finish();
    return;
  }
  runtime_.after(from_millis(100), [this] { wait_for_leader(); });
}

void CellRun::begin_load() {
  loading_ = true;
  for (int i = 0; i < load_.held_tasks; i += load_.held_per_job) {
    // Submissions are spaced by 2 ms: each request of a user must be answered before the next one.
    runtime_.after(from_millis(2) * (i / load_.held_per_job), [this] { testbed_.submit(kLongJobs); });
  }
  const double urgent = load_.starts_per_second * load_.urgent_share / kUrgentTasks;
  const double ordinary = load_.starts_per_second * (1 - load_.urgent_share) / load_.tasks_per_job;
  if (ordinary > 0) schedule_arrivals(kOrdinary, ordinary);
  if (urgent > 0) schedule_arrivals(kUrgent, urgent);
  if (load_.changes_per_minute > 0) change_topology();
  runtime_.after(from_seconds(load_.warmup_s), [this] { begin_measurement(); });
}

/// Submits jobs with exponentially distributed gaps, at this rate on average.
void CellRun::schedule_arrivals(const std::string& job_class, double jobs_per_second) {
  if (!loading_) return;
  const double wait = std::exponential_distribution<double>(jobs_per_second)(runtime_.random());
  runtime_.after(from_seconds(wait), [this, job_class, jobs_per_second] {
    if (!loading_) return;
    testbed_.submit(job_class);
    schedule_arrivals(job_class, jobs_per_second);
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
  const bool applied = in_force != nullptr && !in_force->empty() &&
                       in_force->front().count().value_or(0) >= static_cast<std::uint64_t>(version);
  const Micros waited = runtime_.now() - written;
  if (applied || waited > kTopologyChangeTimeout) {
    change_waits_.push_back(to_seconds(waited));
    return;
  }
  runtime_.after(kTopologyPollInterval, [this, version, written] { wait_for_topology(version, written); });
}

/// Records how late timers fire. A growing delay shows that this process cannot keep up with its modelled
/// workers.
void CellRun::sample_timer_lag() {
  runtime_.after(kLagSampleInterval, [this, due = runtime_.now() + kLagSampleInterval] {
    if (measuring_) lags_.push_back(std::max(0.0, to_seconds(runtime_.now() - due)));
    if (!result_.error.empty()) return;
    sample_timer_lag();
  });
}

void CellRun::count_user_request(const Request& request, const runtime::CallResult& outcome,
                                 Micros duration) {
  const bool submission = request.method == "POST" && request.target == "/submissions";
  const bool succeeded =
      outcome.answered && (outcome.response.status == 200 || outcome.response.status == 201);
  ++user_requests_;
  if (!succeeded) ++failed_requests_;
  if (submission) {
    if (succeeded) ++accepted_;
    if (measuring_) submission_waits_.push_back(to_seconds(duration));
  } else if (request.method == "GET") {
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
  const std::string& job_class = testbed_.machines().job(job_id)->spec.job_class;
  if (job_class == kOrdinary) start_waits_.push_back(wait);
  if (job_class == kUrgent) urgent_waits_.push_back(wait);
}

CellRun::Counters CellRun::read_counters() {
  Counters c;
  c.at = runtime_.now();
  c.machine = machine_time();
  if (const auto own = usage_of(getpid())) c.testbed_processor_s = own->processor_s;
  for (int i = 0; i < load_.controllers; ++i) {
    const auto pid = testbed_.pid(i);
    const auto usage = pid ? usage_of(*pid) : std::nullopt;
    c.processor_s.push_back(usage ? usage->processor_s : 0);
    const auto requests = testbed_.kv_service().requests().find("c" + std::to_string(i));
    c.state_requests.push_back(requests == testbed_.kv_service().requests().end() ? 0 : requests->second);
  }
  c.traffic = testbed_.traffic();
  c.writes = testbed_.kv_service().writes();
  c.refused = testbed_.kv_service().refusals();
  c.starts = starts_;
  c.accepted = accepted_;
  c.questions = questions_;
  c.user_requests = user_requests_;
  c.failed_requests = failed_requests_;
  c.leader = testbed_.leader();
  c.terms = testbed_.terms();
  return c;
}

void CellRun::begin_measurement() {
  log_progress("measuring for " + std::to_string(static_cast<int>(load_.seconds)) + " s");
  before_ = read_counters();
  measuring_ = true;
  runtime_.after(from_seconds(load_.seconds), [this] { end_measurement(); });
}

void CellRun::end_measurement() {
  measuring_ = false;
  const Counters after = read_counters();
  CellResult& r = result_;
  const double seconds = to_seconds(after.at - before_.at);
  const auto rate = [seconds](auto from, auto to) {
    return (static_cast<double>(to) - static_cast<double>(from)) / seconds;
  };
  r.seconds = seconds;
  r.one_leader = after.leader == before_.leader && after.terms == before_.terms;
  for (int i = 0; i < load_.controllers; ++i) {
    const auto index = static_cast<std::size_t>(i);
    ControllerUsage controller;
    controller.leader = after.leader == "c" + std::to_string(i);
    controller.cores = rate(before_.processor_s[index], after.processor_s[index]);
    controller.state_requests = rate(before_.state_requests[index], after.state_requests[index]);
    const auto pid = testbed_.pid(i);
    if (const auto usage = pid ? usage_of(*pid) : std::nullopt) {
      controller.memory_mb = usage->memory_mb;
      controller.sockets = usage->sockets;
    }
    r.state_requests += controller.state_requests;
    r.controllers.push_back(controller);
  }
  for (const auto& [kind, current] : after.traffic) {
    const auto it = before_.traffic.find(kind);
    const Traffic previous = it == before_.traffic.end() ? Traffic{} : it->second;
    r.links[kind] = {rate(previous.requests, current.requests),
                     rate(previous.request_bytes, current.request_bytes),
                     rate(previous.response_bytes, current.response_bytes)};
    if (kind == "worker>controller /hello") r.reports = r.links[kind].requests;
  }
  r.starts = rate(before_.starts, after.starts);
  r.submissions = rate(before_.accepted, after.accepted);
  r.questions = rate(before_.questions, after.questions);
  r.puts = rate(before_.writes, after.writes);
  r.state_refused = after.refused - before_.refused;
  r.asked = after.user_requests - before_.user_requests;
  r.in_vain = after.failed_requests - before_.failed_requests;
  r.live_jobs = static_cast<double>(testbed_.users().live());
  const std::vector<std::string> running = testbed_.machines().up();
  r.machines = static_cast<double>(running.size());
  for (const std::string& host : running)
    r.tasks_on_machines += static_cast<double>(testbed_.machines().tasks_on(host).size());
  r.start_wait = waits_of(start_waits_);
  r.urgent_start_wait = waits_of(urgent_waits_);
  r.submission_wait = waits_of(submission_waits_);
  r.lab_cores = rate(before_.testbed_processor_s, after.testbed_processor_s);
  if (const auto own = usage_of(getpid())) r.lab_memory_mb = own->memory_mb;
  r.lab_lag_p99 = waits_of(lags_).p99;
  r.machine_busy =
      (after.machine.busy_s - before_.machine.busy_s) / (after.machine.all_s - before_.machine.all_s);
  log_progress("measured " + std::to_string(static_cast<int>(r.starts)) + " starts per second");
  if (load_.failures) {
    begin_failures();
  } else {
    finish();
  }
}

std::string CellRun::random_machine() {
  const std::vector<std::string> running = testbed_.machines().up();
  if (running.empty()) return {};
  return running[std::uniform_int_distribution<std::size_t>(0, running.size() - 1)(runtime_.random())];
}

/// Injects a day's failures within `kFailurePhaseDuration`: machines fail, workers restart, the leader is
/// killed, and the cell's controllers are partitioned from the users for `kZonePartitionDuration`.
void CellRun::begin_failures() {
  log_progress("failures");
  failure_phase_start_ = runtime_.now();
  starts_before_failures_ = starts_;
  const int fault_rounds = static_cast<int>(kFailurePhaseDuration / kFaultInterval);
  const int failure_count =
      std::max(1, static_cast<int>(std::round(load_.workers * kMachineFailuresPerWorker)));
  const int restart_count = std::max(1, static_cast<int>(std::round(load_.workers * kRestartsPerWorker)));
  inject_machine_faults(fault_rounds, failure_count, restart_count);
  runtime_.after(kLeaderKillDelay, [this] {
    if (testbed_.ready()) log_progress(testbed_.perform({"kill", "leader", "6s"}));
  });
  runtime_.after(kZonePartitionDelay, [this] {
    for (int i = 0; i < load_.controllers; ++i)
      testbed_.perform({"cut", "c" + std::to_string(i), "user", "hold"});
    log_progress("the zone is partitioned from its users");
    runtime_.after(kZonePartitionDuration, [this] { heal_partition(); });
  });
  runtime_.after(kFailurePhaseDuration, [this] {
    loading_ = false;
    result_.failure_starts = static_cast<double>(starts_ - starts_before_failures_) /
                             to_seconds(runtime_.now() - failure_phase_start_);
    testbed_.checker().troubles_over(runtime_.now());
    log_progress("settling");
    runtime_.after(from_seconds(load_.settle_s), [this] { finish(); });
  });
}

void CellRun::inject_machine_faults(int rounds_left, int failure_count, int restart_count) {
  if (rounds_left == 0) return;
  // Spreads the remaining faults evenly over the remaining rounds.
  const int failures_now = failure_count / rounds_left;
  const int restarts_now = restart_count / rounds_left;
  for (int i = 0; i < failures_now; ++i) {
    if (const std::string host = random_machine(); !host.empty()) testbed_.machines().die(host);
  }
  for (int i = 0; i < restarts_now; ++i) {
    if (const std::string host = random_machine(); !host.empty()) testbed_.machines().restart_worker(host);
  }
  result_.failed_machines += static_cast<std::uint64_t>(failures_now);
  result_.restarted_machines += static_cast<std::uint64_t>(restarts_now);
  runtime_.after(kFaultInterval, [this, rounds_left, failure_count = failure_count - failures_now,
                                  restart_count = restart_count - restarts_now] {
    inject_machine_faults(rounds_left - 1, failure_count, restart_count);
  });
}

void CellRun::heal_partition() {
  testbed_.perform({"heal"});
  log_progress("all links are restored");
}

void CellRun::finish() {
  loading_ = false;
  result_.change_wait = waits_of(change_waits_);
  result_.broken = testbed_.checker().notes();
  result_.terms = testbed_.terms();
  testbed_.stop([this] { done_(result_); });
}

}  // namespace wrenusher::testbed

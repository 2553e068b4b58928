#include "wrenusher/lab/cell_run.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace wrenusher::lab {

namespace {

constexpr const char* kOrdinary = "ordinary";
constexpr const char* kUrgent = "urgent";
constexpr const char* kHeld = "held";
constexpr int kUrgentTasks = 5;
/// A worker has room for this many tasks of one core.
constexpr int kCoresPerWorker = 26;
constexpr Micros kLeaderWithin = from_seconds(30);
constexpr Micros kLagEvery = millis(100);
constexpr Micros kEditionLook = millis(50);
constexpr Micros kEditionWithin = from_seconds(60);
/// The phase of failures, in which a day's worth of them comes.
constexpr Micros kFailuresLast = from_seconds(40);
constexpr Micros kLeaderDiesAt = from_seconds(5);
constexpr Micros kZoneCutAt = from_seconds(18);
constexpr Micros kZoneCutLasts = from_seconds(12);
constexpr Micros kStrikeEvery = millis(500);
/// Of 11,000 workers so many fail a day, and so many begin anew.
constexpr double kDyingPerWorker = 170.0 / 11000;
constexpr double kRestartingPerWorker = 2900.0 / 11000;

std::string topology_text(int version) {
  return "version: " + std::to_string(version) +
         "\nlevels: [zone]\ndomains:\n  zone-a: {level: zone, machines: [{zone: a}]}\n";
}

LabOptions lab_options(const CellLoad& load) {
  LabOptions o;
  o.site = site_of(load);
  o.wrenusher = load.wrenusher;
  o.controllers = load.controllers;
  o.port = load.port;
  // The size is to stay what was asked for, whether or not there is work for all workers.
  o.tunables = "idle_return_s: 3600\n";
  return o;
}

JobClass array_class(const char* name, Urgency urgency, int tasks, double run_s) {
  JobClass c;
  c.name = name;
  c.urgency = urgency;
  c.tasks = {static_cast<double>(tasks), static_cast<double>(tasks)};
  c.run_s = {run_s, run_s};
  c.needs = {to_amount(1), 0, to_amount(1)};
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
  s.report = from_seconds(load.report_s);
  s.lease = from_seconds(20);
  s.gang_wait = from_seconds(20);
  s.gang_peer = from_seconds(4);
  s.cancel = from_seconds(50);
  s.state_rps = load.state_requests;
  s.state_write_rps = load.state_puts;
  s.value_kb = 16;
  s.txn_ops = 24;
  s.cloud_rps = 4;
  s.list_lag = from_seconds(8);
  s.max_sockets = 20000;
  settings::Objective soon;
  soon.kind = "wait";
  soon.queue = kUrgent;
  soon.within = from_seconds(2.2);
  s.objectives = {soon};
  MachineType t;
  t.flavor.name = "worker";
  t.flavor.room = {to_amount(kCoresPerWorker), 0, to_amount(2 * kCoresPerWorker)};
  t.flavor.cache_gb = 10;
  t.flavor.pull_gb_per_s = 1;
  t.flavor.rate = 1;
  t.flavor.low_price = 1;
  t.flavor.boot = from_seconds(5);
  t.flavor.sites = s.zones;
  t.ordinary = load.workers;
  site.types = {t};
  site.machines = load.workers;
  site.classes = {array_class(kOrdinary, Urgency::normal, load.tasks_per_job, load.run_s),
                  array_class(kUrgent, Urgency::high, kUrgentTasks, load.run_s),
                  array_class(kHeld, Urgency::normal, load.held_per_job, 36000)};
  if (load.changes_per_minute > 0) {
    site.topology_text = topology_text(1);
    site.topology = topology::Topology::parse(site.topology_text, "topology");
  }
  return site;
}

CellRun::CellRun(net::UvRuntime& rt, CellLoad load)
    : rt_(rt), load_(std::move(load)), lab_(rt, lab_options(load_)) {
  result_.load = load_;
  lab_.users().ask_more_often(load_.questions_factor);
  lab_.balancer().on_outcome = [this](const Request& r, const base::Outcome& o, Micros took) {
    count_user(r, o, took);
  };
  lab_.machines().on_start = [this](const std::string& ref, std::uint32_t task) { count_start(ref, task); };
}

void CellRun::say(const std::string& what) const {
  std::fprintf(stderr, "%s: %s\n", load_.name.c_str(), what.c_str());
}

void CellRun::start(std::function<void(const CellResult&)> done) {
  done_ = std::move(done);
  leader_by_ = rt_.now() + kLeaderWithin;
  wait_for_leader();
  watch_lag();
}

void CellRun::wait_for_leader() {
  if (lab_.ready()) {
    say(lab_.leader() + " leads " + std::to_string(load_.workers) + " workers");
    begin_load();
    return;
  }
  if (rt_.now() > leader_by_) {
    result_.error = "no controller leads after " + std::to_string(kLeaderWithin / from_seconds(1)) + " s";
    finish();
    return;
  }
  rt_.after(millis(100), [this] { wait_for_leader(); });
}

void CellRun::begin_load() {
  loading_ = true;
  for (int i = 0; i < load_.held_tasks; i += load_.held_per_job) {
    // Not all at once: a user's request has to be answered before the next.
    rt_.after(millis(2) * (i / load_.held_per_job), [this] { lab_.submit(kHeld); });
  }
  const double urgent = load_.starts_per_second * load_.urgent_share / kUrgentTasks;
  const double ordinary = load_.starts_per_second * (1 - load_.urgent_share) / load_.tasks_per_job;
  if (ordinary > 0) arrive(kOrdinary, ordinary);
  if (urgent > 0) arrive(kUrgent, urgent);
  if (load_.changes_per_minute > 0) change_topology();
  rt_.after(from_seconds(load_.warmup_s), [this] { begin_measurement(); });
}

/// Jobs come at random, at this rate on average.
void CellRun::arrive(const std::string& queue, double jobs_per_second) {
  if (!loading_) return;
  const double wait = std::exponential_distribution<double>(jobs_per_second)(rt_.random());
  rt_.after(from_seconds(wait), [this, queue, jobs_per_second] {
    if (!loading_) return;
    lab_.submit(queue);
    arrive(queue, jobs_per_second);
  });
}

void CellRun::change_topology() {
  if (!loading_) return;
  rt_.after(from_seconds(60 / load_.changes_per_minute), [this] {
    if (!loading_) return;
    ++edition_;
    lab_.write_topology(topology_text(edition_));
    wait_for_edition(edition_, rt_.now());
    change_topology();
  });
}

void CellRun::wait_for_edition(int version, Instant written) {
  const Entry* epoch = lab_.state().find("epoch");
  const Value::List* in_force = epoch == nullptr ? nullptr : epoch->value["topology"].list();
  const bool there = in_force != nullptr && !in_force->empty() &&
                     in_force->front().count().value_or(0) >= static_cast<std::uint64_t>(version);
  const Micros waited = rt_.now() - written;
  if (there || waited > kEditionWithin) {
    change_waits_.push_back(to_seconds(waited));
    return;
  }
  rt_.after(kEditionLook, [this, version, written] { wait_for_edition(version, written); });
}

/// How late timers fire says whether this process keeps up with its hollow workers.
void CellRun::watch_lag() {
  rt_.after(kLagEvery, [this, due = rt_.now() + kLagEvery] {
    if (measuring_) lags_.push_back(std::max(0.0, to_seconds(rt_.now() - due)));
    if (!result_.error.empty()) return;
    watch_lag();
  });
}

void CellRun::count_user(const Request& r, const base::Outcome& o, Micros took) {
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

void CellRun::count_start(const std::string& ref, std::uint32_t task) {
  ++starts_;
  const bool first = started_.emplace(ref, task).second;
  if (!measuring_ || !first) return;
  const auto job = lab_.users().jobs().find(ref);
  if (job == lab_.users().jobs().end()) return;
  const double wait = to_seconds(rt_.now() - job->second.submitted);
  const std::string& queue = lab_.machines().job(ref)->spec.queue;
  if (queue == kOrdinary) start_waits_.push_back(wait);
  if (queue == kUrgent) urgent_waits_.push_back(wait);
}

CellRun::Counts CellRun::counts() {
  Counts c;
  c.at = rt_.now();
  c.machine = machine_time();
  if (const auto own = usage_of(getpid())) c.lab_processor_s = own->processor_s;
  for (int i = 0; i < load_.controllers; ++i) {
    const auto pid = lab_.pid(i);
    const auto usage = pid ? usage_of(*pid) : std::nullopt;
    c.processor_s.push_back(usage ? usage->processor_s : 0);
    const auto asked = lab_.state().requests().find("c" + std::to_string(i));
    c.state_requests.push_back(asked == lab_.state().requests().end() ? 0 : asked->second);
  }
  c.traffic = lab_.traffic();
  c.writes = lab_.state().writes();
  c.refused = lab_.state().refusals();
  c.starts = starts_;
  c.accepted = accepted_;
  c.questions = questions_;
  c.asked = asked_;
  c.in_vain = in_vain_;
  c.leader = lab_.leader();
  c.terms = lab_.terms();
  return c;
}

void CellRun::begin_measurement() {
  say("measuring for " + std::to_string(static_cast<int>(load_.seconds)) + " s");
  before_ = counts();
  measuring_ = true;
  rt_.after(from_seconds(load_.seconds), [this] { end_measurement(); });
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
    const auto pid = lab_.pid(i);
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
  r.live_jobs = static_cast<double>(lab_.users().live());
  const std::vector<std::string> up = lab_.machines().up();
  r.machines = static_cast<double>(up.size());
  for (const std::string& host : up)
    r.tasks_on_machines += static_cast<double>(lab_.machines().units_on(host).size());
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
  const std::vector<std::string> up = lab_.machines().up();
  if (up.empty()) return {};
  return up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(rt_.random())];
}

/// A day's failures in `kFailuresLast`: machines die and begin anew, the leader is killed, and the cell's
/// controllers are cut off from the users' side of the installation for a while.
void CellRun::begin_failures() {
  say("failures");
  failures_began_ = rt_.now();
  failure_starts_from_ = starts_;
  const int strikes = static_cast<int>(kFailuresLast / kStrikeEvery);
  const int dying = std::max(1, static_cast<int>(std::round(load_.workers * kDyingPerWorker)));
  const int restarting = std::max(1, static_cast<int>(std::round(load_.workers * kRestartingPerWorker)));
  strike_machines(strikes, dying, restarting);
  rt_.after(kLeaderDiesAt, [this] {
    if (lab_.ready()) say(lab_.act({"kill", "leader", "6s"}));
  });
  rt_.after(kZoneCutAt, [this] {
    for (int i = 0; i < load_.controllers; ++i) lab_.act({"cut", "c" + std::to_string(i), "user", "hold"});
    say("the zone is cut off from its users");
    rt_.after(kZoneCutLasts, [this] { heal(); });
  });
  rt_.after(kFailuresLast, [this] {
    loading_ = false;
    result_.failure_starts =
        static_cast<double>(starts_ - failure_starts_from_) / to_seconds(rt_.now() - failures_began_);
    lab_.checker().troubles_over(rt_.now());
    say("settling");
    rt_.after(from_seconds(load_.settle_s), [this] { finish(); });
  });
}

void CellRun::strike_machines(int left, int dying, int restarting) {
  if (left == 0) return;
  // What is left, spread over the strikes that are left.
  const int die_now = dying / left;
  const int restart_now = restarting / left;
  for (int i = 0; i < die_now; ++i) {
    if (const std::string host = any_machine(); !host.empty()) lab_.machines().die(host);
  }
  for (int i = 0; i < restart_now; ++i) {
    if (const std::string host = any_machine(); !host.empty()) lab_.machines().reborn(host);
  }
  result_.failed_machines += static_cast<std::uint64_t>(die_now);
  result_.restarted_machines += static_cast<std::uint64_t>(restart_now);
  rt_.after(kStrikeEvery, [this, left, dying = dying - die_now, restarting = restarting - restart_now] {
    strike_machines(left - 1, dying, restarting);
  });
}

void CellRun::heal() {
  lab_.act({"heal"});
  say("all links are whole again");
}

void CellRun::finish() {
  loading_ = false;
  result_.change_wait = waits_of(change_waits_);
  result_.broken = lab_.checker().notes();
  result_.terms = lab_.terms();
  lab_.stop([this] { done_(result_); });
}

}  // namespace wrenusher::lab

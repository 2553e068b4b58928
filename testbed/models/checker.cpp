#include "wrenusher/testbed/checker.hpp"

#include <algorithm>

namespace wrenusher::testbed {

namespace {

/// Maximum time without an answer for a job after the last fault has ended.
constexpr Micros kMaxTimeWithoutAnswer = from_seconds(75);
/// Maximum time until the first task of one of the largest jobs of a class starts.
constexpr Micros kMaxStartDelay = from_seconds(240);
/// Maximum time that a job without running tasks may wait while there is room for it.
constexpr Micros kMaxWaitAfterFaults = from_seconds(60);
/// One in this many jobs of a class counts as one of its largest jobs.
constexpr std::size_t kLargestDivisor = 10;

/// Returns who sent an answer and when, for the note of a broken rule.
std::string sender_at(const std::string& node, Instant now) {
  return node + " at " + std::to_string(to_seconds(now.time_since_epoch())) + " s";
}

}  // namespace

void Checker::record_broken_rule(const std::string& rule, const std::string& note) {
  broken_.insert(rule);
  notes_.push_back(rule + ": " + note);
}

void Checker::answered(Instant now, const std::string& job_id) {
  Job& j = jobs_[job_id];
  if (!j.accepted) j.accepted = now;
  j.answered = now;
}

void Checker::answered_submit(Instant now, const std::string& job_id, int status) {
  if (status == 200 || status == 201) {
    if (never_submitted_.contains(job_id))
      record_broken_rule("accepted_in_vain", job_id + " can never run or lacks a field");
    accepted_.insert(job_id);
    answered(now, job_id);
  }
  if ((status == 400 || status == 422) && accepted_.contains(job_id))
    record_broken_rule("forgotten", job_id + " was rejected when submitted again");
}

void Checker::record_final_state(Instant now, const std::string& job_id, const std::string& state) {
  const auto it = final_.find(job_id);
  if (it != final_.end() && it->second != state)
    record_broken_rule("went_back", job_id + " from " + it->second + " to " + state);
  if (state == "withdrawn" && !cancel_requested_.contains(job_id))
    record_broken_rule("went_back", job_id + " was not cancelled by its user");
  if (state == "done" && completed_[job_id].size() != specs_.at(job_id).task_count)
    record_broken_rule("not_done", job_id);
  if (state == "done" || state == "withdrawn") {
    final_.emplace(job_id, state);
    final_at_.emplace(job_id, now);
  }
  if (state == "withdrawn") cancelled_at_.emplace(job_id, now);
}

void Checker::answered_cancel(Instant now, const std::string& job_id, int status, const std::string& state,
                              Instant sent_at) {
  if (status == 200) record_final_state(now, job_id, state);
  // The job may have been accepted while this answer was in transit.
  if (status == 404 && accepted_.contains(job_id) && *jobs_[job_id].accepted < sent_at)
    record_broken_rule("forgotten", job_id + " was unknown when withdrawn");
}

void Checker::answered_poll(Instant now, const std::string& job_id, int status, const std::string& state,
                            Instant sent_at) {
  if (status == 404 && accepted_.contains(job_id))
    record_broken_rule("forgotten", job_id + " was unknown when polled");
  if (status == 200) {
    if (!specs_.contains(job_id)) {
      record_broken_rule("invented", job_id);
      return;
    }
    answered(now, job_id);
    const bool live = state == "pending" || state == "running";
    if (const auto ended = final_at_.find(job_id);
        live && ended != final_at_.end() && sent_at < ended->second)
      return;
    record_final_state(now, job_id, state);
  }
}

void Checker::given(Instant now, const std::string& node, const Request& request, const Response& response) {
  static const std::string kBase = "/submissions";
  if (request.target == "/hello") check_start_commands(now, node, response);
  if (!request.target.starts_with(kBase)) return;
  const auto body = decode(response.body);
  const std::string* state = body ? (*body)["status"].text() : nullptr;
  std::string job_id;
  bool is_submission = request.target == kBase;
  if (is_submission) {
    const auto spec = decode(request.body);
    if (const std::string* r = spec ? (*spec)["ref"].text() : nullptr) job_id = *r;
  } else {
    job_id = request.target.substr(kBase.size() + 1);
    job_id.resize(std::min(job_id.find('/'), job_id.size()));
  }
  if (job_id.empty()) return;
  int level = 0;
  if (response.status == 200 || response.status == 201) {
    if (state == nullptr) return;
    level = *state == "done" || *state == "withdrawn" ? 2 : 1;
  } else if (response.status != 404 &&
             !(is_submission && (response.status == 400 || response.status == 422))) {
    return;
  }
  const std::string what =
      (level > 0 ? *state : std::to_string(response.status)) + " by " + sender_at(node, now);
  if (level > 0 && *state == "withdrawn") withdrawn_.emplace(job_id, what);
  Answered& latest = answered_[job_id];
  if (level < latest.stage)
    record_broken_rule("older_answer", job_id + ": " + what + ", after " + latest.what);
  if (level > latest.stage) latest = {level, what};
}

/// Checks a node's reply to a worker's report.
void Checker::check_start_commands(Instant now, const std::string& node, const Response& response) {
  if (withdrawn_.empty()) return;
  const auto body = decode(response.body);
  const Value::List* commands = body ? (*body)["orders"].list() : nullptr;
  if (commands == nullptr) return;
  for (const Value& command : *commands) {
    const std::string* verb = command["verb"].text();
    const std::string* unit = command["unit"].text();
    if (verb == nullptr || unit == nullptr || *verb != "run") continue;
    const auto withdrawn = withdrawn_.find(unit->substr(0, unit->find('/')));
    if (withdrawn != withdrawn_.end())
      record_broken_rule("started_withdrawn",
                         *unit + " was started by " + sender_at(node, now) + ", after " + withdrawn->second);
  }
}

void Checker::started(Instant now, const std::string& job_id, std::uint32_t task, const std::string& host,
                      const std::string& machine_type, const std::string& site, bool standby) {
  ++starts_;
  const auto spec = specs_.find(job_id);
  if (spec == specs_.end()) {
    record_broken_rule("invented", job_id + " was started");
    return;
  }
  Job& job = jobs_[job_id];
  if (!job.began) job.began = now;
  job.started.insert(task);
  auto& locations = tasks_on_machines_[{job_id, task}];
  for (const Location& other : locations) {
    if (other.host != host)
      record_broken_rule("ran_twice", task_name(job_id, task) + " on " + other.host + " and " + host);
  }
  if (!spec->second.allows(machine_type, site, standby))
    record_broken_rule("wrong_place", task_name(job_id, task) + " on " + host);
  locations.push_back(
      {host, site, topology_ ? topology_->find(host, "", machine_type, site) : topology::MachineLocation{}});
  if (topology_) check_layout(spec->second, locations.back());
  Resources& used = used_[spec->second.team];
  used += spec->second.resources;
  check_zones(spec->second, site);
  const Team* team = settings_.team(spec->second.team);
  if (team != nullptr && team->cores_max > 0 && used.cores > to_amount(team->cores_max))
    record_broken_rule("quota", team->name);
  if (team != nullptr && team->gpus_max > 0 && used.gpus > to_amount(team->gpus_max))
    record_broken_rule("quota", team->name);
  const auto cancelled = cancelled_at_.find(job_id);
  if (cancelled != cancelled_at_.end() && now - cancelled->second > settings_.cancel_deadline) {
    record_broken_rule("ran_cancelled", task_name(job_id, task) + " started");
  }
}

void Checker::check_zones(const JobSpec& spec, const std::string& site) {
  if (!spec.single_zone && !spec.spread_zones) return;
  std::map<std::string, std::uint32_t> zones;
  for_tasks_of(spec.job_id, [&](std::uint32_t, const std::vector<Location>& where) {
    if (!where.empty()) ++zones[where.front().zone];
  });
  if (spec.single_zone && zones.size() > 1)
    record_broken_rule("wrong_place", spec.job_id + " is in two zones");
  if (spec.spread_zones && zones[site] > (spec.task_count + 1) / 2)
    record_broken_rule("wrong_place", spec.job_id + " has more than half of its tasks in one zone");
}

/// Calls `f` for each task of the job that was ever on a machine, with its current locations.
void Checker::for_tasks_of(const std::string& job_id,
                           const std::function<void(std::uint32_t, const std::vector<Location>&)>& f) const {
  for (auto it = tasks_on_machines_.lower_bound({job_id, 0});
       it != tasks_on_machines_.end() && it->first.first == job_id; ++it)
    f(it->first.second, it->second);
}

/// Checks that the required parts of a layout hold at this moment, old attempts included, and that no device
/// serves two tasks at a time.
void Checker::check_layout(const JobSpec& spec, const Location& here) {
  std::map<topology::DomainId, std::uint32_t> leaves;
  std::map<topology::DomainId, std::uint32_t> spread;
  std::set<topology::DomainId> colocation_domains;
  std::map<std::string, std::uint32_t> devices;
  const auto level = [&](const auto& part) { return topology_->level(part.level); };
  for_tasks_of(spec.job_id, [&](std::uint32_t, const std::vector<Location>& where) {
    for (const Location& o : where) {
      ++leaves[o.place.leaf];
      if (spec.layout && spec.layout->spread) ++spread[o.place.domain_at(level(*spec.layout->spread))];
      if (spec.layout && spec.layout->colocation)
        colocation_domains.insert(o.place.domain_at(level(*spec.layout->colocation)));
    }
  });
  if (!spec.devices().empty()) {
    for (const auto& [unit, where] : tasks_on_machines_) {
      for (const Location& o : where) {
        if (o.host != here.host) continue;
        for (const auto& [name, n] : specs_.at(unit.first).devices()) devices[name] += n;
      }
    }
  }
  for (const auto& [id, n] : leaves) {
    double& largest_share = max_domain_share_[spec.job_id];
    largest_share = std::max(largest_share, static_cast<double>(n) / spec.task_count);
  }
  if (!spec.layout) return;
  if (const auto& s = spec.layout->spread; s && s->required) {
    for (const auto& [id, n] : spread) {
      if (n > s->limit(spec.task_count))
        record_broken_rule("layout",
                           spec.job_id + " has " + std::to_string(n) + " tasks in " + topology_->path(id));
    }
  }
  if (const auto& t = spec.layout->colocation; t && t->required && colocation_domains.size() > 1)
    record_broken_rule("layout", spec.job_id + " is spread over more than one " + t->level);
  for (const auto& [name, n] : spec.devices()) {
    const auto there = here.place.devices.find(name);
    if (there == here.place.devices.end() || devices[name] > there->second)
      record_broken_rule("layout", spec.job_id + " has no " + name + " on " + here.host);
  }
}

double Checker::most_in_one(const std::string& job_id) const {
  const auto it = max_domain_share_.find(job_id);
  return it == max_domain_share_.end() ? 0 : it->second;
}

std::set<std::pair<std::string, std::uint32_t>> Checker::on_any_machine(
    const std::set<std::string>& hosts) const {
  std::set<std::pair<std::string, std::uint32_t>> out;
  for (const auto& [unit, where] : tasks_on_machines_) {
    if (std::any_of(where.begin(), where.end(), [&](const Location& o) { return hosts.contains(o.host); }))
      out.insert(unit);
  }
  return out;
}

void Checker::task_left(const std::string& job_id, std::uint32_t task, const std::string& host) {
  const auto removed =
      std::erase_if(tasks_on_machines_[{job_id, task}], [&](const Location& o) { return o.host == host; });
  for (std::size_t i = 0; i < removed; ++i) used_[specs_.at(job_id).team] -= specs_.at(job_id).resources;
}

void Checker::check(Instant now) {
  for (const auto& [ref, cancelled] : cancelled_at_) {
    if (now - cancelled <= settings_.cancel_deadline) continue;
    for_tasks_of(ref, [&, &job_id = ref](std::uint32_t task, const std::vector<Location>& where) {
      if (!where.empty())
        record_broken_rule("ran_cancelled", task_name(job_id, task) + " is still on " + where.front().host);
    });
  }
  if (!faults_ended_) return;
  for (auto& [ref, j] : jobs_) {
    if (!j.answered || !j.polled || cancel_requested_.contains(ref)) continue;
    if (now - std::max(*j.answered, *faults_ended_) <= kMaxTimeWithoutAnswer) continue;
    record_broken_rule("forgotten", ref + " gets no more answers");
    j.polled = false;  // recorded only once per job
  }
}

// ---------------------------------------------------------------- the operators' rules

bool Checker::is_counted(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  return accepted_.contains(job_id) && it != jobs_.end() && !it->second.always_fails &&
         !cancel_requested_.contains(job_id);
}

std::vector<std::string> Checker::open() const {
  std::vector<std::string> out;
  for (const std::string& job_id : accepted_) {
    if (is_counted(job_id) && !final_.contains(job_id)) out.push_back(job_id);
  }
  return out;
}

bool Checker::on_a_machine(const std::string& job_id) const {
  for (auto it = tasks_on_machines_.lower_bound({job_id, 0});
       it != tasks_on_machines_.end() && it->first.first == job_id; ++it) {
    if (!it->second.empty()) return true;
  }
  return false;
}

void Checker::waits(Instant now, const std::string& job_id, bool room) {
  Job& j = jobs_[job_id];
  if (!room) {
    j.room_since.reset();
    return;
  }
  if (!j.room_since) j.room_since = now;
  if (faults_ended_ && now - std::max(*j.room_since, *faults_ended_) > kMaxWaitAfterFaults) {
    record_broken_rule("left_waiting", job_id + " has no running task although there is room for it");
    j.room_since = now;
  }
}

std::set<std::string> Checker::largest(const std::string& queue) const {
  std::vector<std::pair<double, std::string>> all;
  for (const auto& [ref, j] : jobs_) {
    if (!is_counted(ref) || specs_.at(ref).job_class != queue) continue;
    const JobSpec& s = specs_.at(ref);
    const double cores = from_amount(s.resources.cores) + 8 * from_amount(s.resources.gpus);
    all.emplace_back(s.task_count * cores * std::max(1.0, to_seconds(s.expected_runtime)), ref);
  }
  std::sort(all.rbegin(), all.rend());
  std::set<std::string> out;
  for (std::size_t i = 0; i < all.size() && i < (all.size() + kLargestDivisor - 1) / kLargestDivisor; ++i)
    out.insert(all[i].second);
  return out;
}

std::vector<Checker::Served> Checker::served(Instant now) const {
  std::map<std::string, std::vector<std::string>> groups;
  std::set<std::string> queues;
  for (const auto& [ref, j] : jobs_) {
    if (!is_counted(ref) || (now - *j.accepted < kMaxStartDelay && !final_.contains(ref))) continue;
    groups["class " + specs_.at(ref).job_class].push_back(ref);
    groups["team " + specs_.at(ref).team].push_back(ref);
    queues.insert(specs_.at(ref).job_class);
  }
  for (const std::string& queue : queues) {
    for (const std::string& job_id : largest(queue)) groups["largest of " + queue].push_back(job_id);
  }
  std::vector<Served> out;
  for (const auto& [what, refs] : groups) {
    Served s{what, static_cast<int>(refs.size()), 0};
    for (const std::string& job_id : refs) {
      const JobSpec& spec = specs_.at(job_id);
      const bool done = spec.type == JobType::service
                            ? jobs_.at(job_id).started.size() * 2 >= spec.task_count
                            : completed_.contains(job_id) && completed_.at(job_id).size() == spec.task_count;
      s.served += done ? 1 : 0;
    }
    out.push_back(std::move(s));
  }
  return out;
}

Micros Checker::longest_wait(const std::string& queue, Instant now) const {
  Micros longest{};
  for (const std::string& job_id : largest(queue)) {
    const Job& j = jobs_.at(job_id);
    longest = std::max(longest, j.began.value_or(now) - *j.accepted);
  }
  return longest;
}

void Checker::judge(Instant now) {
  std::set<std::string> queues;
  for (const Served& s : served(now)) {
    if (s.served * 2 < s.jobs)
      record_broken_rule("starved",
                         s.what + ": " + std::to_string(s.served) + " of " + std::to_string(s.jobs));
    if (s.what.starts_with("class ")) queues.insert(s.what.substr(6));
  }
  for (const std::string& queue : queues) {
    for (const std::string& job_id : largest(queue)) {
      const Job& j = jobs_.at(job_id);
      if (j.began.value_or(now) - *j.accepted <= kMaxStartDelay) continue;
      record_broken_rule("late_start", job_id + ", one of the largest of " + queue + ", started after " +
                                           std::to_string(to_seconds(j.began.value_or(now) - *j.accepted)) +
                                           " s");
    }
  }
}

}  // namespace wrenusher::testbed

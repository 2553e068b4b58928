#include "wrenusher/lab/checker.hpp"

#include <algorithm>

namespace wrenusher::lab {

namespace {

/// Once all troubles are over a job must be answered within this time.
constexpr Micros kForgotten = from_seconds(75);
/// The largest jobs of a class must begin within this time.
constexpr Micros kLateStart = from_seconds(240);
/// A job of which nothing runs must be started where there is room for so long.
constexpr Micros kLeftWaiting = from_seconds(60);
/// A class's largest jobs: one in so many.
constexpr std::size_t kLargestOf = 10;

}  // namespace

void Checker::breaks(const std::string& rule, const std::string& note) {
  broken_.insert(rule);
  notes_.push_back(rule + ": " + note);
}

void Checker::answered(Instant now, const std::string& ref) {
  Job& j = jobs_[ref];
  if (!j.accepted) j.accepted = now;
  j.answered = now;
}

void Checker::answered_submit(Instant now, const std::string& ref, int status) {
  if (status == 200 || status == 201) {
    if (never_.contains(ref)) breaks("accepted_in_vain", ref + " can never run or lacks a field");
    accepted_.insert(ref);
    answered(now, ref);
  }
  if ((status == 400 || status == 422) && accepted_.contains(ref))
    breaks("forgotten", ref + " submitted again");
}

void Checker::final_state(Instant now, const std::string& ref, const std::string& state) {
  const auto it = final_.find(ref);
  if (it != final_.end() && it->second != state)
    breaks("went_back", ref + " from " + it->second + " to " + state);
  if (state == "withdrawn" && !asked_.contains(ref))
    breaks("went_back", ref + " was not cancelled by its user");
  if (state == "done" && completed_[ref].size() != specs_.at(ref).units) breaks("not_done", ref);
  if (state == "done" || state == "withdrawn") {
    final_.emplace(ref, state);
    final_at_.emplace(ref, now);
  }
  if (state == "withdrawn") cancelled_at_.emplace(ref, now);
}

void Checker::answered_withdraw(Instant now, const std::string& ref, int status, const std::string& state,
                                Instant asked) {
  if (status == 200) final_state(now, ref, state);
  // It may have been accepted while this answer was on its way.
  if (status == 404 && accepted_.contains(ref) && *jobs_[ref].accepted < asked)
    breaks("forgotten", ref + " when withdrawn");
}

void Checker::answered_poll(Instant now, const std::string& ref, int status, const std::string& state,
                            Instant asked) {
  if (status == 404 && accepted_.contains(ref)) breaks("forgotten", ref + " when asked for");
  if (status == 200) {
    if (!specs_.contains(ref)) {
      breaks("invented", ref);
      return;
    }
    answered(now, ref);
    const bool live = state == "pending" || state == "running";
    if (const auto told = final_at_.find(ref); live && told != final_at_.end() && asked < told->second)
      return;
    final_state(now, ref, state);
  }
}

void Checker::given(Instant now, const std::string& node, const Request& request, const Response& response) {
  static const std::string kBase = "/submissions";
  if (!request.target.starts_with(kBase)) return;
  const auto body = decode(response.body);
  const std::string* state = body ? (*body)["status"].text() : nullptr;
  std::string ref;
  bool submits = request.target == kBase;
  if (submits) {
    const auto spec = decode(request.body);
    if (const std::string* r = spec ? (*spec)["ref"].text() : nullptr) ref = *r;
  } else {
    ref = request.target.substr(kBase.size() + 1);
    ref.resize(std::min(ref.find('/'), ref.size()));
  }
  if (ref.empty()) return;
  int level = 0;
  if (response.status == 200 || response.status == 201) {
    if (state == nullptr) return;
    level = *state == "done" || *state == "withdrawn" ? 2 : 1;
  } else if (response.status != 404 && !(submits && (response.status == 400 || response.status == 422))) {
    return;
  }
  const std::string what = (level > 0 ? *state : std::to_string(response.status)) + " by " + node + " at " +
                           std::to_string(to_seconds(now.time_since_epoch())) + " s";
  Told& told = told_[ref];
  if (level < told.level) breaks("older_answer", ref + ": " + what + ", after " + told.what);
  if (level > told.level) told = {level, what};
}

void Checker::started(Instant now, const std::string& ref, std::uint32_t task, const std::string& host,
                      const std::string& flavor, const std::string& site, bool standby) {
  ++starts_;
  const auto spec = specs_.find(ref);
  if (spec == specs_.end()) {
    breaks("invented", ref + " was started");
    return;
  }
  Job& job = jobs_[ref];
  if (!job.began) job.began = now;
  job.started.insert(task);
  auto& places = on_[{ref, task}];
  for (const On& other : places) {
    if (other.host != host) breaks("ran_twice", unit_name(ref, task) + " on " + other.host + " and " + host);
  }
  if (!spec->second.allows(flavor, site, standby))
    breaks("wrong_place", unit_name(ref, task) + " on " + host);
  places.push_back({host, site, topology_ ? topology_->find(host, "", flavor, site) : topology::Place{}});
  if (topology_) check_layout(spec->second, places.back());
  Needs& used = used_[spec->second.owner];
  used += spec->second.needs;
  check_zones(spec->second, site);
  const Team* team = settings_.team(spec->second.owner);
  if (team != nullptr && team->cores_max > 0 && used.cores > to_amount(team->cores_max))
    breaks("quota", team->name);
  if (team != nullptr && team->cards_max > 0 && used.cards > to_amount(team->cards_max))
    breaks("quota", team->name);
  const auto cancelled = cancelled_at_.find(ref);
  if (cancelled != cancelled_at_.end() && now - cancelled->second > settings_.cancel) {
    breaks("ran_cancelled", unit_name(ref, task) + " started");
  }
}

void Checker::check_zones(const JobSpec& spec, const std::string& site) {
  if (!spec.same_place && !spec.scatter) return;
  std::map<std::string, std::uint32_t> zones;
  for_tasks_of(spec.ref, [&](std::uint32_t, const std::vector<On>& where) {
    if (!where.empty()) ++zones[where.front().site];
  });
  if (spec.same_place && zones.size() > 1) breaks("wrong_place", spec.ref + " is in two zones");
  if (spec.scatter && zones[site] > (spec.units + 1) / 2)
    breaks("wrong_place", spec.ref + " is not scattered");
}

/// Calls `f` for each task of the job that was ever on a machine, with where it is now.
void Checker::for_tasks_of(const std::string& ref,
                           const std::function<void(std::uint32_t, const std::vector<On>&)>& f) const {
  for (auto it = on_.lower_bound({ref, 0}); it != on_.end() && it->first.first == ref; ++it)
    f(it->first.second, it->second);
}

/// What a layout insists on holds at every moment, old attempts included; a device serves one task at a time.
void Checker::check_layout(const JobSpec& spec, const On& here) {
  std::map<topology::DomainId, std::uint32_t> leaves;
  std::map<topology::DomainId, std::uint32_t> spread;
  std::set<topology::DomainId> together;
  std::map<std::string, std::uint32_t> devices;
  const auto level = [&](const auto& part) { return topology_->level(part.level); };
  for_tasks_of(spec.ref, [&](std::uint32_t, const std::vector<On>& where) {
    for (const On& o : where) {
      ++leaves[o.place.leaf];
      if (spec.layout && spec.layout->spread) ++spread[o.place.at(level(*spec.layout->spread))];
      if (spec.layout && spec.layout->together) together.insert(o.place.at(level(*spec.layout->together)));
    }
  });
  if (!spec.devices().empty()) {
    for (const auto& [unit, where] : on_) {
      for (const On& o : where) {
        if (o.host != here.host) continue;
        for (const auto& [name, n] : specs_.at(unit.first).devices()) devices[name] += n;
      }
    }
  }
  for (const auto& [id, n] : leaves) {
    double& most = most_in_one_[spec.ref];
    most = std::max(most, static_cast<double>(n) / spec.units);
  }
  if (!spec.layout) return;
  if (const auto& s = spec.layout->spread; s && s->must) {
    for (const auto& [id, n] : spread) {
      if (n > s->limit(spec.units))
        breaks("layout", spec.ref + " has " + std::to_string(n) + " tasks in " + topology_->path(id));
    }
  }
  if (const auto& t = spec.layout->together; t && t->must && together.size() > 1)
    breaks("layout", spec.ref + " is not together in one " + t->level);
  for (const auto& [name, n] : spec.devices()) {
    const auto there = here.place.devices.find(name);
    if (there == here.place.devices.end() || devices[name] > there->second)
      breaks("layout", spec.ref + " has no " + name + " on " + here.host);
  }
}

double Checker::most_in_one(const std::string& ref) const {
  const auto it = most_in_one_.find(ref);
  return it == most_in_one_.end() ? 0 : it->second;
}

std::set<std::pair<std::string, std::uint32_t>> Checker::on_any(const std::set<std::string>& hosts) const {
  std::set<std::pair<std::string, std::uint32_t>> out;
  for (const auto& [unit, where] : on_) {
    if (std::any_of(where.begin(), where.end(), [&](const On& o) { return hosts.contains(o.host); }))
      out.insert(unit);
  }
  return out;
}

void Checker::left(const std::string& ref, std::uint32_t task, const std::string& host) {
  const auto gone = std::erase_if(on_[{ref, task}], [&](const On& o) { return o.host == host; });
  for (std::size_t i = 0; i < gone; ++i) used_[specs_.at(ref).owner] -= specs_.at(ref).needs;
}

void Checker::look(Instant now) {
  for (const auto& [ref, cancelled] : cancelled_at_) {
    if (now - cancelled <= settings_.cancel) continue;
    for_tasks_of(ref, [&, &ref = ref](std::uint32_t task, const std::vector<On>& where) {
      if (!where.empty())
        breaks("ran_cancelled", unit_name(ref, task) + " is still on " + where.front().host);
    });
  }
  if (!troubles_over_) return;
  for (auto& [ref, j] : jobs_) {
    if (!j.answered || !j.asks || asked_.contains(ref)) continue;
    if (now - std::max(*j.answered, *troubles_over_) <= kForgotten) continue;
    breaks("forgotten", ref + " is not answered for");
    j.asks = false;  // said once
  }
}

// ---------------------------------------------------------------- the operators' addition

bool Checker::counts(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  return accepted_.contains(ref) && it != jobs_.end() && !it->second.hopeless && !asked_.contains(ref);
}

std::vector<std::string> Checker::open() const {
  std::vector<std::string> out;
  for (const std::string& ref : accepted_) {
    if (counts(ref) && !final_.contains(ref)) out.push_back(ref);
  }
  return out;
}

bool Checker::on_a_machine(const std::string& ref) const {
  for (auto it = on_.lower_bound({ref, 0}); it != on_.end() && it->first.first == ref; ++it) {
    if (!it->second.empty()) return true;
  }
  return false;
}

void Checker::waits(Instant now, const std::string& ref, bool room) {
  Job& j = jobs_[ref];
  if (!room) {
    j.room_since.reset();
    return;
  }
  if (!j.room_since) j.room_since = now;
  if (troubles_over_ && now - std::max(*j.room_since, *troubles_over_) > kLeftWaiting) {
    breaks("left_waiting", ref + " is not run though there is room for it");
    j.room_since = now;
  }
}

std::set<std::string> Checker::largest(const std::string& queue) const {
  std::vector<std::pair<double, std::string>> all;
  for (const auto& [ref, j] : jobs_) {
    if (!counts(ref) || specs_.at(ref).queue != queue) continue;
    const JobSpec& s = specs_.at(ref);
    const double cores = from_amount(s.needs.cores) + 8 * from_amount(s.needs.cards);
    all.emplace_back(s.units * cores * std::max(1.0, to_seconds(s.expected)), ref);
  }
  std::sort(all.rbegin(), all.rend());
  std::set<std::string> out;
  for (std::size_t i = 0; i < all.size() && i < (all.size() + kLargestOf - 1) / kLargestOf; ++i)
    out.insert(all[i].second);
  return out;
}

std::vector<Checker::Served> Checker::served(Instant now) const {
  std::map<std::string, std::vector<std::string>> groups;
  std::set<std::string> queues;
  for (const auto& [ref, j] : jobs_) {
    if (!counts(ref) || (now - *j.accepted < kLateStart && !final_.contains(ref))) continue;
    groups["class " + specs_.at(ref).queue].push_back(ref);
    groups["team " + specs_.at(ref).owner].push_back(ref);
    queues.insert(specs_.at(ref).queue);
  }
  for (const std::string& queue : queues) {
    for (const std::string& ref : largest(queue)) groups["largest of " + queue].push_back(ref);
  }
  std::vector<Served> out;
  for (const auto& [what, refs] : groups) {
    Served s{what, static_cast<int>(refs.size()), 0};
    for (const std::string& ref : refs) {
      const JobSpec& spec = specs_.at(ref);
      const bool done = spec.shape == Shape::daemon
                            ? jobs_.at(ref).started.size() * 2 >= spec.units
                            : completed_.contains(ref) && completed_.at(ref).size() == spec.units;
      s.served += done ? 1 : 0;
    }
    out.push_back(std::move(s));
  }
  return out;
}

Micros Checker::longest_wait(const std::string& queue, Instant now) const {
  Micros most{};
  for (const std::string& ref : largest(queue)) {
    const Job& j = jobs_.at(ref);
    most = std::max(most, j.began.value_or(now) - *j.accepted);
  }
  return most;
}

void Checker::judge(Instant now) {
  std::set<std::string> queues;
  for (const Served& s : served(now)) {
    if (s.served * 2 < s.jobs)
      breaks("starved", s.what + ": " + std::to_string(s.served) + " of " + std::to_string(s.jobs));
    if (s.what.starts_with("class ")) queues.insert(s.what.substr(6));
  }
  for (const std::string& queue : queues) {
    for (const std::string& ref : largest(queue)) {
      const Job& j = jobs_.at(ref);
      if (j.began.value_or(now) - *j.accepted <= kLateStart) continue;
      breaks("late_start", ref + ", one of the largest of " + queue + ", began after " +
                               std::to_string(to_seconds(j.began.value_or(now) - *j.accepted)) + " s");
    }
  }
}

}  // namespace wrenusher::lab

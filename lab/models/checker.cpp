#include "wrenusher/lab/checker.hpp"

namespace wrenusher::lab {

void Checker::breaks(const std::string& rule, const std::string& note) {
  broken_.insert(rule);
  notes_.push_back(rule + ": " + note);
}

void Checker::answered_submit(Instant, const std::string& ref, int status) {
  if (status == 200 || status == 201) accepted_.insert(ref);
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
  if (state == "done" || state == "withdrawn") final_.emplace(ref, state);
  if (state == "withdrawn") cancelled_at_.emplace(ref, now);
}

void Checker::answered_withdraw(Instant now, const std::string& ref, int status, const std::string& state) {
  if (status == 200) final_state(now, ref, state);
  if (status == 404 && accepted_.contains(ref)) breaks("forgotten", ref + " when withdrawn");
}

void Checker::answered_poll(Instant now, const std::string& ref, int status, const std::string& state) {
  if (status == 404 && accepted_.contains(ref)) breaks("forgotten", ref + " when asked for");
  if (status == 200) {
    if (!specs_.contains(ref)) {
      breaks("invented", ref);
      return;
    }
    final_state(now, ref, state);
  }
}

void Checker::started(Instant now, const std::string& ref, std::uint32_t task, const std::string& host,
                      const std::string& flavor, const std::string& site, bool standby) {
  ++starts_;
  const auto spec = specs_.find(ref);
  if (spec == specs_.end()) {
    breaks("invented", ref + " was started");
    return;
  }
  auto& places = on_[{ref, task}];
  for (const On& other : places) {
    if (other.host != host) breaks("ran_twice", unit_name(ref, task) + " on " + other.host + " and " + host);
  }
  if (!spec->second.allows(flavor, site, standby))
    breaks("wrong_place", unit_name(ref, task) + " on " + host);
  places.push_back({host, site});
  std::map<std::string, std::uint32_t> zones;
  double cores = 0;
  double cards = 0;
  for (const auto& [unit, where] : on_) {
    if (where.empty()) continue;
    if (unit.first == ref) ++zones[where.front().site];
    const JobSpec& other = specs_.at(unit.first);
    if (other.owner != spec->second.owner) continue;
    cores += from_amount(other.needs.cores) * static_cast<double>(where.size());
    cards += from_amount(other.needs.cards) * static_cast<double>(where.size());
  }
  if (spec->second.same_place && zones.size() > 1) breaks("wrong_place", ref + " is in two zones");
  if (spec->second.scatter && zones[site] > (spec->second.units + 1) / 2)
    breaks("wrong_place", ref + " is not scattered");
  const Team* team = settings_.team(spec->second.owner);
  if (team != nullptr && team->cores_max > 0 && cores > team->cores_max + 1e-6) breaks("quota", team->name);
  if (team != nullptr && team->cards_max > 0 && cards > team->cards_max + 1e-6) breaks("quota", team->name);
  const auto cancelled = cancelled_at_.find(ref);
  if (cancelled != cancelled_at_.end() && now - cancelled->second > settings_.cancel) {
    breaks("ran_cancelled", unit_name(ref, task) + " started");
  }
}

void Checker::left(const std::string& ref, std::uint32_t task, const std::string& host) {
  std::erase_if(on_[{ref, task}], [&](const On& o) { return o.host == host; });
}

void Checker::look(Instant now) {
  for (const auto& [unit, where] : on_) {
    const auto cancelled = cancelled_at_.find(unit.first);
    if (!where.empty() && cancelled != cancelled_at_.end() && now - cancelled->second > settings_.cancel) {
      breaks("ran_cancelled", unit_name(unit.first, unit.second) + " is still on " + where.front().host);
    }
  }
}

}  // namespace wrenusher::lab

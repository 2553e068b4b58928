#include "wrenusher/machines/machines.hpp"

#include <algorithm>

namespace wrenusher::machines {

Machine& Machines::at(const std::string& host) {
  Machine& m = machines_[host];
  if (m.name.empty()) m.name = host;
  return m;
}

Machine* Machines::find(const std::string& host) {
  const auto it = machines_.find(host);
  return it == machines_.end() ? nullptr : &it->second;
}

const Flavor* Machines::flavor(const Machine& m) const {
  if (!catalog_) return nullptr;
  const auto it = catalog_->find(m.flavor);
  return it == catalog_->end() ? nullptr : &it->second;
}

void Machines::book(Machine& m, const JobSpec& spec) {
  m.use.booked += spec.needs;
  ++m.use.claims;
  if (spec.shape != Shape::daemon) return;
  m.use.lasting += spec.needs;
  ++m.use.services;
}

void Machines::unbook(Machine& m, const JobSpec& spec) {
  m.use.booked -= spec.needs;
  --m.use.claims;
  if (spec.shape != Shape::daemon) return;
  m.use.lasting -= spec.needs;
  --m.use.services;
}

void Machines::progress_pulls(Machine& m) {
  constexpr double kLeast = 0.05;
  const double seconds = to_seconds(rt_.now() - m.pulled_at);
  m.pulled_at = rt_.now();
  const Flavor* f = m.pulling.empty() ? nullptr : flavor(m);
  if (f == nullptr) return;
  const double each = seconds * f->pull_gb_per_s / static_cast<double>(m.pulling.size());
  for (auto& [bundle, p] : m.pulling) p.left_gb = std::max(p.left_gb - each, p.size_gb * kLeast);
}

bool Machines::begin_pull(Machine& m, const JobSpec& spec) {
  if (m.images.contains(spec.bundle)) return false;
  progress_pulls(m);
  const auto [it, first] =
      m.pulling.try_emplace(spec.bundle, Pulling{spec.image_gb, spec.image_gb, 0, spec.urgency});
  ++it->second.tasks;
  it->second.urgency = std::min(it->second.urgency, spec.urgency);
  return true;
}

void Machines::end_pull(Machine& m, const JobSpec& spec) {
  progress_pulls(m);
  const auto it = m.pulling.find(spec.bundle);
  if (--it->second.tasks == 0) m.pulling.erase(it);
}

void Machines::use_image(Machine& m, const JobSpec& spec) {
  m.images[spec.bundle] = ++uses_;
  m.image_gb[spec.bundle] = spec.image_gb;
  const Flavor* f = flavor(m);
  if (f == nullptr) return;
  double total = 0;
  for (const auto& [bundle, used] : m.images) total += m.image_gb[bundle];
  while (total > f->cache_gb && m.images.size() > 1) {
    const auto oldest = std::min_element(m.images.begin(), m.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    total -= m.image_gb[oldest->first];
    m.image_gb.erase(oldest->first);
    m.images.erase(oldest);
  }
}

void Machines::lose_image(Machine& m, const JobSpec& spec) {
  m.images.erase(spec.bundle);
  m.image_gb.erase(spec.bundle);
}

planner::PlanHost Machines::plan_host(const Machine& m, const Flavor& f) const {
  planner::PlanHost h;
  h.name = m.name;
  h.site = m.site;
  h.flavor = &f;
  h.standby = m.standby;
  h.stays = m.use.services > 0;
  h.room = f.room;
  h.room -= m.use.booked;
  h.speed = estimator_.speed(m.name);
  h.images = &m.images;
  h.pulls.reserve(m.pulling.size());
  for (const auto& [bundle, p] : m.pulling) h.pulls.push_back({bundle, p.left_gb, p.urgency});
  return h;
}

std::string Machines::disagreement(const std::map<const Machine*, Reckoned>& anew) const {
  static const Reckoned kNothing;
  for (const auto& [name, m] : machines_) {
    const auto it = anew.find(&m);
    const Reckoned& r = it == anew.end() ? kNothing : it->second;
    const bool pulls = std::equal(
        m.pulling.begin(), m.pulling.end(), r.pulls.begin(), r.pulls.end(),
        [](const auto& a, const auto& b) { return a.first == b.first && a.second.tasks == b.second; });
    if (!(r.use == m.use) || !pulls) return "machine " + name + " is booked wrongly";
  }
  return {};
}

}  // namespace wrenusher::machines

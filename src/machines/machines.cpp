#include "wrenusher/machines/machines.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::machines {

Machine& Machines::at(const std::string& host) {
  if (Machine* known = find(host)) return *known;
  Machine& m = machines_[host];
  m.name = host;
  by_name_.emplace(m.name, &m);
  return m;
}

Machine* Machines::find(const std::string& host) {
  const auto it = by_name_.find(host);
  return it == by_name_.end() ? nullptr : it->second;
}

void Machines::clear() {
  by_name_.clear();
  machines_.clear();
  touched_.clear();
  untold_.clear();
  freed_.clear();
  pulling_.clear();
  ++generation_;
}

void Machines::erase(const std::string& host) {
  const auto it = machines_.find(host);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  if (m.touched) std::erase(touched_, &m);
  if (m.untold) std::erase(untold_, &m);
  pulling_.erase(&m);
  if (m.slot != Machine::kNoSlot) freed_.push_back(m.slot);
  by_name_.erase(m.name);
  machines_.erase(it);
}

void Machines::seen(Machine& m, const WorkerReport& r, bool current) {
  const bool moved = m.addr != r.addr || m.flavor != r.flavor || m.site != r.site;
  if (moved || m.standby != r.standby || m.current != current || m.quiet || m.warned != r.warning.has_value())
    touch(m);
  m.addr = r.addr;
  m.flavor = r.flavor;
  m.site = r.site;
  m.standby = r.standby;
  m.tenure = r.tenure;
  m.current = current;
  m.quiet = false;
  m.warned = r.warning.has_value();
  if (moved && topology_) m.place = topology_->find(m.name, m.addr, m.flavor, m.site);
}

void Machines::take_catalog(std::shared_ptr<const Catalog> catalog) {
  // The planner's board points into it: the same types once more change nothing.
  if (catalog_ && catalog && *catalog == *catalog_) return;
  catalog_ = std::move(catalog);
  ++generation_;
}

void Machines::take_topology(std::shared_ptr<const topology::Topology> t) {
  if (topology_ == t) return;
  topology_ = std::move(t);
  // Where every job's tasks are reads otherwise from now on.
  ++generation_;
  for (auto& [name, m] : machines_) {
    m.place =
        topology_ && !m.site.empty() ? topology_->find(m.name, m.addr, m.flavor, m.site) : topology::Place{};
  }
}

void Machines::want_devices(std::set<std::string> names) {
  if (names == wanted_) return;
  wanted_ = std::move(names);
  for (auto& [name, m] : machines_) {
    if (!m.place.devices.empty()) touch(m);
  }
}

void Machines::touch(Machine& m) {
  if (!std::exchange(m.untold, true)) untold_.push_back(&m);
  if (!std::exchange(m.touched, true)) touched_.push_back(&m);
}

std::vector<Machine*> Machines::take_untold(std::size_t most) {
  const auto n = static_cast<std::ptrdiff_t>(std::min(most, untold_.size()));
  std::vector<Machine*> out(untold_.begin(), untold_.begin() + n);
  untold_.erase(untold_.begin(), untold_.begin() + n);
  for (Machine* m : out) m->untold = false;
  return out;
}

void Machines::inherit(Machine& m, const std::vector<Held>& held) {
  touch(m);
  for (const Held& h : held) {
    if (h.left_gb > 0) {
      m.fetched[h.bundle] = h.left_gb;
    } else {
      m.images[h.bundle] = ++uses_;
      m.image_gb[h.bundle] = h.gb;
    }
  }
}

std::vector<Machine*> Machines::take_touched() {
  for (Machine* m : touched_) m->touched = false;
  return std::exchange(touched_, {});
}

const Flavor* Machines::type(const std::string& name) const {
  if (!catalog_) return nullptr;
  const auto it = catalog_->find(name);
  return it == catalog_->end() ? nullptr : &it->second;
}

void Machines::book(Machine& m, const JobSpec& spec) {
  touch(m);
  m.use.booked += spec.needs;
  ++m.use.claims;
  for (const auto& [name, n] : spec.devices()) m.use.devices[name] += n;
  if (spec.shape != Shape::daemon) return;
  m.use.lasting += spec.needs;
  ++m.use.services;
}

void Machines::unbook(Machine& m, const JobSpec& spec) {
  touch(m);
  m.use.booked -= spec.needs;
  --m.use.claims;
  for (const auto& [name, n] : spec.devices()) {
    if ((m.use.devices[name] -= n) == 0) m.use.devices.erase(name);
  }
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
  touch(m);
  pulling_.insert(&m);
  const auto [it, first] =
      m.pulling.try_emplace(spec.bundle, Pulling{spec.image_gb, spec.image_gb, 0, spec.urgency});
  if (auto begun = m.fetched.extract(spec.bundle))
    it->second.left_gb = std::min(it->second.left_gb, begun.mapped());
  ++it->second.tasks;
  it->second.urgency = std::min(it->second.urgency, spec.urgency);
  return true;
}

void Machines::end_pull(Machine& m, const JobSpec& spec) {
  progress_pulls(m);
  const auto it = m.pulling.find(spec.bundle);
  touch(m);
  if (--it->second.tasks == 0) m.pulling.erase(it);
  if (m.pulling.empty()) pulling_.erase(&m);
}

void Machines::use_image(Machine& m, const JobSpec& spec) {
  if (!m.images.contains(spec.bundle)) touch(m);
  m.images[spec.bundle] = ++uses_;
  m.image_gb[spec.bundle] = spec.image_gb;
  const Flavor* f = flavor(m);
  if (f == nullptr) return;
  double total = 0;
  for (const auto& [bundle, used] : m.images) total += m.image_gb[bundle];
  while (total > f->cache_gb && m.images.size() > 1) {
    const auto oldest = std::min_element(m.images.begin(), m.images.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    touch(m);
    total -= m.image_gb[oldest->first];
    m.image_gb.erase(oldest->first);
    m.images.erase(oldest);
  }
}

void Machines::lose_image(Machine& m, const JobSpec& spec) {
  touch(m);
  m.images.erase(spec.bundle);
  m.image_gb.erase(spec.bundle);
}

std::vector<planner::Pull> Machines::pulls_of(const Machine& m) {
  std::vector<planner::Pull> out;
  out.reserve(m.pulling.size());
  for (const auto& [bundle, p] : m.pulling) out.push_back({bundle, p.left_gb, p.urgency});
  return out;
}

planner::PlanHost Machines::plan_host(const Machine& m, const Flavor& f) const {
  planner::PlanHost h;
  h.name = m.name;
  h.site = m.site;
  h.flavor = &f;
  h.standby = m.standby;
  h.stays = m.use.services > 0;
  h.free.room = f.room;
  h.free.room -= m.use.booked;
  h.speed = estimator_.speed(m.name);
  h.images = &m.images;
  h.pulls = pulls_of(m);
  if (!topology_) return h;
  h.place = &m.place;
  for (const auto& [device, n] : m.place.devices) {
    const auto used = m.use.devices.find(device);
    const std::uint32_t booked = used == m.use.devices.end() ? 0 : used->second;
    h.free.devices[device] = n - std::min(n, booked);
    h.guarded = h.guarded || wanted_.contains(device);
  }
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

#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

namespace {

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b) {
  return a < b ? std::pair(a, b) : std::pair(b, a);
}

}  // namespace

void Links::cut(const std::string& a, const std::string& b, LinkCut how) {
  pairs_[ordered(a, b)] = how;
}

void Links::cut_zone(const std::string& zone, LinkCut how) {
  cut_group([this, zone](const std::string& who) { return zone_of && zone_of(who) == zone; }, how);
}

void Links::cut_group(std::function<bool(const std::string&)> inside, LinkCut how) {
  groups_.emplace_back(std::move(inside), how);
}

void Links::heal() {
  pairs_.clear();
  one_way_.clear();
  requests_.clear();
  groups_.clear();
}

LinkCut Links::between(const std::string& from, const std::string& to) const {
  for (const auto& [inside, how] : groups_) {
    if (inside(from) != inside(to)) return how;
  }
  if (const auto d = one_way_.find({from, to}); d != one_way_.end()) return d->second;
  const auto it = pairs_.find(ordered(from, to));
  return it == pairs_.end() ? LinkCut::none : it->second;
}

LinkCut Links::asking(const std::string& from, const std::string& to) const {
  if (const LinkCut how = between(from, to); how != LinkCut::none) return how;
  const auto it = requests_.find({from, to});
  return it == requests_.end() ? LinkCut::none : it->second;
}

}  // namespace wrenusher::testbed

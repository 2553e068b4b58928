#include "wrenusher/lab/wires.hpp"

namespace wrenusher::lab {

namespace {

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b) {
  return a < b ? std::pair(a, b) : std::pair(b, a);
}

}  // namespace

void Links::cut(const std::string& a, const std::string& b, Cut how) {
  pairs_[ordered(a, b)] = how;
}

void Links::cut_zone(const std::string& zone, Cut how) {
  zone_ = zone;
  zone_cut_ = how;
}

void Links::heal() {
  pairs_.clear();
  zone_.clear();
  zone_cut_ = Cut::none;
}

Cut Links::between(const std::string& a, const std::string& b) const {
  if (!zone_.empty() && zone_of && (zone_of(a) == zone_) != (zone_of(b) == zone_)) return zone_cut_;
  const auto it = pairs_.find(ordered(a, b));
  return it == pairs_.end() ? Cut::none : it->second;
}

}  // namespace wrenusher::lab

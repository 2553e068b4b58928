#pragma once
// Package lab models: one model of the state service, the cloud, the workers, the users and their balancer,
// for every use: tests and experiments in simulated time, and a lab on loopback in real time. It owns the
// models' state and the checker of the rules; what time it is and how messages travel comes from whoever
// drives it, through Wires. It may depend on base, settings, protocol and records, never on the daemon's
// rooms.

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::testbed {

using namespace time;
using namespace runtime;

/// What a broken link does with what is sent over it.
enum class LinkCut {
  none,
  hold,  ///< delivered when the link is whole again, however late
  reset  ///< refused at once
};

/// Which parties cannot reach which. Parties have names: "c0", "state", "cloud", "user", "m-7".
class Links {
 public:
  /// Both ways, until healed.
  void cut(const std::string& a, const std::string& b, LinkCut how);
  /// What goes from one to the other, and not back.
  void cut_one_way(const std::string& from, const std::string& to, LinkCut how) {
    one_way_[{from, to}] = how;
  }
  /// What one asks of the other; its answers to what the other asks still go back.
  void cut_requests(const std::string& from, const std::string& to, LinkCut how) {
    requests_[{from, to}] = how;
  }
  /// A zone with all that is and comes up in it, from everything outside.
  void cut_zone(const std::string& zone, LinkCut how);
  /// Likewise all parties of which `inside` is true.
  void cut_group(std::function<bool(const std::string&)> inside, LinkCut how);
  void heal();
  /// Tells the zone of a party; empty for what belongs to none.
  std::function<std::string(const std::string&)> zone_of;
  LinkCut between(const std::string& from, const std::string& to) const;
  /// What becomes of a request.
  LinkCut asking(const std::string& from, const std::string& to) const;

 private:
  std::map<std::pair<std::string, std::string>, LinkCut> pairs_;
  std::map<std::pair<std::string, std::string>, LinkCut> one_way_;
  std::map<std::pair<std::string, std::string>, LinkCut> requests_;
  std::vector<std::pair<std::function<bool(const std::string&)>, LinkCut>> groups_;
};

/// A clock, chance, and messages between named parties.
class Transport {
 public:
  using Handler = std::function<void(const std::string& from, const Request&, const Responder&)>;

  Transport() = default;
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  virtual ~Transport() = default;

  virtual Instant now() const = 0;
  virtual void at(Micros delay, std::function<void()> f) = 0;
  virtual std::mt19937_64& random() = 0;
  /// One request, answered within the time or not at all.
  virtual void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                    CallHandler done) = 0;
  /// A new party that can be asked; gives the address at which, or nothing where none is to be had.
  virtual std::optional<Endpoint> serve(const std::string& who, Handler handler) = 0;
  virtual void unserve(const Endpoint& at) = 0;

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random()); }
  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random()); }
};

}  // namespace wrenusher::testbed

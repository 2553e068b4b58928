#pragma once
// The interface between the testbed models and the program that drives them: clock, random numbers and
// messages, and the links that can be cut.
//
// The models package contains the state service, the cloud, the workers, the users and their load balancer.
// Tests and experiments in simulated time and the live testbed on loopback all use the same models. The
// package owns the state of the models and the checker of the rules; the driver provides the Transport. The
// package may depend on the time, value, runtime, settings, protocol and topology packages, but never on the
// packages of the daemon.

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

/// What a broken link does with the messages sent over it.
enum class LinkCut {
  none,
  hold,  ///< delivered when the link is healed, without a time limit
  reset  ///< refused immediately
};

/// The links that are cut between named parties, such as "c0", "state", "cloud", "user" and "m-7".
class Links {
 public:
  /// Cuts both directions until heal().
  void cut(const std::string& a, const std::string& b, LinkCut how);
  /// Cuts only the direction from `from` to `to`.
  void cut_one_way(const std::string& from, const std::string& to, LinkCut how) {
    one_way_[{from, to}] = how;
  }
  /// Cuts the requests from `from` to `to`. Requests in the other direction and their answers still arrive.
  void cut_requests(const std::string& from, const std::string& to, LinkCut how) {
    requests_[{from, to}] = how;
  }
  /// Cuts a zone off from everything outside, including machines that boot in it later.
  void cut_zone(const std::string& zone, LinkCut how);
  /// Cuts the parties for which `inside` returns true off from all others.
  void cut_group(std::function<bool(const std::string&)> inside, LinkCut how);
  void heal();
  /// Returns the zone of a party; empty for a party without a zone.
  std::function<std::string(const std::string&)> zone_of;
  /// Returns how messages from `from` to `to` are cut.
  LinkCut between(const std::string& from, const std::string& to) const;
  /// Returns how requests from `from` to `to` are cut.
  LinkCut asking(const std::string& from, const std::string& to) const;

 private:
  std::map<std::pair<std::string, std::string>, LinkCut> pairs_;
  std::map<std::pair<std::string, std::string>, LinkCut> one_way_;
  std::map<std::pair<std::string, std::string>, LinkCut> requests_;
  std::vector<std::pair<std::function<bool(const std::string&)>, LinkCut>> groups_;
};

/// Provides a clock, random numbers, and messages between named parties.
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
  /// Sends a request. `done` gets the answer, or an unanswered result at the latest after `timeout`.
  virtual void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                    CallHandler done) = 0;
  /// Registers a party that serves requests. Returns its address, or nothing if no address is available.
  virtual std::optional<Endpoint> serve(const std::string& who, Handler handler) = 0;
  virtual void unserve(const Endpoint& at) = 0;

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random()); }
  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random()); }
};

}  // namespace wrenusher::testbed

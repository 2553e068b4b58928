#pragma once
// Heartbeats between controllers: epoch, leader, what each can reach, and cancellations just accepted.

#include <deque>
#include <memory>

#include "wrenusher/membership/leadership.hpp"

namespace wrenusher::membership {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace store;
using namespace mail;

class Peer {
 public:
  Peer(Runtime& rt, const Settings& settings);
  void start();
  /// Another controller's request on `peer_listen`.
  void serve(const Request& request, const Answer& answer);

  void on_term(const TermChanged& t) { term_ = t; }
  void on_health(const StoreHealth& h) { store_ = h.reachable; }
  void on_hearing(const Hearing& h) { hears_ = h.hears_workers; }
  void on_withdrawn(const JobWithdrawn& w);
  void on_topology(const TopologyRead& t);
  void on_force(const TopologyInForce& t) { force_ = t.edition; }
  void on_progress(const std::shared_ptr<const Progress>& p) { untold_ = p; }

  Sink<PeerNews> news;
  Sink<JobWithdrawn> withdrawn;
  Sink<std::shared_ptr<const Progress>> progress;

 private:
  void beat();
  void send();
  Value describe() const;
  void learn(const Value& v);

  Runtime& rt_;
  const Settings& settings_;
  TermChanged term_;
  bool store_ = false;
  topology::Edition mine_;
  topology::Edition force_;
  bool hears_ = false;
  std::deque<std::pair<Instant, std::string>> recent_;
  std::shared_ptr<const Progress> untold_;  ///< goes out with the next beat
};

}  // namespace wrenusher::membership

#pragma once
// The state service of PROTOCOL, whole: keys with revisions, conditional transactions, holds, /follow,
// limits.

#include <memory>

#include "wrenusher/lab/keep.hpp"
#include "wrenusher/lab/pace.hpp"
#include "wrenusher/lab/wires.hpp"
#include "wrenusher/settings/settings.hpp"

namespace wrenusher::lab {

struct StateLimits {
  double rps = 0;  ///< requests a second
  double write_rps = 0;
  double value_kb = 0;
  std::size_t txn_ops = 0;
};
/// What a cluster's settings say of its state service.
StateLimits limits_of(const settings::Settings& s);

class StateService {
 public:
  /// Throws KeepDamaged.
  StateService(Wires& wires, const StateLimits& limits, std::unique_ptr<Keep> keep);

  void serve(const std::string& from, const Request& r, const Answer& answer);

  /// Told of each change once it is durable, before it is visible.
  std::function<void(const Batch&)> on_saved;

  // Troubles
  void outage(bool on);
  /// Only this party gets 503.
  void refuse(const std::string& who, bool on);
  /// Every answer takes this much longer.
  void slow(Micros by) { slow_ = by; }
  /// Changes so far can't be followed any more: who asks for older ones is told so.
  void forget_past() {
    past_before_ = revision_;
    past_.clear();
  }

  /// What it knows, for whoever looks from outside the world.
  const Entry* find(const std::string& key) const;
  std::size_t count(const std::string& prefix) const;
  const std::map<std::string, Entry>& keys() const { return keys_; }
  const std::map<std::string, std::uint64_t>& requests() const { return requests_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t refusals() const { return refusals_; }
  /// Why nothing can be kept at present; empty while it can.
  std::string trouble() const { return trouble_; }

 private:
  struct Hold {
    Micros life{};
    Instant ends{};
  };
  struct Follow {
    std::string who;
    std::string prefix;
    std::uint64_t from = 0;
    Instant ends{};
    Answer answer;
  };
  void respond(const Answer& answer, Response r);
  void get(const std::string& key, const Answer& answer);
  void list(const std::string& target, const Answer& answer);
  void follow(const std::string& from, const std::string& target, const Answer& answer);
  void multi(const Value& body, const Answer& answer);
  void make_hold(const Value& body, const Answer& answer);
  void serve_hold(const Request& r, const Answer& answer);
  std::optional<Batch> read_changes(const Value::List& apply, std::string& error) const;
  bool apply(Batch& b);
  bool end_hold(std::uint64_t id);
  void expire();
  void wake();
  bool answers(const std::string& who) const { return !down_ && !refused_.contains(who); }

  Wires& wires_;
  StateLimits limits_;
  std::unique_ptr<Keep> keep_;
  std::uint64_t revision_ = 0;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t holds_made_ = 0;
  std::deque<Past> past_;
  std::uint64_t past_before_ = 0;
  std::vector<Follow> follows_;
  bool down_ = false;
  std::set<std::string> refused_;
  Micros slow_{};
  Pace pace_;
  Pace write_pace_;
  std::map<std::string, std::uint64_t> requests_;
  std::uint64_t writes_ = 0;
  std::uint64_t refusals_ = 0;
  std::string trouble_;
};

}  // namespace wrenusher::lab

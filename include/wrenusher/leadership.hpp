#pragma once
// Who may give commands: a hold in the state service, an epoch per term, and the window in which this node
// may be certain that nobody else leads.

#include "wrenusher/store.hpp"

namespace wrenusher {

/// A term began or ended, here or elsewhere.
struct TermChanged {
  bool leading = false;
  std::uint64_t epoch = 0;  ///< the highest this node knows
  std::uint64_t stamp = 0;  ///< of the `leader` key while leading: a condition of every scheduling write
  std::string leader;       ///< empty: not known
};

/// Until when this node is certain to be the only leader.
struct Certainty {
  Instant until{};
};

/// What a peer says of itself.
struct PeerNews {
  std::string node;
  std::uint64_t epoch = 0;
  std::string leader;
  bool leading = false;
  bool store = false;
  bool hears_workers = false;
  std::vector<std::string> withdrawn;
};

/// A worker or a peer showed an epoch above ours, or a write failed on the `leader` key.
struct Deposed {
  std::uint64_t epoch = 0;
};

/// Whether workers that should report to this leader do.
struct Hearing {
  bool deaf = false;
  bool hears_workers = false;
  bool had_workers = false;  ///< some reported in this term
};

class Leadership {
 public:
  Leadership(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_peer(const PeerNews& news);
  void on_deposed(const Deposed& d);
  void on_hearing(const Hearing& h);

  /// Leads, and may be sure that nobody else does.
  bool certain() const { return leading_ && rt_.now() < certain_until_; }

  Sink<TermChanged> changed;
  Sink<Certainty> certainty;

 private:
  struct PeerState {
    PeerNews news;
    Instant at{};
  };
  void tick();
  void look();
  void campaign(std::uint64_t stamp);
  void abandon(std::uint64_t tenancy);
  void win(std::uint64_t tenancy, std::uint64_t epoch, std::uint64_t stamp, Instant sent);
  void extend();
  void stand_down(const char* why, Micros abstain);
  void note_epoch(std::uint64_t epoch, const std::string& leader);
  void prove(Instant sent);
  bool fresh(const PeerState& p) const;

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  std::map<std::string, PeerState> peers_;
  bool leading_ = false;
  bool busy_ = false;
  std::uint64_t epoch_ = 0;
  std::uint64_t tenancy_ = 0;
  std::string leader_;
  Instant certain_until_{};
  Instant next_look_{};
  Instant next_extend_{};
  Instant abstain_until_{};
  Instant deaf_since_{};
  bool deaf_ = false;
  bool had_workers_ = false;
};

}  // namespace wrenusher

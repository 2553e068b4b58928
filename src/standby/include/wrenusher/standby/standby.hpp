#pragma once
// Package standby: what a node that does not lead holds ready, so that a term begins with what the last one
// had learnt. It owns a copy of the records (checked against the state service when this node has won) and
// the leader's hints of what no record holds, which travel as bounded pieces in the peers' heartbeats. A hint
// may order and estimate, never prove. It may depend on base, settings, protocol, store, records and mail.

#include <map>
#include <random>
#include <string>
#include <vector>

#include "wrenusher/mail/mail.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/standby/check.hpp"
#include "wrenusher/standby/copy.hpp"
#include "wrenusher/standby/teller.hpp"

namespace wrenusher::standby {

class Standby {
 public:
  Standby(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_term(const TermChanged& t);
  void on_aside(const Aside& a);
  void on_beat(const BeatSent& b);
  void on_ceding(const Ceding& c);
  void on_ledger(const std::shared_ptr<const LedgerHints>& h);
  void on_rentals(const std::shared_ptr<const RentalHints>& h);
  void on_gone(const HostGone& g);

  Readiness ready() const;

  Sink<Aside> aside;
  Sink<Readiness> readiness;
  Sink<std::shared_ptr<const Inheritance>> inherited;
  Sink<RecordsCopied> copied;
  Sink<CancellationsRead> cancellations_read;
  Sink<RecordsFollowed> followed;

 private:
  /// What a peer said of itself.
  struct PeerState {
    std::uint64_t life = 0;
    std::uint64_t since = 0;                ///< what it told before this message of its is void
    std::uint64_t told_by = 0;              ///< the leader's life that told it all there was
    std::vector<std::uint64_t> to_confirm;  ///< messages that came from it
  };
  void tick();
  void lead();
  void take_hints(const Value& v, PeerState& from);
  void tell(const std::string& peer);
  void tell_all();

  Runtime& rt_;
  const Settings& settings_;
  const std::uint64_t life_;  ///< tells this process from its earlier ones
  TermChanged term_;
  Copy copy_;
  Check check_;
  Teller teller_;
  Picture picture_;  ///< while another leads
  std::map<std::string, PeerState> peers_;
  std::uint64_t told_by_ = 0;  ///< whose picture this is, once nothing of it is missing
  Instant told_at_{};          ///< when that was last so
  std::optional<Readiness> said_;
  Instant cold_since_{};
  Instant complain_at_{};
};

}  // namespace wrenusher::standby

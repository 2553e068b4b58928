#pragma once
// Leadership state of this node, shared by the components of the provisioner.

#include <cstdint>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::provisioner {

/// Leadership of this node: the current term, and until when its lease is certain to be valid. Owned by the
/// Provisioner and read by its components. Single-threaded: used from the runtime's loop only.
class LeaderTerm {
 public:
  explicit LeaderTerm(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Stores the new state. Returns whether a new term of this node begins with it.
  [[nodiscard]] bool update(const events::TermChanged& term) {
    const bool begins = term.leading && !is_current(term.fencing_token);
    term_ = term;
    return begins;
  }
  void set_lease_valid_until(time::Instant until) { lease_valid_until_ = until; }

  bool leading() const { return term_.leading; }
  std::uint64_t fencing_token() const { return term_.fencing_token; }
  /// Modification revision of the `leader` key, the compare-and-swap condition of every scheduling write.
  std::uint64_t mod_revision() const { return term_.mod_revision; }
  /// Returns whether this node is certain to be the only leader at this moment.
  bool lease_valid() const { return term_.leading && runtime_.now() < lease_valid_until_; }
  /// Returns whether this node leads with this fencing token. Used to drop replies to calls of earlier terms.
  bool is_current(std::uint64_t fencing_token) const {
    return term_.leading && term_.fencing_token == fencing_token;
  }

 private:
  runtime::Runtime& runtime_;
  events::TermChanged term_;
  time::Instant lease_valid_until_{};
};

}  // namespace wrenusher::provisioner

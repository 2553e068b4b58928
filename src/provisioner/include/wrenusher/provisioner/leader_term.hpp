#pragma once
// Whether this node leads, as the parts of the provisioner need to know it.

#include <cstdint>

#include "wrenusher/events/membership.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::provisioner {

/// This node's leadership: the term, and until when its lease is certainly valid. Owned by the Provisioner,
/// read by its parts. Single-threaded: used from the runtime's loop only.
class LeaderTerm {
 public:
  explicit LeaderTerm(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Takes over a change of term. Returns whether a term of this node begins with it.
  [[nodiscard]] bool update(const events::TermChanged& term) {
    const bool begins = term.leading && !is_current(term.fencing_token);
    term_ = term;
    return begins;
  }
  void set_lease_valid_until(time::Instant until) { lease_valid_until_ = until; }

  bool leading() const { return term_.leading; }
  std::uint64_t fencing_token() const { return term_.fencing_token; }
  /// Modification revision of the `leader` key, a condition of every scheduling write.
  std::uint64_t mod_revision() const { return term_.mod_revision; }
  /// Whether this node is certain to be the only leader at this moment.
  bool lease_valid() const { return term_.leading && runtime_.now() < lease_valid_until_; }
  /// Whether this node leads and with this fencing token: replies to calls of an earlier term are dropped.
  bool is_current(std::uint64_t fencing_token) const {
    return term_.leading && term_.fencing_token == fencing_token;
  }

 private:
  runtime::Runtime& runtime_;
  events::TermChanged term_;
  time::Instant lease_valid_until_{};
};

}  // namespace wrenusher::provisioner

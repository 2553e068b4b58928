#pragma once
// How long the parts of a takeover took, told in one line once nothing stands open of what the last term
// left.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wrenusher/mail/mail.hpp"

namespace wrenusher::ledger {

using namespace base;
using namespace mail;

class TakeoverTimes {
 public:
  void begin(const TermChanged& t, Instant now);
  void stop() { open_ = false; }
  /// A machine that the last term had.
  void awaits(const std::string& host);
  void read(bool by_copy, Instant now);
  /// A worker that has taken the term's epoch was heard.
  void heard(const std::string& host, Instant now);
  void gone(const std::string& host) { awaited_.erase(host); }
  void started(Instant now);
  /// Whether it is over: nothing is left open, or it takes too long. Told once.
  std::optional<TakenOver> ended(std::size_t claims_unproven, Instant now);

 private:
  bool open_ = false;
  Instant began_{};
  TakenOver told_;
  std::set<std::string> awaited_;
  std::vector<Micros> times_;  ///< of the machines heard that were awaited
};

}  // namespace wrenusher::ledger

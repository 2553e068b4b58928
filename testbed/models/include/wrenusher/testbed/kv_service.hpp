#pragma once
// Complete implementation of the state service in PROTOCOL: keys with revisions, conditional transactions,
// leases, watches and limits.

#include <memory>

#include "wrenusher/settings/settings.hpp"
#include "wrenusher/testbed/durable_storage.hpp"
#include "wrenusher/testbed/pace.hpp"
#include "wrenusher/testbed/transport.hpp"

namespace wrenusher::testbed {

struct KvLimits {
  double rps = 0;  ///< requests a second
  double write_rps = 0;
  double value_kb = 0;
  std::size_t txn_ops = 0;
};
/// Returns the limits of the state service in a cluster's settings.
KvLimits limits_of(const settings::Settings& s);

class KvService {
 public:
  /// Loads the stored state. Throws StorageDamaged.
  KvService(Transport& transport, const KvLimits& limits, std::unique_ptr<DurableStorage> storage);

  void serve(const std::string& from, const Request& r, const Responder& answer);

  /// Called for each batch when it is durable and before it is visible.
  std::function<void(const WriteBatch&)> on_saved;

  // Faults
  void outage(bool on);
  /// Answers requests of this client, and only these, with 503 while on.
  void refuse(const std::string& who, bool on);
  /// Delays every answer by this time.
  void slow(Micros by) { answer_delay_ = by; }
  /// Drops all past changes. A watch from an older revision is answered with 410.
  void forget_past() {
    past_before_ = revision_;
    past_.clear();
  }

  // Direct access to the state for tests and drivers, which bypasses the transport.
  /// Returns the entry of a key; null if there is none.
  const KvEntry* find(const std::string& key) const;
  std::size_t count(const std::string& prefix) const;
  const std::map<std::string, KvEntry>& keys() const { return keys_; }
  const std::map<std::string, std::uint64_t>& requests() const { return requests_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t refusals() const { return refusals_; }
  /// Returns why the last batch could not be stored; empty if it was stored.
  std::string storage_error() const { return storage_error_; }

 private:
  struct Lease {
    Micros ttl{};
    Instant ends{};
  };
  struct Watch {
    std::string who;
    std::string prefix;
    std::uint64_t from = 0;
    Instant ends{};
    Responder answer;
  };
  void respond(const Responder& answer, Response r);
  void get(const std::string& key, const Responder& answer);
  void list(const std::string& target, const Responder& answer);
  void watch(const std::string& from, const std::string& target, const Responder& answer);
  void transact(const Value& body, const Responder& answer);
  void grant_lease(const Value& body, const Responder& answer);
  void serve_lease(const Request& r, const Responder& answer);
  std::optional<WriteBatch> read_changes(const Value::List& apply, std::string& error) const;
  bool apply(WriteBatch& b);
  bool end_lease(std::uint64_t id);
  void expire();
  void answer_watches();
  bool is_available_to(const std::string& who) const { return !down_ && !refused_.contains(who); }

  Transport& transport_;
  KvLimits limits_;
  std::unique_ptr<DurableStorage> storage_;
  std::uint64_t revision_ = 0;
  std::map<std::string, KvEntry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_lease_id_ = 0;
  std::deque<PastChange> past_;
  std::uint64_t past_before_ = 0;
  std::vector<Watch> watches_;
  bool down_ = false;
  std::set<std::string> refused_;
  Micros answer_delay_{};
  RateLimiter rate_limiter_;
  RateLimiter write_rate_limiter_;
  std::map<std::string, std::uint64_t> requests_;
  std::uint64_t writes_ = 0;
  std::uint64_t refusals_ = 0;
  std::string storage_error_;
};

}  // namespace wrenusher::testbed

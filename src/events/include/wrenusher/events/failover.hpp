#pragma once
// Events of a failover: the record snapshot that a new leader starts from, and the duration of each phase.

#include <cstdint>
#include <memory>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// This node's replica of the records, verified against the state service after this node won the term.
/// Sent by the standby replica.
struct ReplicaVerified {
  std::uint64_t term = 0;                                   ///< the fencing token of the term
  std::shared_ptr<const records::RecordSnapshot> snapshot;  ///< null: the leader must read all records
};

/// The durations of the phases of a failover. Unless stated otherwise, a duration is measured from when this
/// node won the term (the start of the term), and a negative duration means that the phase has not happened.
struct FailoverTimes {
  std::uint64_t term = 0;     ///< the fencing token of the term
  bool from_replica = false;  ///< whether the records came from this node's replica
  /// Time from the arrival of the previous leader's last heartbeat to the start of this term; -1: unknown.
  time::Micros since_last_heartbeat{-1};
  /// Time from when this node detected the expiry of the previous lease to the start of this term; -1: there
  /// was no expiry.
  time::Micros since_lease_expiry{-1};
  time::Micros records_read{-1};   ///< until all records were loaded
  time::Micros first_machine{-1};  ///< until the first report with the term's fencing token
  time::Micros first_start{-1};    ///< until the first report of a task assigned in this term
  /// Until the last of the `machines_reported` machines sent its first report.
  time::Micros last_machine{-1};
  /// Until nine in ten of the `machines_reported` machines had sent their first report.
  time::Micros ninety_percent_machines{-1};
  time::Micros all_located{-1};   ///< until every assignment of the previous term was confirmed or released
  time::Micros reported_after{};  ///< until this event was sent
  std::uint32_t machines_reported = 0;  ///< machines of the previous term that have reported
  std::uint32_t machines_missing = 0;   ///< machines of the previous term that have not reported
};

}  // namespace wrenusher::events

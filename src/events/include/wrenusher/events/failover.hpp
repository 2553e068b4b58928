#pragma once
// Events of a failover: the records that a new leader starts from, and how long each phase took.

#include <cstdint>
#include <memory>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// This node's replica of the records, verified against the key-value store after the term was won. From the
/// standby replica.
struct ReplicaVerified {
  std::uint64_t term = 0;                                   ///< the fencing token of the term
  std::shared_ptr<const records::RecordSnapshot> snapshot;  ///< null: all records are to be read
};

/// How long the phases of a failover took, each from when the term was won unless said otherwise. Negative:
/// it has not happened.
struct FailoverTimes {
  std::uint64_t term = 0;                 ///< its fencing token
  bool from_replica = false;              ///< the records came from this node's replica
  time::Micros since_last_heartbeat{-1};  ///< from the previous leader's last heartbeat to the term
  time::Micros since_lease_expiry{-1};    ///< from the previous lease's expiry, as noticed here, to the term
  time::Micros records_read{-1};          ///< to when the records were complete
  time::Micros first_machine{-1};         ///< to the first report with the term's fencing token
  time::Micros first_start{-1};           ///< to the first report of a task that this term assigned
  time::Micros last_machine{-1};          ///< to the last report from a machine that was known before
  time::Micros ninety_percent_machines{-1};  ///< to the report that made it nine in ten of those
  time::Micros all_located{-1};         ///< to when every assignment of the previous term was accounted for
  time::Micros reported_after{};        ///< to this event
  std::uint32_t machines_reported = 0;  ///< known before and heard in this term
  std::uint32_t machines_missing = 0;   ///< known before and not heard
};

}  // namespace wrenusher::events

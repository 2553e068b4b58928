#pragma once
// Events of a failover: the records that a new leader starts from, and how long each part took.

#include <cstdint>
#include <memory>

#include "wrenusher/records/records.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::events {

/// The records as this node's copy had them, checked against the state service after the term was won. Null:
/// they are to be read.
struct ReplicaVerified {
  std::uint64_t term = 0;
  std::shared_ptr<const records::RecordSnapshot> snapshot;
};

/// The parts of a takeover, each since the term was won; negative: has not come.
struct FailoverTimes {
  std::uint64_t term = 0;
  bool from_replica = false;       ///< records by copy
  time::Micros silence{-1};        ///< from the last leader's last word to the term
  time::Micros vacancy{-1};        ///< from the end of its hold as it was seen here to the term
  time::Micros records_read{-1};   ///< the records were there
  time::Micros first_machine{-1};  ///< the first worker was heard that has taken the term's epoch
  time::Micros first_start{-1};    ///< a report showed the first task that this term had claimed
  time::Micros last_machine{
      -1};  ///< nine in ten, and the last, of those that were known before and are heard
  time::Micros most_machines{-1};
  time::Micros all_located{-1};  ///< of every claim that the last term left it is known where it stands
  time::Micros reported_after{};
  std::uint32_t machines = 0;  ///< heard
  std::uint32_t missing = 0;   ///< known before and not heard
};

}  // namespace wrenusher::events

#pragma once
// Conversion between the fields of a heartbeat and their types. The field names are defined in
// heartbeat_codec.cpp, except those of ReplicatedLog, whose owners define them, and of ProgressPager.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::membership {

/// Heartbeat field for the data that other actors attach.
inline constexpr const char* kAttachmentField = "aside";

/// Orders the heartbeats of one sender, also across its restarts.
struct HeartbeatNumber {
  std::uint64_t started_wall_ms = 0;  ///< wall-clock start time of the sender, in milliseconds
  std::uint64_t sequence = 0;         ///< number of heartbeats since that start
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HeartbeatNumber&) const = default;
};

/// Returns the first fields of a heartbeat.
[[nodiscard]] value::Value::Map write_heartbeat_head(const events::PeerStatus& status,
                                                     const HeartbeatNumber& number);
/// Adds the rest of the status, which follows the fields of the replicated logs.
void write_heartbeat_tail(const events::PeerStatus& status, value::Value::Map& out);

/// Returns the sender's status; empty if its name or its fencing token is missing.
[[nodiscard]] std::optional<events::PeerStatus> read_peer_status(const value::Value& value);
/// Returns the heartbeat's number; empty if it has none: versions up to 0.6 did not number heartbeats.
[[nodiscard]] std::optional<HeartbeatNumber> read_heartbeat_number(const value::Value& value);

/// Encodes an announcement as a row of a replicated log: a letter for the stage, and the job.
[[nodiscard]] std::string write_announcement(const events::StageAnnouncement& event);
[[nodiscard]] bool valid_announcement(const std::string& row);
/// Decodes a row, which must be valid.
[[nodiscard]] events::StageAnnouncement read_announcement(const std::string& row);

}  // namespace wrenusher::membership

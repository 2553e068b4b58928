#pragma once
// The fields of a heartbeat between controllers, on the wire and as types. The wire's names appear nowhere
// else, save those of the replicated logs, which their owners choose.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/events/membership.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::membership {

/// The field of a heartbeat that carries what other actors attached to it.
inline constexpr const char* kAttachmentField = "aside";

/// The place of a heartbeat among all of its sender's, also over restarts.
struct HeartbeatNumber {
  std::uint64_t started_wall_ms = 0;  ///< time of day when the sender started
  std::uint64_t sequence = 0;         ///< counts its heartbeats since then
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HeartbeatNumber&) const = default;
};

/// The first fields of a heartbeat.
[[nodiscard]] value::Value::Map write_heartbeat_head(const events::PeerStatus& status,
                                                     const HeartbeatNumber& number);
/// The rest of the status, which follows the replicated logs.
void write_heartbeat_tail(const events::PeerStatus& status, value::Value::Map& out);

/// Empty when the sender's name or its fencing token is missing.
[[nodiscard]] std::optional<events::PeerStatus> read_peer_status(const value::Value& value);
/// Empty when there is none: versions up to 0.6 did not number heartbeats.
[[nodiscard]] std::optional<HeartbeatNumber> read_heartbeat_number(const value::Value& value);

/// An announcement as a row of a replicated log: a letter for the stage, and the job.
[[nodiscard]] std::string write_announcement(const events::StageAnnouncement& event);
[[nodiscard]] bool valid_announcement(const std::string& row);
/// `row` must be valid.
[[nodiscard]] events::StageAnnouncement read_announcement(const std::string& row);

}  // namespace wrenusher::membership

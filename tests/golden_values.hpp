#pragma once
// A value of every kind of stored record, heartbeat and hint, and its encoding by this build. The golden test
// compares the encodings with files written by the production version; golden_writer.cpp writes such files.

#include <map>
#include <string>

#include "wrenusher/events/hints.hpp"
#include "wrenusher/events/jobs.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/topology/topology.hpp"

namespace wrenusher::golden {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

/// Returns the settings of one of the three controllers c0, c1 and c2.
settings::Settings settings_of(const std::string& node);
std::shared_ptr<const topology::Topology> active_topology();

// Records
JobSpec array_job();
JobSpec gang_job();
JobSpec service_job();
inline constexpr WallTime kAcceptedAt{from_millis(1764676800123)};
inline constexpr std::uint32_t kTasksPerBlock = 358;
inline constexpr std::uint32_t kShard = 7;
std::vector<records::StoredBlock> stored_blocks();
Catalog catalog();

// Heartbeats
inline constexpr std::uint64_t kTerm = 6;
events::Progress progress();

// Hints
events::MachineHint machine_hint();
events::JobClassHint job_class_hint();
events::JobHint job_hint();
events::RentalHint rental_hint();
events::RentalRequestHint rental_request_hint();

/// Returns all values, encoded by this build, by the name of the golden file with the encoding of the
/// production version.
std::map<std::string, std::string> encoded_by_this_build();

/// Formats bytes as lines of 64 hexadecimal digits.
std::string to_hex(const std::string& bytes);
/// Parses the format of `to_hex`; white space is ignored.
std::string from_hex(const std::string& text);

}  // namespace wrenusher::golden

#pragma once
// Values of every stored record, heartbeat and hint, and the bytes in which this build writes them. The
// golden test compares these with files that the production version wrote; golden_writer.cpp writes such
// files.

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

/// Settings of one of the three controllers c0, c1 and c2.
settings::Settings settings_of(const std::string& node);
std::shared_ptr<const topology::Topology> topology_in_use();

// Records
JobSpec array_job();
JobSpec gang_job();
JobSpec service_job();
inline constexpr WallTime kAccepted{from_millis(1764676800123)};
inline constexpr std::uint32_t kTasksPerBlock = 358;
inline constexpr std::uint32_t kSlot = 7;
std::vector<records::StoredBlock> blocks();
Catalog catalog();

// Heartbeats
inline constexpr std::uint64_t kTerm = 6;
events::Progress progress();

// Hints
events::MachineHint machine_hint();
events::JobClassHint queue_hint();
events::JobHint job_hint();
events::RentalHint rental_hint();
events::RentalRequestHint booking_hint();

/// All of them by name, encoded by this build: the name of the file that holds the production version's
/// bytes.
std::map<std::string, std::string> encoded_by_this_build();

/// Bytes as lines of 64 hexadecimal digits, and back.
std::string to_hex(const std::string& bytes);
std::string from_hex(const std::string& text);

}  // namespace wrenusher::golden

#include "wrenusher/membership/heartbeat_codec.hpp"

#include <algorithm>

#include "wrenusher/membership/topology_version_codec.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::membership {

using events::JobStage;
using events::PeerStatus;
using events::Readiness;
using events::StageAnnouncement;
using value::Value;

namespace {

constexpr const char* kFinishedPrefix = "o:";
constexpr const char* kAcceptedPrefix = "a:";
constexpr std::size_t kPrefixLength = 2;

std::string text_or_empty(const Value& value) {
  return value.text() != nullptr ? *value.text() : std::string();
}

Readiness read_readiness(const Value& value) {
  constexpr auto kHighest = static_cast<std::uint64_t>(Readiness::warm);
  return static_cast<Readiness>(std::min(value.count().value_or(0), kHighest));
}

}  // namespace

Value::Map write_heartbeat_head(const PeerStatus& status, const HeartbeatNumber& number) {
  return {{"node", status.node},
          {"epoch", status.fencing_token},
          {"leader", status.leader},
          {"leading", status.leading},
          {"store", status.kv_reachable},
          {"hears", status.receives_reports},
          {"since", number.started_wall_ms},
          {"n", number.sequence}};
}

void write_heartbeat_tail(const PeerStatus& status, Value::Map& out) {
  write_topology_version(out, "topology", status.topology);
  if (status.leading) write_topology_version(out, "in_force", status.active_topology);
  out.emplace_back("ready", static_cast<int>(status.readiness));
  if (!status.abstains) return;
  out.emplace_back("abstains", true);
  if (!status.successor.empty()) out.emplace_back("successor", status.successor);
}

std::optional<PeerStatus> read_peer_status(const Value& value) {
  const std::string* node = value["node"].text();
  const auto fencing_token = value["epoch"].count();
  if (node == nullptr || !fencing_token) return std::nullopt;
  PeerStatus status;
  status.node = *node;
  status.fencing_token = *fencing_token;
  status.leader = text_or_empty(value["leader"]);
  status.leading = value["leading"].boolean().value_or(false);
  status.kv_reachable = value["store"].boolean().value_or(false);
  status.receives_reports = value["hears"].boolean().value_or(false);
  status.topology = read_topology_version(value["topology"]);
  status.active_topology = read_topology_version(value["in_force"]);
  status.readiness = read_readiness(value["ready"]);
  status.abstains = value["abstains"].boolean().value_or(false);
  status.successor = text_or_empty(value["successor"]);
  return status;
}

std::optional<HeartbeatNumber> read_heartbeat_number(const Value& value) {
  const auto started_wall_ms = value["since"].count();
  const auto sequence = value["n"].count();
  if (!started_wall_ms || !sequence) return std::nullopt;
  return HeartbeatNumber{*started_wall_ms, *sequence};
}

std::string write_announcement(const StageAnnouncement& event) {
  return (event.stage == JobStage::finished ? kFinishedPrefix : kAcceptedPrefix) + event.job_id;
}

bool valid_announcement(const std::string& row) {
  return (row.starts_with(kFinishedPrefix) || row.starts_with(kAcceptedPrefix)) &&
         protocol::valid_job_id(std::string_view(row).substr(kPrefixLength));
}

StageAnnouncement read_announcement(const std::string& row) {
  return {row.substr(kPrefixLength),
          row.starts_with(kFinishedPrefix) ? JobStage::finished : JobStage::accepted};
}

}  // namespace wrenusher::membership

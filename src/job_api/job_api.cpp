#include "wrenusher/job_api/job_api.hpp"

#include <algorithm>
#include <string_view>

#include "wrenusher/job_api/refusals.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_api {

using runtime::Request;
using runtime::Responder;
using runtime::Response;
using time::from_seconds;
using time::Instant;
using time::Micros;
using value::Value;

namespace {

/// A peer counts as alive if it has answered a heartbeat that was sent less than this time ago.
constexpr Micros kPeerTimeout = from_seconds(2);

constexpr std::string_view kReadyPath = "/ready";
constexpr std::string_view kSubmissionsPath = "/submissions";
constexpr std::string_view kCancelSuffix = "/withdraw";

Response poll_response(const std::string& job_id, const JobState& state) {
  return {200,
          value::encode(Value::Map{
              {"ref", job_id}, {"status", state.status}, {"done", state.done}, {"running", state.running}}),
          0};
}

}  // namespace

JobApi::JobApi(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      consistency_(settings.peers.empty()),
      lookup_(runtime, settings, store, consistency_),
      responder_(runtime, lookup_, consistency_, {job_cancelled, stage_announcement}),
      submissions_(runtime, settings, store, lookup_, responder_),
      cancellations_(store, lookup_, responder_) {}

void JobApi::on_peer_status(const events::PeerStatus& status) {
  if (!status.request_sent_at) return;
  PeerState& peer = peers_[status.node];
  peer.heartbeat_sent_at = std::max(peer.heartbeat_sent_at, *status.request_sent_at);
  peer.kv_reachable = status.kv_reachable;
  if (status.announcements_complete)
    peer.announcements_received_through =
        std::max(peer.announcements_received_through, *status.request_sent_at);
  if (peers_.size() < settings_.peers.size()) return;
  // The peers' announcements were delivered as events before this one.
  Instant through = Instant::max();
  for (const auto& [node, state] : peers_) through = std::min(through, state.announcements_received_through);
  consistency_.on_announcements_received(through);
}

/// Returns whether the load balancer should send requests to this node. The node also stays ready if no live
/// peer reaches the key-value store: in an outage that all nodes share, removing the nodes from the load
/// balancer would only prolong the outage for users.
bool JobApi::is_ready() const {
  if (store_.reachable()) return true;
  return std::none_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    const PeerState& peer = entry.second;
    return peer.kv_reachable && runtime_.now() - peer.heartbeat_sent_at < kPeerTimeout;
  });
}

void JobApi::serve(const Request& request, const Responder& answer) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == kReadyPath) {
    serve_ready(request, answer);
  } else if (path == kSubmissionsPath) {
    serve_submissions(request, answer);
  } else {
    serve_job(request, path, answer);
  }
}

void JobApi::serve_ready(const Request& request, const Responder& answer) const {
  if (request.method != "GET") {
    answer(refusals::wrong_method("GET"));
  } else {
    answer(is_ready() ? Response{200, {}, 0} : refusals::not_ready());
  }
}

void JobApi::serve_submissions(const Request& request, const Responder& answer) {
  if (request.method != "POST") {
    answer(refusals::wrong_method("POST"));
  } else {
    submissions_.submit(request, answer);
  }
}

/// Handles `/submissions/<job>` and `/submissions/<job>/withdraw`.
void JobApi::serve_job(const Request& request, const std::string& path, const Responder& answer) {
  if (!path.starts_with(std::string(kSubmissionsPath) + "/")) {
    answer(refusals::no_such_path());
    return;
  }
  std::string job_id = path.substr(kSubmissionsPath.size() + 1);
  bool cancel = false;
  if (const auto slash = job_id.find('/'); slash != std::string::npos) {
    if (job_id.substr(slash) != kCancelSuffix) {
      answer(refusals::no_such_path());
      return;
    }
    cancel = true;
    job_id.resize(slash);
  }
  const char* allowed_method = cancel ? "POST" : "GET";
  if (!protocol::valid_job_id(job_id)) {
    answer(refusals::unknown_job(job_id));
  } else if (request.method != allowed_method) {
    answer(refusals::wrong_method(allowed_method));
  } else if (cancel) {
    cancellations_.cancel(job_id, answer);
  } else {
    poll(job_id, answer);
  }
}

void JobApi::poll(const std::string& job_id, const Responder& answer) {
  responder_.answer_state_or(
      job_id, refusals::unknown_job(job_id),
      [job_id](const JobState& state) { return poll_response(job_id, state); }, answer);
}

}  // namespace wrenusher::job_api

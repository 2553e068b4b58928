#pragma once
// Sends job states to users in the order that ReadConsistency requires across all nodes.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wrenusher/events/jobs.hpp"
#include "wrenusher/job_api/job_lookup.hpp"
#include "wrenusher/job_api/job_state.hpp"
#include "wrenusher/job_api/read_consistency.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::job_api {

/// Sends every response that reports an existing job. Before it sends one, it announces the job's stage to
/// the peers and holds the response back until no other node can report an older stage. If the state has
/// become outdated in the meantime, the job is looked up again.
///
/// Owns the pending answers. All constructor arguments must outlive the responder. Single-threaded: called
/// from the runtime's loop only.
class ConsistentResponder {
 public:
  /// Builds the response to a user from the job's state at the time the response is sent.
  using ResponseBuilder = std::function<runtime::Response(const JobState&)>;
  /// Sinks of the events that the responder emits.
  struct Events {
    const runtime::EventSink<events::JobCancelled>& job_cancelled;
    const runtime::EventSink<events::StageAnnouncement>& stage_announcement;
  };

  ConsistentResponder(runtime::Runtime& runtime, JobLookup& lookup, ReadConsistency& consistency,
                      Events events)
      : runtime_(runtime), lookup_(lookup), consistency_(consistency), events_(events) {}

  /// Answers a request about a job that exists. `state` is the state that the key-value store returned for
  /// the request sent at `request_sent_at`.
  void answer_found(const std::string& job_id, const JobState& state, time::Instant request_sent_at,
                    const ResponseBuilder& build_response, const runtime::Responder& answer);
  /// Looks up the job and answers with its state, or with `response_if_absent` if the job does not exist.
  void answer_state_or(const std::string& job_id, runtime::Response response_if_absent,
                       const ResponseBuilder& build_response, const runtime::Responder& answer);
  /// Does the same as `answer_state_or`, with the short response {ref, status} and status code 200. Used for
  /// requests whose job was accepted earlier: repeated submissions and cancellations are idempotent.
  void answer_status_or(const std::string& job_id, runtime::Response response_if_absent,
                        const runtime::Responder& answer);

  /// Called when every peer has confirmed the announcement that this node is about to report this stage.
  void on_stage_confirmed(const events::StageAnnouncement& event);

 private:
  /// A pending answer to one user.
  struct PendingAnswer {
    std::string job_id;
    JobState state;
    time::Instant request_sent_at{};
    ResponseBuilder build_response;
    runtime::Responder answer;
  };
  /// Groups the pending answers about one job at one stage, which are released together.
  struct WaitingKey {
    std::string job_id;
    events::JobStage stage = events::JobStage::accepted;
    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a defaulted comparison
    auto operator<=>(const WaitingKey&) const = default;
  };
  void announce_and_answer(const PendingAnswer& pending);
  void answer_when_consistent(const PendingAnswer& pending);
  void release_waiting(const std::string& job_id, events::JobStage stage);

  runtime::Runtime& runtime_;
  JobLookup& lookup_;
  ReadConsistency& consistency_;
  Events events_;
  std::map<WaitingKey, std::vector<PendingAnswer>> pending_answers_;
};

/// Returns a response with the job's identifier and status only.
[[nodiscard]] runtime::Response status_response(int status_code, const std::string& job_id,
                                                const std::string& status);

}  // namespace wrenusher::job_api

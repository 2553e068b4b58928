#pragma once
// Gives users the state of jobs in the order that ReadConsistency demands over all nodes.

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

/// The only way by which a user is told that a job is known. It announces to the peers what this node is
/// about to tell, withholds the answer until no other node gives an older one, and looks the job up again
/// where the answer has been overtaken meanwhile.
///
/// Owns the answers that wait. All that its constructor takes must outlive it. Single-threaded: called from
/// the runtime's loop only.
class ConsistentResponder {
 public:
  /// Makes the response to a user from the job's state at the time it is given.
  using ResponseFor = std::function<runtime::Response(const JobState&)>;
  /// Where this node's news for others goes.
  struct Events {
    const runtime::EventSink<events::JobCancelled>& job_cancelled;
    const runtime::EventSink<events::StageAnnouncement>& stage_announcement;
  };

  ConsistentResponder(runtime::Runtime& runtime, JobLookup& lookup, ReadConsistency& consistency,
                      Events events)
      : runtime_(runtime), lookup_(lookup), consistency_(consistency), events_(events) {}

  /// Tells a user of a job that exists: `state`, as the key-value store had it when asked at `asked_at`.
  void answer_found(const std::string& job_id, const JobState& state, time::Instant asked_at,
                    const ResponseFor& response_for, const runtime::Responder& answer);
  /// Looks the job up: where it exists, its state is told; otherwise `absent` is the response.
  void answer_state_or(const std::string& job_id, runtime::Response absent, const ResponseFor& response_for,
                       const runtime::Responder& answer);
  /// The same, with the short response {ref, status} and status code 200. For requests that find the job
  /// accepted already: repeated submissions and cancellations are idempotent.
  void answer_status_or(const std::string& job_id, runtime::Response absent,
                        const runtime::Responder& answer);

  /// Every peer knows that this node is about to tell that the job has got so far.
  void on_stage_confirmed(const events::StageAnnouncement& event);

 private:
  /// An answer under way to one user.
  struct PendingAnswer {
    std::string job_id;
    JobState state;
    time::Instant asked_at{};
    ResponseFor response_for;
    runtime::Responder answer;
  };
  /// Answers of one level about one job, which are released together.
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
  std::map<WaitingKey, std::vector<PendingAnswer>> waiting_;
};

/// The response that names a job and its status only.
[[nodiscard]] runtime::Response status_response(int status_code, const std::string& job_id,
                                                const std::string& status);

}  // namespace wrenusher::job_api

#include "wrenusher/job_api/consistent_responder.hpp"

#include <utility>

#include "wrenusher/job_api/refusals.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_api {

using events::JobStage;
using runtime::Responder;
using runtime::Response;
using time::Instant;
using value::encode;
using value::Value;

namespace {

/// Why the user gets a 503 instead of the job's state.
Response lookup_refusal(LookupError error) {
  switch (error) {
    case LookupError::queue_full:
      return refusals::busy();
    case LookupError::store_failed:
    case LookupError::outdated:
      break;
  }
  return refusals::state_unreachable();
}

}  // namespace

Response status_response(int status_code, const std::string& job_id, const std::string& status) {
  return {status_code, encode(Value::Map{{"ref", job_id}, {"status", status}}), 0};
}

void ConsistentResponder::answer_found(const std::string& job_id, const JobState& state, Instant asked_at,
                                       const ResponseFor& response_for, const Responder& answer) {
  announce_and_answer({job_id, state, asked_at, response_for, answer});
}

void ConsistentResponder::answer_state_or(const std::string& job_id, Response absent,
                                          const ResponseFor& response_for, const Responder& answer) {
  lookup_.lookup_consistent(
      job_id, [this, job_id, absent = std::move(absent), response_for, answer](const LookupResult& found) {
        if (found.error) {
          answer(lookup_refusal(*found.error));
        } else if (found.state) {
          announce_and_answer({job_id, *found.state, found.asked_at, response_for, answer});
        } else {
          answer(absent);
        }
      });
}

void ConsistentResponder::answer_status_or(const std::string& job_id, Response absent,
                                           const Responder& answer) {
  answer_state_or(
      job_id, std::move(absent),
      [job_id](const JobState& state) { return status_response(200, job_id, state.status); }, answer);
}

void ConsistentResponder::announce_and_answer(const PendingAnswer& pending) {
  const std::string& job_id = pending.job_id;
  const JobStage stage = stage_of(pending.state);
  const Instant now = runtime_.now();
  consistency_.observe(job_id, stage, now);
  // The deadline by which a cancelled job's tasks must be gone counts from the answer. So the answer goes out
  // only after the event by which this node counts the cancellation among those that users were told of. A
  // poll may be the first to tell, when the answer to the cancellation was lost. A job that has ended has no
  // tasks any more.
  const bool cancelled = pending.state.status == kStatusCancelled && !lookup_.has_final_state(job_id);
  if (cancelled) events_.job_cancelled(events::JobCancelled{job_id});
  const Instant answer_from = consistency_.may_answer_from(job_id, stage, now);
  if (answer_from > now) {
    auto& waiting = waiting_[{job_id, stage}];
    waiting.push_back(pending);
    if (waiting.size() > 1) return;  // announced already
    consistency_.announce(job_id, stage, now);
    events_.stage_announcement(events::StageAnnouncement{job_id, stage});
    runtime_.after(answer_from - now, [this, job_id, stage] { release_waiting(job_id, stage); });
  } else if (cancelled) {
    runtime_.post(
        [answer = pending.answer, response = pending.response_for(pending.state)] { answer(response); });
  } else {
    answer_when_consistent(pending);
  }
}

/// The one place where a user is told of a job that exists, but for cancellations. The answer may have
/// waited, here or on its way from the key-value store, and newer states may have been told meanwhile.
void ConsistentResponder::answer_when_consistent(const PendingAnswer& pending) {
  if (consistency_.may_answer(pending.job_id, stage_of(pending.state), pending.asked_at, runtime_.now())) {
    pending.answer(pending.response_for(pending.state));
    return;
  }
  lookup_.lookup_consistent(pending.job_id, [this, pending](const LookupResult& found) {
    // A job that exists can't vanish: an answer without it proves nothing.
    if (found.error || !found.state) {
      pending.answer(refusals::state_unreachable());
    } else {
      announce_and_answer(
          {pending.job_id, *found.state, found.asked_at, pending.response_for, pending.answer});
    }
  });
}

void ConsistentResponder::release_waiting(const std::string& job_id, JobStage stage) {
  const auto released = waiting_.extract({job_id, stage});
  if (released.empty()) return;
  for (const PendingAnswer& pending : released.mapped()) answer_when_consistent(pending);
}

void ConsistentResponder::on_stage_confirmed(const events::StageAnnouncement& event) {
  consistency_.on_confirmed(event.job_id, event.stage);
  release_waiting(event.job_id, event.stage);
}

}  // namespace wrenusher::job_api

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

/// Returns the 503 response for a failed lookup.
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

void ConsistentResponder::answer_found(const std::string& job_id, const JobState& state,
                                       Instant request_sent_at, const ResponseBuilder& build_response,
                                       const Responder& answer) {
  announce_and_answer({job_id, state, request_sent_at, build_response, answer});
}

void ConsistentResponder::answer_state_or(const std::string& job_id, Response response_if_absent,
                                          const ResponseBuilder& build_response, const Responder& answer) {
  lookup_.lookup_consistent(job_id, [this, job_id, response_if_absent = std::move(response_if_absent),
                                     build_response, answer](const LookupResult& result) {
    if (result.error) {
      answer(lookup_refusal(*result.error));
    } else if (result.state) {
      announce_and_answer({job_id, *result.state, result.request_sent_at, build_response, answer});
    } else {
      answer(response_if_absent);
    }
  });
}

void ConsistentResponder::answer_status_or(const std::string& job_id, Response response_if_absent,
                                           const Responder& answer) {
  answer_state_or(
      job_id, std::move(response_if_absent),
      [job_id](const JobState& state) { return status_response(200, job_id, state.status); }, answer);
}

void ConsistentResponder::announce_and_answer(const PendingAnswer& pending) {
  const std::string& job_id = pending.job_id;
  const JobStage stage = stage_of(pending.state);
  const Instant now = runtime_.now();
  consistency_.observe(job_id, stage, now);
  // The deadline for stopping a cancelled job's tasks counts from the answer. The answer is therefore sent
  // only after the event that makes this node count the cancellation as reported to a user. A poll may be the
  // first to report it, if the answer to the cancellation was lost. A job that has ended has no tasks left.
  const bool cancelled = pending.state.status == kStatusCancelled && !lookup_.has_final_state(job_id);
  if (cancelled) events_.job_cancelled(events::JobCancelled{job_id});
  const Instant answer_from = cancelled ? consistency_.earliest_cancellation_at(job_id, now)
                                        : consistency_.earliest_answer_at(job_id, stage, now);
  if (answer_from > now) {
    auto& waiting = pending_answers_[{job_id, stage}];
    waiting.push_back(pending);
    if (waiting.size() > 1) return;  // already announced
    consistency_.announce(job_id, stage, now);
    events_.stage_announcement(events::StageAnnouncement{job_id, stage});
    runtime_.after(answer_from - now, [this, job_id, stage] { release_waiting(job_id, stage); });
  } else if (cancelled) {
    runtime_.post(
        [answer = pending.answer, response = pending.build_response(pending.state)] { answer(response); });
  } else {
    answer_when_consistent(pending);
  }
}

/// Sends a pending answer if it is still consistent; otherwise looks the job up again. The answer may have
/// been delayed, here or on its way from the key-value store, while a newer state was reported. All answers
/// about existing jobs are sent here, except for cancellations that need no wait.
void ConsistentResponder::answer_when_consistent(const PendingAnswer& pending) {
  if (consistency_.may_answer(pending.job_id, stage_of(pending.state), pending.request_sent_at,
                              runtime_.now())) {
    pending.answer(pending.build_response(pending.state));
    return;
  }
  lookup_.lookup_consistent(pending.job_id, [this, pending](const LookupResult& result) {
    // An existing job can't disappear, so a result that doesn't contain it is not used.
    if (result.error || !result.state) {
      pending.answer(refusals::state_unreachable());
    } else {
      announce_and_answer(
          {pending.job_id, *result.state, result.request_sent_at, pending.build_response, pending.answer});
    }
  });
}

void ConsistentResponder::release_waiting(const std::string& job_id, JobStage stage) {
  const auto released = pending_answers_.extract({job_id, stage});
  if (released.empty()) return;
  for (const PendingAnswer& pending : released.mapped()) answer_when_consistent(pending);
}

void ConsistentResponder::on_stage_confirmed(const events::StageAnnouncement& event) {
  consistency_.on_announcement_confirmed(event.job_id, event.stage);
  release_waiting(event.job_id, event.stage);
}

}  // namespace wrenusher::job_api

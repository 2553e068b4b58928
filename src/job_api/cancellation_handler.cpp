#include "wrenusher/job_api/cancellation_handler.hpp"

#include "wrenusher/job_api/refusals.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::job_api {

using kv_client::CommitReply;
using kv_client::KeyValue;
using kv_client::KvClient;
using kv_client::ReadReply;
using runtime::Responder;
using time::Instant;

namespace {

constexpr int kMaxCancelAttempts = 4;

}  // namespace

void CancellationHandler::cancel(const std::string& job_id, const Responder& answer) {
  cancel_with_attempts(job_id, kMaxCancelAttempts, answer);
}

void CancellationHandler::cancel_with_attempts(const std::string& job_id, int attempts_left,
                                               const Responder& answer) {
  if (attempts_left == 0) {
    answer(refusals::busy());
    return;
  }
  store_.get(records::job_key(job_id), KvClient::RequestClass::user,
             [this, job_id, attempts_left, answer](const ReadReply& reply) {
               if (reply.result != ReadReply::Result::ok) {
                 answer(reply.queue_full ? refusals::busy() : refusals::state_unreachable());
               } else if (reply.rows.empty()) {
                 responder_.answer_status_or(job_id, refusals::unknown_job(job_id), answer);
               } else {
                 on_record(job_id, attempts_left, reply.rows[0], reply.sent_at, answer);
               }
             });
}

void CancellationHandler::on_record(const std::string& job_id, int attempts_left, const KeyValue& record,
                                    Instant request_sent_at, const Responder& answer) {
  if (is_cancelled(record.value)) {
    answer_cancelled(job_id, record.mod_revision, request_sent_at, answer);
    return;
  }
  store_.commit({{record.key, record.mod_revision}},
                {{record.key, records::cancelled_record(record.value), 0}}, KvClient::RequestClass::user,
                [this, job_id, attempts_left, answer](const CommitReply& commit) {
                  if (commit.result == CommitReply::Result::committed) {
                    answer_cancelled(job_id, commit.revision, commit.sent_at, answer);
                  } else if (commit.result == CommitReply::Result::refused) {
                    answer(commit.queue_full ? refusals::busy() : refusals::state_unreachable());
                  } else {
                    cancel_with_attempts(job_id, attempts_left - 1, answer);
                  }
                });
}

void CancellationHandler::answer_cancelled(const std::string& job_id, std::uint64_t mod_revision,
                                           Instant request_sent_at, const Responder& answer) {
  lookup_.cache_record(job_id, mod_revision, true);
  responder_.answer_found(
      job_id, lookup_.newest_state(job_id), request_sent_at,
      [job_id](const JobState& state) { return status_response(200, job_id, state.status); }, answer);
}

}  // namespace wrenusher::job_api

#pragma once
// Handles users' requests to cancel jobs.

#include <cstdint>
#include <string>

#include "wrenusher/job_api/consistent_responder.hpp"
#include "wrenusher/job_api/job_lookup.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::job_api {

/// Marks the record of a live job as cancelled, by a compare-and-swap on the revision that was read. If
/// another writer changed the record in between, the read and the compare-and-swap are retried a few times.
///
/// Idempotent: a job that is already cancelled or has ended is answered with its state. All constructor
/// arguments must outlive the handler. Single-threaded: called from the runtime's loop only.
class CancellationHandler {
 public:
  CancellationHandler(kv_client::KvClient& store, JobLookup& lookup, ConsistentResponder& responder)
      : store_(store), lookup_(lookup), responder_(responder) {}

  /// Calls `answer` once: with status code 200 and the job's status, or with one of `refusals`.
  void cancel(const std::string& job_id, const runtime::Responder& answer);

 private:
  void cancel_with_attempts(const std::string& job_id, int attempts_left, const runtime::Responder& answer);
  void on_record(const std::string& job_id, int attempts_left, const kv_client::KeyValue& record,
                 time::Instant request_sent_at, const runtime::Responder& answer);
  void answer_cancelled(const std::string& job_id, std::uint64_t mod_revision, time::Instant request_sent_at,
                        const runtime::Responder& answer);

  kv_client::KvClient& store_;
  JobLookup& lookup_;
  ConsistentResponder& responder_;
};

}  // namespace wrenusher::job_api

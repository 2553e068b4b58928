#pragma once
// Cancellations of jobs by users.

#include <cstdint>
#include <string>

#include "wrenusher/job_api/consistent_responder.hpp"
#include "wrenusher/job_api/job_lookup.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::job_api {

/// Marks the record of a live job as cancelled, by a compare-and-swap on the revision that was read; the read
/// and the swap are repeated a few times where somebody else changed the record meanwhile.
///
/// Idempotent: a job that is cancelled already or has ended is answered by its state. All that its
/// constructor takes must outlive it. Single-threaded: called from the runtime's loop only.
class CancellationHandler {
 public:
  CancellationHandler(kv_client::KvClient& store, JobLookup& lookup, ConsistentResponder& responder)
      : store_(store), lookup_(lookup), responder_(responder) {}

  /// Answers once: 200 with the job's status, otherwise one of `refusals`.
  void cancel(const std::string& job_id, const runtime::Responder& answer);

 private:
  void cancel_with_tries(const std::string& job_id, int tries, const runtime::Responder& answer);
  void on_record(const std::string& job_id, int tries, const kv_client::KeyValue& record,
                 time::Instant asked_at, const runtime::Responder& answer);
  void answer_cancelled(const std::string& job_id, std::uint64_t mod_revision, time::Instant asked_at,
                        const runtime::Responder& answer);

  kv_client::KvClient& store_;
  JobLookup& lookup_;
  ConsistentResponder& responder_;
};

}  // namespace wrenusher::job_api

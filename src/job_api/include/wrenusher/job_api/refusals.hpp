#pragma once
// Every answer by which the users' interface refuses a request. A function is named by the `code` in the
// answer's body, so that the code leads to it and its callers are the causes; docs/operations.md lists them.

#include <string>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::job_api::refusals {

// 400, 422: the request itself is at fault; sending it again doesn't help.

/// 400 `not_a_map`: the body of a submission doesn't decode to a CBOR map.
[[nodiscard]] runtime::Response not_a_map();
/// 400 `bad_field`: a field of the submission is missing, of the wrong type or out of its range.
[[nodiscard]] runtime::Response bad_field(const protocol::InvalidField& fault);
/// 400 `too_large`: the job's record would exceed the setting `value_kb`.
[[nodiscard]] runtime::Response too_large();
/// 400 `not_kept`: the key-value store rejects the job's record as malformed.
[[nodiscard]] runtime::Response not_kept();
/// 422 `never_runs`: no machine type, quota or failure domain can ever run the job; `fault` says which.
[[nodiscard]] runtime::Response never_runs(const protocol::InvalidField& fault);

// 404, 405: nothing is to be found there.

/// 404 `unknown_job`: no record of this job exists, or the identifier is malformed.
[[nodiscard]] runtime::Response unknown_job(const std::string& job_id);
/// 404 `no_such_path`: the path is none of this interface.
[[nodiscard]] runtime::Response no_such_path();
/// 405 `wrong_method`: the path exists, but takes `right_method`.
[[nodiscard]] runtime::Response wrong_method(const char* right_method);

// 503: the same request may succeed later; the answer says in how many seconds to retry.

/// 503 `state_unreachable`, retry after 1 s. Causes: the key-value store doesn't answer; it can't tell
/// whether a submission was committed and the job isn't found; what it answered kept being overtaken by what
/// peers announced (ReadConsistency); the index of live jobs failed to refresh.
[[nodiscard]] runtime::Response state_unreachable();
/// 503 `busy`, retry after 1 s. Causes: the queue of the key-value store's client is full (KvClient); the
/// queue of lookups is full (JobLookup, JobIndex); a cancellation lost every compare-and-swap to other
/// writers (CancellationHandler).
[[nodiscard]] runtime::Response busy();
/// 503 `not_ready`, retry after 1 s. Cause: a peer reaches the key-value store and this node doesn't; a load
/// balancer then takes this node out.
[[nodiscard]] runtime::Response not_ready();
/// 503 `types_unknown`, retry after 2 s. Cause: this node has not received the cloud's machine types yet, so
/// it can't judge whether a submission can ever run.
[[nodiscard]] runtime::Response types_unknown();
/// 503 `topology_unknown`, retry after 2 s. Cause: the submission has a layout, and the topology that this
/// node loaded is not the one in force at the leader.
[[nodiscard]] runtime::Response topology_unknown();

}  // namespace wrenusher::job_api::refusals

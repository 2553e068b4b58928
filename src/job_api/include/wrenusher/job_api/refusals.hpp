#pragma once
// Defines every response by which the job API rejects a request. Each function has the name of the `code` in
// the response body, so that a search for the code finds the function and its callers, which are the causes.
// docs/operations.md lists them.

#include <string>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"

namespace wrenusher::job_api::refusals {

// 400, 422: the request itself is invalid; a retry doesn't help.

/// 400 `not_a_map`: the body of a submission doesn't decode to a CBOR map.
[[nodiscard]] runtime::Response not_a_map();
/// 400 `bad_field`: a field of the submission is missing, has the wrong type or is out of range.
[[nodiscard]] runtime::Response bad_field(const protocol::InvalidField& fault);
/// 400 `too_large`: the job's record would exceed the setting `value_kb`.
[[nodiscard]] runtime::Response too_large();
/// 400 `not_kept`: the key-value store rejects the job's record as malformed.
[[nodiscard]] runtime::Response not_kept();
/// 422 `never_runs`: no machine type, quota or failure domain allows the job to ever run; `fault` names the
/// field and the reason.
[[nodiscard]] runtime::Response never_runs(const protocol::InvalidField& fault);

// 404, 405: the path, the job or the method does not exist.

/// 404 `unknown_job`: no record of this job exists, or the identifier is malformed.
[[nodiscard]] runtime::Response unknown_job(const std::string& job_id);
/// 404 `no_such_path`: the job API has no such path.
[[nodiscard]] runtime::Response no_such_path();
/// 405 `wrong_method`: the path exists, but accepts only `allowed_method`.
[[nodiscard]] runtime::Response wrong_method(const char* allowed_method);

// 503: the same request may succeed later; the response states after how many seconds to retry.

/// 503 `state_unreachable`, retry after 1 s. Causes: the key-value store doesn't reply; the outcome of a
/// submission's commit is unknown and the job isn't found; every read was outdated by an announcement of a
/// peer (ReadConsistency); the index of live jobs failed to refresh.
[[nodiscard]] runtime::Response state_unreachable();
/// 503 `busy`, retry after 1 s. Causes: the queue of the key-value store's client is full (KvClient); the
/// queue of lookups is full (JobLookup, JobIndex); every compare-and-swap of a cancellation failed because
/// another writer changed the record (CancellationHandler).
[[nodiscard]] runtime::Response busy();
/// 503 `not_ready`, retry after 1 s. Cause: a peer reaches the key-value store and this node doesn't. A load
/// balancer then removes this node.
[[nodiscard]] runtime::Response not_ready();
/// 503 `types_unknown`, retry after 2 s. Cause: this node has not received the cloud's machine types yet, so
/// it can't check whether a submission can ever run.
[[nodiscard]] runtime::Response types_unknown();
/// 503 `topology_unknown`, retry after 2 s. Cause: the submission has a layout, and this node's topology is
/// not the one that the leader uses.
[[nodiscard]] runtime::Response topology_unknown();

}  // namespace wrenusher::job_api::refusals

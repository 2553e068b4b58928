#pragma once
// Validates job submissions and writes the records of accepted jobs.

#include <memory>
#include <optional>
#include <string>

#include "wrenusher/events/capacity.hpp"
#include "wrenusher/events/topology.hpp"
#include "wrenusher/job_api/consistent_responder.hpp"
#include "wrenusher/job_api/job_lookup.hpp"
#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/value/value.hpp"

namespace wrenusher::job_api {

/// Accepts jobs. Idempotent: a repeated submission of an accepted job is answered with the job's state,
/// whatever the request contains besides the job's identifier. The record is written by a compare-and-swap
/// that requires that no record with this identifier exists.
///
/// Owns the latest machine types and topology, against which submissions are checked. All other constructor
/// arguments must outlive the handler. Single-threaded: called from the runtime's loop only.
class SubmissionHandler {
 public:
  SubmissionHandler(runtime::Runtime& runtime, const settings::Settings& settings, kv_client::KvClient& store,
                    JobLookup& lookup, ConsistentResponder& responder)
      : runtime_(runtime), settings_(settings), store_(store), lookup_(lookup), responder_(responder) {}

  /// Calls `answer` once: with 201 if this request accepts the job, with 200 if the job was accepted earlier,
  /// otherwise with one of `refusals`.
  void submit(const runtime::Request& request, const runtime::Responder& answer);

  void on_topology_activated(const events::TopologyActivated& event) { topology_ = event; }
  void on_catalog_updated(const events::CatalogUpdated& event) { catalog_ = event.catalog; }

 private:
  std::optional<runtime::Response> refusal_of(const protocol::JobSpec& spec) const;
  std::optional<protocol::InvalidField> never_runs_fault(const protocol::JobSpec& spec,
                                                         const settings::Team* team) const;
  void commit(const std::string& job_id, const value::Value& record, const runtime::Responder& answer);
  void on_committed(const std::string& job_id, const kv_client::CommitReply& reply,
                    const runtime::Responder& answer);

  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  kv_client::KvClient& store_;
  JobLookup& lookup_;
  ConsistentResponder& responder_;
  std::shared_ptr<const protocol::Catalog> catalog_;  ///< null: not received yet
  events::TopologyActivated topology_;
};

}  // namespace wrenusher::job_api

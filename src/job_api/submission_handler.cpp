#include "wrenusher/job_api/submission_handler.hpp"

#include <cstddef>

#include "wrenusher/job_api/refusals.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::job_api {

using kv_client::CommitReply;
using kv_client::KvClient;
using protocol::Catalog;
using protocol::InvalidField;
using protocol::JobSpec;
using runtime::Request;
using runtime::Responder;
using runtime::Response;
using settings::Team;
using value::Value;

namespace {

constexpr int kBytesPerKb = 1024;

}  // namespace

void SubmissionHandler::submit(const Request& request, const Responder& answer) {
  const auto body = value::decode(request.body);
  if (!body || body->map() == nullptr) {
    answer(refusals::not_a_map());
    return;
  }
  InvalidField fault;
  const auto spec = protocol::read_spec(*body, &fault);
  const std::string* job_id = (*body)["ref"].text();
  if (job_id == nullptr || !protocol::valid_job_id(*job_id)) {
    answer(refusals::bad_field(fault));
    return;
  }
  // From here on, a job that was accepted earlier is answered with its state instead of a rejection.
  if (!spec) {
    responder_.answer_status_or(*job_id, refusals::bad_field(fault), answer);
    return;
  }
  if (auto refusal = refusal_of(*spec)) {
    responder_.answer_status_or(*job_id, std::move(*refusal), answer);
    return;
  }
  const Value record =
      records::write_job(*spec, runtime_.wall_time(), records::max_tasks_per_block(settings_.value_kb));
  if (record.json_size() > static_cast<std::size_t>(settings_.value_kb * kBytesPerKb)) {
    responder_.answer_status_or(*job_id, refusals::too_large(), answer);
    return;
  }
  commit(*job_id, record, answer);
}

/// Returns the response that rejects this job, permanently or for now; nullopt if the job can be accepted.
std::optional<Response> SubmissionHandler::refusal_of(const JobSpec& spec) const {
  const Team* team = settings_.team(spec.team);
  if (!catalog_ && team != nullptr) return refusals::types_unknown();
  if (spec.layout && !topology_.agreed) return refusals::topology_unknown();
  const auto fault = never_runs_fault(spec, team);
  if (!fault) return std::nullopt;
  log::info("submission_refused", "submission {job} rejected because it can never run: {reason}",
            log::with("job", spec.job_id), log::with("reason", fault->what),
            log::with("field", fault->field));
  return refusals::never_runs(*fault);
}

/// Returns why the job can never run with the machine types, teams and failure domains that exist.
std::optional<InvalidField> SubmissionHandler::never_runs_fault(const JobSpec& spec, const Team* team) const {
  static const Catalog empty_catalog;
  const Catalog& catalog = catalog_ ? *catalog_ : empty_catalog;
  if (auto fault = protocol::never_runs(spec, catalog, team)) return fault;
  if (!spec.layout) return std::nullopt;
  if (!topology_.topology)
    return InvalidField{"layout", "no topology is set up here, so there are no domains"};
  return topology_.topology->unsatisfiable_field(spec, catalog);
}

void SubmissionHandler::commit(const std::string& job_id, const Value& record, const Responder& answer) {
  store_.commit({{records::job_key(job_id), 0}, {records::final_state_key(job_id), 0}},
                {{records::job_key(job_id), record, 0}}, KvClient::RequestClass::user,
                [this, job_id, answer](const CommitReply& reply) { on_committed(job_id, reply, answer); });
}

void SubmissionHandler::on_committed(const std::string& job_id, const CommitReply& reply,
                                     const Responder& answer) {
  switch (reply.result) {
    case CommitReply::Result::committed:
      lookup_.cache_record(job_id, reply.revision, false);
      responder_.answer_found(
          job_id, {kStatusPending, 0, 0}, reply.sent_at,
          [job_id](const JobState& state) {
            return status_response(state.status == kStatusPending ? 201 : 200, job_id, state.status);
          },
          answer);
      break;
    case CommitReply::Result::conflict:
    case CommitReply::Result::unknown:
      responder_.answer_status_or(job_id, refusals::state_unreachable(), answer);
      break;
    case CommitReply::Result::refused:
      answer(reply.queue_full ? refusals::busy() : refusals::state_unreachable());
      break;
    case CommitReply::Result::invalid:
      answer(refusals::not_kept());
      break;
  }
}

}  // namespace wrenusher::job_api

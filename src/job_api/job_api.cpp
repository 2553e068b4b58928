#include "wrenusher/job_api/job_api.hpp"

#include <algorithm>
#include <tuple>

#include "wrenusher/log/log.hpp"
#include "wrenusher/records/records.hpp"
#include "wrenusher/runtime/error_response.hpp"

namespace wrenusher::job_api {

namespace {

/// Final states and live records in memory. Jobs grow with machines: 0.65 live ones a machine, so some 7,200
/// at 11,000 machines. What is dropped is read again.
constexpr std::size_t kMaxCachedFinalStates = 12000;
constexpr Micros kPeerFreshness = from_seconds(2);
constexpr std::size_t kMaxKnownRecords = 12000;
constexpr int kCancelTries = 4;
/// The state service is asked so often for an answer that may be given.
constexpr int kReadTries = 3;
/// Polls that come this close together share a comparison from the start; more gather while it is under way.
constexpr Micros kGatherInterval = from_millis(10);
/// Questions that wait for a comparison; what is over is refused at once.
constexpr std::size_t kMaxChecks = 12000;

constexpr int kRetrySoonS = 1;

/// The state service gave no answer, or none that this can be decided by.
Response no_state() {
  return error_response(
      {503, "state_unreachable", "The state service gives no answer at present.", "", kRetrySoonS});
}

Response busy() {
  return error_response({503, "busy", "Too many questions wait here at present.", "", kRetrySoonS});
}

Response unknown_job(const std::string& job_id) {
  return error_response({404, "unknown_job", "No job of this name has been accepted.", job_id, 0});
}

Response no_such_path() {
  return error_response(
      {404, "no_such_path", "There is /submissions, /submissions/{ref}, its /withdraw, and /ready.", "", 0});
}

Response wrong_method(const char* right) {
  return error_response({405, "wrong_method", std::string("This is asked with ") + right + ".", "", 0});
}

Response status_response(int code, const std::string& job_id, const std::string& status) {
  return {code, encode(Value::Map{{"ref", job_id}, {"status", status}}), 0};
}

}  // namespace

JobApi::JobApi(Runtime& runtime, const Settings& settings, KvClient& store)
    : runtime_(runtime),
      settings_(settings),
      store_(store),
      consistency_(settings.peers.empty()),
      index_(runtime, store) {
  index_.on_ended = [this](const std::string& job_id, const std::string& state, std::uint64_t done) {
    remember_final_state(job_id, {state, done, 0});
  };
  index_.on_followed = [this](const RecordsChanged& event) { on_records_changed(event); };
}

void JobApi::on_peer_status(const PeerStatus& news) {
  if (!news.asked_at) return;
  PeerSeen& peer = peers_[news.node];
  peer.asked_at = std::max(peer.asked_at, *news.asked_at);
  peer.kv_reachable = news.kv_reachable;
  if (news.announcements_complete)
    peer.announcements_through = std::max(peer.announcements_through, *news.asked_at);
  // What they had announced by then came before, in the order of the mail.
  if (peers_.size() < settings_.peers.size()) return;
  Instant all = Instant::max();
  for (const auto& [node, seen] : peers_) all = std::min(all, seen.announcements_through);
  consistency_.on_peers_in_touch(all);
}

void JobApi::on_progress(const std::shared_ptr<const Progress>& counts) {
  if (counts->part) {
    std::erase_if(counts_, [&](const auto& c) { return counts->part->contains(c.first); });
  } else {
    counts_.clear();
  }
  for (const Progress::Row& row : counts->rows) counts_[row.job_id] = {row.done, row.running};
}

bool JobApi::ready() const {
  if (store_.reachable()) return true;
  // In an outage that all share, leaving the balancer would only lengthen its pause.
  for (const auto& [node, seen] : peers_) {
    if (seen.kv_reachable && runtime_.now() - seen.asked_at < kPeerFreshness) return false;
  }
  return true;
}

void JobApi::serve(const Request& request, const Responder& answer) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/ready") {
    if (request.method != "GET") {
      answer(wrong_method("GET"));
    } else {
      answer(ready()
                 ? Response{200, {}, 0}
                 : error_response({503, "not_ready", "A peer has the state service and this node has not.",
                                   "", kRetrySoonS}));
    }
    return;
  }
  static const std::string base = "/submissions";
  if (path == base) {
    if (request.method != "POST") {
      answer(wrong_method("POST"));
    } else {
      submit(request, answer);
    }
    return;
  }
  if (!path.starts_with(base + "/")) {
    answer(no_such_path());
    return;
  }
  std::string job_id = path.substr(base.size() + 1);
  bool cancel = false;
  if (const auto slash = job_id.find('/'); slash != std::string::npos) {
    if (job_id.substr(slash) != "/withdraw") {
      answer(no_such_path());
      return;
    }
    cancel = true;
    job_id.resize(slash);
  }
  if (!valid_job_id(job_id)) {
    answer(unknown_job(job_id));
  } else if (request.method != (cancel ? "POST" : "GET")) {
    answer(wrong_method(cancel ? "POST" : "GET"));
  } else if (cancel) {
    cancel_job(job_id, kCancelTries, answer);
  } else {
    poll(job_id, answer);
  }
}

void JobApi::remember_final_state(const std::string& job_id, const JobState& state) {
  consistency_.observe(job_id, JobStage::finished, runtime_.now());
  if (!final_states_.emplace(job_id, state).second) return;
  final_states_order_.push_back(job_id);
  if (final_states_order_.size() > kMaxCachedFinalStates) {
    final_states_.erase(final_states_order_.front());
    final_states_order_.pop_front();
  }
}

void JobApi::remember_record(const std::string& job_id, const KnownRecord& record) {
  consistency_.observe(job_id, record.cancelled ? JobStage::finished : JobStage::accepted, runtime_.now());
  const auto [it, added] = known_records_.try_emplace(job_id, record);
  if (!added) {
    // Answers of the state service may pass one another: a stamp never goes back.
    if (record.mod_revision > it->second.mod_revision) it->second = record;
    return;
  }
  known_records_order_.push_back(job_id);
  if (known_records_order_.size() > kMaxKnownRecords) {
    known_records_.erase(known_records_order_.front());
    known_records_order_.pop_front();
  }
}

JobApi::JobState JobApi::live_state(const std::string& job_id, bool gone) const {
  JobState state;
  if (const auto it = counts_.find(job_id); it != counts_.end())
    std::tie(state.done, state.running) = it->second;
  state.status = gone ? "withdrawn" : state.running > 0 ? "running" : "pending";
  return state;
}

/// The state of a live job that has just been read or compared. That answer may have passed newer ones on its
/// way, by which this node has told more already.
JobApi::JobState JobApi::newest_state(const std::string& job_id) const {
  if (const auto it = final_states_.find(job_id); it != final_states_.end()) return it->second;
  const auto it = known_records_.find(job_id);
  return live_state(job_id, it != known_records_.end() && it->second.cancelled);
}

/// The state of a job as the state service has it now. Without the index what was read before needs only to
/// be compared, and many are compared in one request: with one for every poll, a few hundred users took all
/// the requests a second there are.
void JobApi::lookup(const std::string& job_id, std::function<void(Lookup)> done) {
  if (const auto it = final_states_.find(job_id); it != final_states_.end()) {
    done(Lookup{false, it->second, runtime_.now()});
  } else if (index_.complete()) {
    lookup_in_index(job_id, std::move(done));
  } else if (!known_records_.contains(job_id)) {
    read_records(job_id, done);
  } else if (checks_.size() >= kMaxChecks) {
    done(Lookup{true, std::nullopt, {}, true});
  } else {
    checks_.push_back({job_id, std::move(done)});
    if (checking_) return;
    checking_ = true;
    runtime_.after(kGatherInterval, [this] { send_checks(); });
  }
}

void JobApi::lookup_in_index(const std::string& job_id, std::function<void(Lookup)> done) {
  if (!index_.has_room()) {
    done(Lookup{true, std::nullopt, {}, true});
    return;
  }
  index_.query(job_id, [this, job_id, done = std::move(done)](const JobIndex::Lookup& answer) {
    if (const auto it = final_states_.find(job_id); it != final_states_.end()) {
      done(Lookup{false, it->second, answer.asked_at});
      return;
    }
    switch (answer.presence) {
      case JobIndex::Presence::live:
      case JobIndex::Presence::cancelled:
        done(Lookup{false, live_state(job_id, answer.presence == JobIndex::Presence::cancelled),
                    answer.asked_at});
        break;
      case JobIndex::Presence::absent:
        read_records(job_id, done);
        break;
      case JobIndex::Presence::failed:
        if (index_.complete()) {
          done({});
        } else {
          lookup(job_id, done);
        }
        break;
    }
  });
}

void JobApi::send_checks() {
  std::vector<PendingCheck> asked;
  std::map<std::string, std::uint64_t> stamps;
  while (!checks_.empty() && stamps.size() < settings_.txn_ops * 4) {
    PendingCheck check = std::move(checks_.front());
    checks_.pop_front();
    if (const auto it = known_records_.find(check.job_id); it != known_records_.end()) {
      stamps.emplace(records::job_key(check.job_id), it->second.mod_revision);
      asked.push_back(std::move(check));
    } else {
      lookup(check.job_id, std::move(check.done));
    }
  }
  if (asked.empty()) {
    checking_ = false;
    return;
  }
  std::vector<Condition> when;
  for (const auto& [key, stamp] : stamps) when.push_back({key, stamp});
  store_.commit(when, {}, KvClient::RequestClass::user,
                [this, asked = std::move(asked)](const CommitReply& reply) mutable {
                  on_checked(std::move(asked), reply);
                  send_checks();
                });
}

void JobApi::on_checked(std::vector<PendingCheck> asked, const CommitReply& reply) {
  for (PendingCheck& a : asked) {
    const auto it = known_records_.find(a.job_id);
    if (reply.result == CommitReply::Result::committed && it != known_records_.end()) {
      a.done(Lookup{false, newest_state(a.job_id), reply.sent_at});
    } else if (reply.result == CommitReply::Result::conflict) {
      // What has changed is read anew; the rest is asked once more, since nothing says that it was compared.
      const bool failed =
          reply.failed_keys.empty() || std::find(reply.failed_keys.begin(), reply.failed_keys.end(),
                                                 records::job_key(a.job_id)) != reply.failed_keys.end();
      if (failed || it == known_records_.end()) {
        read_records(a.job_id, a.done);
      } else {
        checks_.push_front(std::move(a));
      }
    } else {
      a.done({});
    }
  }
}

void JobApi::read_records(const std::string& job_id, const std::function<void(Lookup)>& done) {
  // First the live record, then the final one: a job moves only from the first to the second, in one
  // transaction, so a job that exists is seen in one of them.
  store_.get(records::job_key(job_id), KvClient::RequestClass::user, [this, job_id, done](ReadReply live) {
    if (live.result != ReadReply::Result::ok) {
      done(Lookup{true, std::nullopt, {}, live.queue_full});
      return;
    }
    if (!live.rows.empty()) {
      const bool gone = live.rows[0].value["wd"].boolean().value_or(false);
      remember_record(job_id, {live.rows[0].mod_revision, gone});
      done(Lookup{false, newest_state(job_id), live.sent_at});
      return;
    }
    store_.get(records::final_state_key(job_id), KvClient::RequestClass::user,
               [this, job_id, done, sent = live.sent_at](ReadReply end) {
                 if (end.result != ReadReply::Result::ok) {
                   done(Lookup{true, std::nullopt, {}, end.queue_full});
                   return;
                 }
                 if (end.rows.empty()) {
                   // Between the two it may have been accepted: it was not known when the first was asked.
                   done(Lookup{false, std::nullopt, sent});
                   return;
                 }
                 JobState fin;
                 fin.status =
                     end.rows[0].value["s"].text() != nullptr ? *end.rows[0].value["s"].text() : "done";
                 fin.done = end.rows[0].value["n"].count().value_or(0);
                 remember_final_state(job_id, fin);
                 done(Lookup{false, fin, sent});
               });
  });
}

JobStage JobApi::stage_of(const Lookup& found) const {
  if (!found.state) return JobStage::absent;
  return found.state->status == "done" || found.state->status == "withdrawn" ? JobStage::finished
                                                                             : JobStage::accepted;
}

/// What the state service has, asked again where meanwhile more may have been told than the answer says.
void JobApi::lookup_consistent(const std::string& job_id, int tries,
                               const std::function<void(Lookup)>& done) {
  if (tries == 0) {
    done({});
    return;
  }
  lookup(job_id, [this, job_id, tries, done](const Lookup& found) {
    if (found.failed || consistency_.may_answer(job_id, stage_of(found), found.asked_at, runtime_.now())) {
      done(found);
    } else {
      lookup_consistent(job_id, tries - 1, done);
    }
  });
}

/// Tells a user of a job that is known, once no other node gives an older answer any more. Whoever does so
/// says it to the peers first; what has been known here for a while needs no word.
void JobApi::announce_and_answer(const std::string& job_id, const Lookup& found, const ResponseFor& say,
                                 const Responder& answer) {
  const JobStage level = stage_of(found);
  const Instant now = runtime_.now();
  consistency_.observe(job_id, level, now);
  // From the answer on a cancelled job's tasks have so long to be gone: it goes out once this node counts the
  // cancellation among those that it has told, in the order of its mail. A poll may be the first to tell,
  // when the answer to the cancellation was lost. What has ended has no tasks any more.
  const bool cancelled = found.state->status == "withdrawn" && !final_states_.contains(job_id);
  if (cancelled) job_cancelled(JobCancelled{job_id});
  const Instant at = consistency_.may_answer_from(job_id, level, now);
  if (at > now) {
    auto& waiting = waiting_answers_[{job_id, level}];
    waiting.push_back(
        [this, job_id, found, say, answer] { answer_when_consistent(job_id, found, say, answer); });
    if (waiting.size() > 1) return;
    consistency_.announce(job_id, level, now);
    stage_announcement(StageAnnouncement{job_id, level});
    runtime_.after(at - now, [this, job_id, level] { release_waiting(job_id, level); });
  } else if (cancelled) {
    runtime_.post([answer, response = say(*found.state)] { answer(response); });
  } else {
    answer_when_consistent(job_id, found, say, answer);
  }
}

/// The one place where a user is told of a job that is known, but for cancellations. The answer may have
/// waited, here or on its way from the state service, and more may have been told meanwhile.
void JobApi::answer_when_consistent(const std::string& job_id, const Lookup& found, const ResponseFor& say,
                                    const Responder& answer) {
  if (consistency_.may_answer(job_id, stage_of(found), found.asked_at, runtime_.now())) {
    answer(say(*found.state));
    return;
  }
  lookup_consistent(job_id, kReadTries, [this, job_id, say, answer](const Lookup& now) {
    if (now.failed || !now.state) {
      answer(no_state());
    } else {
      announce_and_answer(job_id, now, say, answer);
    }
  });
}

void JobApi::release_waiting(const std::string& job_id, JobStage level) {
  const auto waiting = waiting_answers_.extract({job_id, level});
  if (waiting.empty()) return;
  for (const auto& answer : waiting.mapped()) answer();
}

void JobApi::on_stage_confirmed(const StageAnnouncement& event) {
  consistency_.on_confirmed(event.job_id, event.stage);
  release_waiting(event.job_id, event.stage);
}

void JobApi::on_records_changed(const RecordsChanged& event) {
  for (const std::string& job_id : event.live)
    consistency_.observe(job_id, JobStage::accepted, runtime_.now());
  for (const std::string& job_id : event.ended)
    consistency_.observe(job_id, JobStage::finished, runtime_.now());
}

void JobApi::answer_known_or(const std::string& job_id, Response otherwise, const Responder& answer) {
  lookup_consistent(
      job_id, kReadTries, [this, job_id, otherwise = std::move(otherwise), answer](const Lookup& found) {
        if (found.failed) {
          answer(found.queue_full ? busy() : no_state());
        } else if (found.state) {
          announce_and_answer(
              job_id, found,
              [job_id](const JobState& state) { return status_response(200, job_id, state.status); }, answer);
        } else {
          answer(otherwise);
        }
      });
}

/// Why the job can never run, with the machine types, teams and failure domains that there are.
std::optional<InvalidField> JobApi::why_never_runs(const JobSpec& spec, const Team* team) const {
  static const Catalog kNone;
  const Catalog& catalog = catalog_ ? *catalog_ : kNone;
  if (auto why = never_runs(spec, catalog, team)) return why;
  if (!spec.layout) return std::nullopt;
  if (!topology_.topology)
    return InvalidField{"layout", "no topology is set up here, so there are no domains"};
  return topology_.topology->never_holds(spec, catalog);
}

void JobApi::submit(const Request& request, const Responder& answer) {
  const auto value = decode(request.body);
  if (!value || value->map() == nullptr) {
    answer(error_response({400, "not_a_map", "The body must be one CBOR map keyed by text.", "", 0}));
    return;
  }
  InvalidField fault;
  const auto spec = read_spec(*value, &fault);
  const auto bad_field = [&] {
    return error_response({400, "bad_field", fault.field + " " + fault.what + ".", fault.field, 0});
  };
  const std::string* job_id = (*value)["ref"].text();
  if (job_id == nullptr || !valid_job_id(*job_id)) {
    answer(bad_field());
    return;
  }
  if (!spec) {
    answer_known_or(*job_id, bad_field(), answer);
    return;
  }
  const Team* team = settings_.team(spec->team);
  if (!catalog_ && team != nullptr) {
    answer_known_or(
        *job_id,
        error_response({503, "types_unknown", "The cloud has not told its machine types yet.", "", 2}),
        answer);
    return;
  }
  if (spec->layout && !topology_.agreed) {
    answer_known_or(
        *job_id,
        error_response({503, "topology_unknown",
                        "This node has not the topology that is in force, by which a layout is judged.",
                        "layout", 2}),
        answer);
    return;
  }
  if (const auto why = why_never_runs(*spec, team)) {
    log::info("submission_refused", "submission {job} can never run: {reason}", log::with("job", *job_id),
              log::with("reason", why->what), log::with("field", why->field));
    answer_known_or(
        *job_id,
        error_response({422, "never_runs", "The job can never run: " + why->what + ".", why->field, 0}),
        answer);
    return;
  }
  const Value record =
      records::write_job(*spec, runtime_.wall_time(), records::max_tasks_per_block(settings_.value_kb));
  if (record.json_size() > static_cast<std::size_t>(settings_.value_kb * 1024)) {
    answer_known_or(*job_id,
                    error_response({400, "too_large",
                                    "The description is larger than the state service takes.", "flavors", 0}),
                    answer);
    return;
  }
  store_.commit({{records::job_key(*job_id), 0}, {records::final_state_key(*job_id), 0}},
                {{records::job_key(*job_id), record, 0}}, KvClient::RequestClass::user,
                [this, id = *job_id, answer](const CommitReply& reply) {
                  switch (reply.result) {
                    case CommitReply::Result::committed:
                      remember_record(id, {reply.revision, false});
                      announce_and_answer(
                          id, Lookup{false, JobState{"pending", 0, 0}, reply.sent_at},
                          [id](const JobState& state) {
                            return status_response(state.status == "pending" ? 201 : 200, id, state.status);
                          },
                          answer);
                      break;
                    case CommitReply::Result::conflict:
                    case CommitReply::Result::unknown:
                      answer_known_or(id, no_state(), answer);
                      break;
                    case CommitReply::Result::refused:
                      answer(reply.queue_full ? busy() : no_state());
                      break;
                    case CommitReply::Result::invalid:
                      answer(error_response(
                          {400, "not_kept", "The state service does not take this description.", "", 0}));
                      break;
                  }
                });
}

void JobApi::poll(const std::string& job_id, const Responder& answer) {
  lookup_consistent(job_id, kReadTries, [this, job_id, answer](const Lookup& found) {
    if (found.failed) {
      answer(found.queue_full ? busy() : no_state());
    } else if (!found.state) {
      answer(unknown_job(job_id));
    } else {
      announce_and_answer(
          job_id, found,
          [job_id](const JobState& state) -> Response {
            return {200,
                    encode(Value::Map{{"ref", job_id},
                                      {"status", state.status},
                                      {"done", state.done},
                                      {"running", state.running}}),
                    0};
          },
          answer);
    }
  });
}

void JobApi::cancel_job(const std::string& job_id, int tries, const Responder& answer) {
  if (tries == 0) {
    answer(busy());
    return;
  }
  store_.get(
      records::job_key(job_id), KvClient::RequestClass::user, [this, job_id, tries, answer](ReadReply reply) {
        if (reply.result != ReadReply::Result::ok) {
          answer(reply.queue_full ? busy() : no_state());
          return;
        }
        if (reply.rows.empty()) {
          answer_known_or(job_id, unknown_job(job_id), answer);
          return;
        }
        const auto say = [job_id](const JobState& state) {
          return status_response(200, job_id, state.status);
        };
        if (reply.rows[0].value["wd"].boolean().value_or(false)) {
          remember_record(job_id, {reply.rows[0].mod_revision, true});
          announce_and_answer(job_id, Lookup{false, newest_state(job_id), reply.sent_at}, say, answer);
          return;
        }
        store_.commit(
            {{reply.rows[0].key, reply.rows[0].mod_revision}},
            {{reply.rows[0].key, records::cancelled_record(reply.rows[0].value), 0}},
            KvClient::RequestClass::user, [this, job_id, tries, say, answer](const CommitReply& commit) {
              if (commit.result == CommitReply::Result::committed) {
                remember_record(job_id, {commit.revision, true});
                announce_and_answer(job_id, Lookup{false, newest_state(job_id), commit.sent_at}, say, answer);
              } else if (commit.result == CommitReply::Result::refused) {
                answer(commit.queue_full ? busy() : no_state());
              } else {
                cancel_job(job_id, tries - 1, answer);
              }
            });
      });
}

}  // namespace wrenusher::job_api

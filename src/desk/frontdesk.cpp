#include "wrenusher/desk/frontdesk.hpp"

#include <algorithm>
#include <tuple>

#include "wrenusher/base/refusal.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::desk {

namespace {

constexpr std::size_t kMostFinals = 10000;
constexpr Micros kFreshPeer = from_seconds(2);
constexpr std::size_t kMostKnown = 20000;
constexpr int kWithdrawTries = 4;
/// Polls that come this close together share a comparison from the start; more gather while it is under way.
constexpr Micros kGather = millis(10);
/// Questions that wait for a comparison; what is over is refused at once.
constexpr std::size_t kMostChecks = 4000;

constexpr int kSoon = 1;
/// Told to come back after at most so long.
constexpr Micros kLatest = from_seconds(10);

/// The state service gave no answer, or none that this can be decided by.
Response no_state() {
  return refuse({503, "state_unreachable", "The state service gives no answer at present.", "", kSoon});
}

/// What can't be taken in time is told so at once, with when to come back.
Response busy(Micros wait) {
  const Micros most = std::min(wait, kLatest) + from_seconds(1) - Micros{1};
  return refuse({503, "busy", "Too much waits here at present.", "",
                 std::max(kSoon, static_cast<int>(most / from_seconds(1)))});
}

Response not_asked(Micros busy_for) {
  return busy_for.count() > 0 ? busy(busy_for) : no_state();
}

Response unknown_job(const std::string& ref) {
  return refuse({404, "unknown_job", "No job of this name has been accepted.", ref, 0});
}

Response no_such_path() {
  return refuse(
      {404, "no_such_path", "There is /submissions, /submissions/{ref}, its /withdraw, and /ready.", "", 0});
}

Response wrong_method(const char* right) {
  return refuse({405, "wrong_method", std::string("This is asked with ") + right + ".", "", 0});
}

Response status_response(int code, const std::string& ref, const std::string& status) {
  return {code, encode(Value::Map{{"ref", ref}, {"status", status}}), 0};
}

}  // namespace

Frontdesk::Frontdesk(Runtime& rt, const Settings& settings, Store& store)
    : rt_(rt), settings_(settings), store_(store) {}

void Frontdesk::on_peer(const PeerNews& news) {
  if (news.reached) peers_[news.node] = {*news.reached, news.store};
}

void Frontdesk::on_progress(const std::shared_ptr<const Progress>& p) {
  counts_.clear();
  for (const Progress::Row& r : p->rows) counts_[r.ref] = {r.done, r.running};
}

bool Frontdesk::ready() const {
  if (store_.reachable()) return true;
  // In an outage that all share, leaving the balancer would only lengthen its pause.
  for (const auto& [node, seen] : peers_) {
    if (seen.second && rt_.now() - seen.first < kFreshPeer) return false;
  }
  return true;
}

void Frontdesk::serve(const Request& request, const Answer& answer) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/ready") {
    if (request.method != "GET") {
      answer(wrong_method("GET"));
    } else {
      answer(ready() ? Response{200, {}, 0}
                     : refuse({503, "not_ready", "A peer has the state service and this node has not.", "",
                               kSoon}));
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
  std::string ref = path.substr(base.size() + 1);
  bool cancel = false;
  if (const auto slash = ref.find('/'); slash != std::string::npos) {
    if (ref.substr(slash) != "/withdraw") {
      answer(no_such_path());
      return;
    }
    cancel = true;
    ref.resize(slash);
  }
  if (!valid_ref(ref)) {
    answer(unknown_job(ref));
  } else if (request.method != (cancel ? "POST" : "GET")) {
    answer(wrong_method(cancel ? "POST" : "GET"));
  } else if (cancel) {
    withdraw(ref, kWithdrawTries, answer);
  } else {
    poll(ref, answer);
  }
}

void Frontdesk::remember(const std::string& ref, const State& s) {
  if (!finals_.emplace(ref, s).second) return;
  finals_order_.push_back(ref);
  if (finals_order_.size() > kMostFinals) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

void Frontdesk::know(const std::string& ref, const Known& k) {
  const auto [it, added] = known_.try_emplace(ref, k);
  if (!added) {
    // Answers of the state service may pass one another: a stamp never goes back.
    if (k.stamp > it->second.stamp) it->second = k;
    return;
  }
  known_order_.push_back(ref);
  if (known_order_.size() > kMostKnown) {
    known_.erase(known_order_.front());
    known_order_.pop_front();
  }
}

/// The job is over as of this stamp.
void Frontdesk::forget(const std::string& ref, std::uint64_t stamp) {
  const auto it = known_.find(ref);
  if (it != known_.end() && it->second.stamp < stamp) known_.erase(it);
}

/// What this node reads anyway, as leader or to follow: with it a poll costs a comparison that many share,
/// after a takeover as well, and not a read of its own.
void Frontdesk::on_roots(const std::shared_ptr<const RootsSeen>& r) {
  for (const RootsSeen::Root& root : r->live) {
    if (!finals_.contains(root.ref)) know(root.ref, {root.stamp, root.withdrawn});
  }
  for (const auto& [ref, stamp] : r->gone) forget(ref, stamp);
}

void Frontdesk::on_finals(const std::shared_ptr<const FinalsKept>& f) {
  for (const FinalsKept::Row& row : f->rows) {
    remember(row.ref, {row.withdrawn ? "withdrawn" : "done", row.done, 0});
    known_.erase(row.ref);
  }
}

Frontdesk::State Frontdesk::live_state(const std::string& ref, bool gone) const {
  State s;
  if (const auto it = counts_.find(ref); it != counts_.end()) std::tie(s.done, s.running) = it->second;
  s.status = gone ? "withdrawn" : s.running > 0 ? "running" : "pending";
  return s;
}

/// The state of a job as the state service has it now. What was read before needs only to be compared, and
/// many are compared in one request: with one for every poll, a few hundred users took all the requests a
/// second there are.
void Frontdesk::lookup(const std::string& ref, Store::Urgent urgent, std::function<void(Found)> done) {
  if (const auto it = finals_.find(ref); it != finals_.end()) {
    done(Found{false, it->second});
  } else if (!known_.contains(ref)) {
    read(ref, urgent, done);
  } else if (checks_.size() >= kMostChecks) {
    done(Found{true, std::nullopt, from_seconds(kSoon)});
  } else {
    checks_.push_back({ref, urgent, std::move(done)});
    if (checking_) return;
    checking_ = true;
    rt_.after(kGather, [this] { check(); });
  }
}

void Frontdesk::check() {
  std::vector<Check> asked;
  std::map<std::string, std::uint64_t> stamps;
  while (!checks_.empty() && stamps.size() < settings_.txn_ops * 4) {
    Check c = std::move(checks_.front());
    checks_.pop_front();
    if (const auto it = known_.find(c.ref); it != known_.end()) {
      stamps.emplace(records::job_key(c.ref), it->second.stamp);
      asked.push_back(std::move(c));
    } else {
      lookup(c.ref, c.urgent, std::move(c.done));
    }
  }
  if (asked.empty()) {
    checking_ = false;
    return;
  }
  std::vector<Condition> when;
  for (const auto& [key, stamp] : stamps) when.push_back({key, stamp});
  store_.commit(when, {}, Store::Urgent::poll, [this, asked = std::move(asked)](const Commit& c) mutable {
    settle_checks(std::move(asked), c);
    check();
  });
}

void Frontdesk::settle_checks(std::vector<Check> asked, const Commit& c) {
  for (Check& a : asked) {
    const auto it = known_.find(a.ref);
    if (c.result == Commit::Result::committed && it != known_.end()) {
      a.done(Found{false, live_state(a.ref, it->second.withdrawn)});
    } else if (c.result == Commit::Result::conflict) {
      // What has changed is read anew; the rest is asked once more, since nothing says that it was compared.
      const bool failed = c.failed.empty() || std::find(c.failed.begin(), c.failed.end(),
                                                        records::job_key(a.ref)) != c.failed.end();
      if (const auto fin = finals_.find(a.ref); fin != finals_.end()) {
        a.done(Found{false, fin->second});
      } else if (failed || it == known_.end()) {
        read(a.ref, a.urgent, a.done);
      } else {
        checks_.push_front(std::move(a));
      }
    } else {
      Found f;
      f.busy = c.busy;
      a.done(f);
    }
  }
}

void Frontdesk::read(const std::string& ref, Store::Urgent urgent, const std::function<void(Found)>& done) {
  // First the live record, then the final one: a job moves only from the first to the second, in one
  // transaction, so a job that exists is seen in one of them.
  const auto failed = [done](const Read& r) {
    Found f;
    f.busy = r.busy;
    done(f);
  };
  store_.get(records::job_key(ref), urgent, [this, ref, urgent, done, failed](const Read& live) {
    if (live.result != Read::Result::ok) {
      failed(live);
      return;
    }
    if (!live.rows.empty()) {
      const bool gone = live.rows[0].value["wd"].boolean().value_or(false);
      know(ref, {live.rows[0].stamp, gone});
      done(Found{false, live_state(ref, gone)});
      return;
    }
    forget(ref, live.revision + 1);
    store_.get(records::end_key(ref), urgent, [this, ref, done, failed](const Read& end) {
      if (end.result != Read::Result::ok) {
        failed(end);
        return;
      }
      if (end.rows.empty()) {
        done(Found{false, std::nullopt});
        return;
      }
      State fin;
      fin.status = end.rows[0].value["s"].text() != nullptr ? *end.rows[0].value["s"].text() : "done";
      fin.done = end.rows[0].value["n"].count().value_or(0);
      remember(ref, fin);
      done(Found{false, fin});
    });
  });
}

void Frontdesk::known_or(const std::string& ref, Response otherwise, const Answer& answer) {
  lookup(ref, Store::Urgent::user, [ref, otherwise = std::move(otherwise), answer](const Found& f) {
    if (f.failed) {
      answer(not_asked(f.busy));
    } else if (f.state) {
      answer(status_response(200, ref, f.state->status));
    } else {
      answer(otherwise);
    }
  });
}

/// Why the job can never run, with the machine types, teams and failure domains that there are.
std::optional<Fault> Frontdesk::never(const JobSpec& spec, const Team* team) const {
  static const Catalog kNone;
  const Catalog& catalog = catalog_ ? *catalog_ : kNone;
  if (auto why = never_runs(spec, catalog, team)) return why;
  if (!spec.layout) return std::nullopt;
  if (!topology_.topology) return Fault{"layout", "no topology is set up here, so there are no domains"};
  return topology_.topology->never_holds(spec, catalog);
}

void Frontdesk::submit(const Request& request, const Answer& answer) {
  const auto v = decode(request.body);
  if (!v || v->map() == nullptr) {
    answer(refuse({400, "not_a_map", "The body must be one CBOR map keyed by text.", "", 0}));
    return;
  }
  Fault fault;
  const auto spec = read_spec(*v, &fault);
  const auto bad_field = [&] {
    return refuse({400, "bad_field", fault.field + " " + fault.what + ".", fault.field, 0});
  };
  const std::string* ref = (*v)["ref"].text();
  if (ref == nullptr || !valid_ref(*ref)) {
    answer(bad_field());
    return;
  }
  if (!spec) {
    known_or(*ref, bad_field(), answer);
    return;
  }
  const Team* team = settings_.team(spec->owner);
  if (!catalog_ && team != nullptr) {
    known_or(*ref, refuse({503, "types_unknown", "The cloud has not told its machine types yet.", "", 2}),
             answer);
    return;
  }
  if (spec->layout && !topology_.agreed) {
    known_or(*ref,
             refuse({503, "topology_unknown",
                     "This node has not the topology that is in force, by which a layout is judged.",
                     "layout", 2}),
             answer);
    return;
  }
  if (const auto why = never(*spec, team)) {
    log::info("submission_refused", "submission {job} can never run: {reason}", log::with("job", *ref),
              log::with("reason", why->what), log::with("field", why->field));
    known_or(*ref, refuse({422, "never_runs", "The job can never run: " + why->what + ".", why->field, 0}),
             answer);
    return;
  }
  const Value record = records::new_job(*spec, rt_.wall(), records::block_size(settings_.value_kb));
  if (record.json_size() > static_cast<std::size_t>(settings_.value_kb * 1024)) {
    known_or(
        *ref,
        refuse({400, "too_large", "The description is larger than the state service takes.", "flavors", 0}),
        answer);
    return;
  }
  store_.commit(
      {{records::job_key(*ref), 0}, {records::end_key(*ref), 0}}, {{records::job_key(*ref), record, 0}},
      Store::Urgent::user, [this, id = *ref, answer](const Commit& c) {
        switch (c.result) {
          case Commit::Result::committed:
            know(id, {c.revision, false});
            answer(status_response(201, id, "pending"));
            break;
          case Commit::Result::conflict:
          case Commit::Result::unknown:
            known_or(id, no_state(), answer);
            break;
          case Commit::Result::refused:
            answer(not_asked(c.busy));
            break;
          case Commit::Result::invalid:
            answer(refuse({400, "not_kept", "The state service does not take this description.", "", 0}));
            break;
        }
      });
}

void Frontdesk::poll(const std::string& ref, const Answer& answer) {
  lookup(ref, Store::Urgent::poll, [ref, answer](const Found& f) {
    if (f.failed) {
      answer(not_asked(f.busy));
    } else if (!f.state) {
      answer(unknown_job(ref));
    } else {
      answer({200,
              encode(Value::Map{{"ref", ref},
                                {"status", f.state->status},
                                {"done", f.state->done},
                                {"running", f.state->running}}),
              0});
    }
  });
}

void Frontdesk::withdraw(const std::string& ref, int tries, const Answer& answer) {
  if (tries == 0) {
    answer(busy(from_seconds(kSoon)));
    return;
  }
  store_.get(records::job_key(ref), Store::Urgent::user, [this, ref, tries, answer](Read r) {
    if (r.result != Read::Result::ok) {
      answer(not_asked(r.busy));
      return;
    }
    if (r.rows.empty()) {
      known_or(ref, unknown_job(ref), answer);
      return;
    }
    if (r.rows[0].value["wd"].boolean().value_or(false)) {
      withdrawn(JobWithdrawn{ref});
      answer(status_response(200, ref, "withdrawn"));
      return;
    }
    store_.commit({{r.rows[0].key, r.rows[0].stamp}},
                  {{r.rows[0].key, records::withdrawn(r.rows[0].value), 0}}, Store::Urgent::user,
                  [this, ref, tries, answer](const Commit& c) {
                    if (c.result == Commit::Result::committed) {
                      know(ref, {c.revision, true});
                      withdrawn(JobWithdrawn{ref});
                      answer(status_response(200, ref, "withdrawn"));
                    } else if (c.result == Commit::Result::refused) {
                      answer(not_asked(c.busy));
                    } else {
                      withdraw(ref, tries - 1, answer);
                    }
                  });
  });
}

}  // namespace wrenusher::desk

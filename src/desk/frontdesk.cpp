#include "wrenusher/desk/frontdesk.hpp"

#include <algorithm>
#include <tuple>

#include "wrenusher/base/refusal.hpp"
#include "wrenusher/log/log.hpp"
#include "wrenusher/records/records.hpp"

namespace wrenusher::desk {

namespace {

/// Final states and live records in memory. Jobs grow with machines: 0.65 live ones a machine, so some 7,200
/// at 11,000 machines. What is dropped is read again.
constexpr std::size_t kMostFinals = 12000;
constexpr Micros kFreshPeer = from_seconds(2);
constexpr std::size_t kMostKnown = 12000;
constexpr int kWithdrawTries = 4;
/// The state service is asked so often for an answer that may be given.
constexpr int kAskTries = 3;
/// Polls that come this close together share a comparison from the start; more gather while it is under way.
constexpr Micros kGather = millis(10);
/// Questions that wait for a comparison; what is over is refused at once.
constexpr std::size_t kMostChecks = 12000;

constexpr int kSoon = 1;

/// The state service gave no answer, or none that this can be decided by.
Response no_state() {
  return refuse({503, "state_unreachable", "The state service gives no answer at present.", "", kSoon});
}

Response busy() {
  return refuse({503, "busy", "Too many questions wait here at present.", "", kSoon});
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
    : rt_(rt), settings_(settings), store_(store), order_(settings.peers.empty()), index_(rt, store) {
  index_.on_ended = [this](const std::string& ref, const std::string& state, std::uint64_t done) {
    remember(ref, {state, done, 0});
  };
  index_.on_followed = [this](const RecordsFollowed& f) { on_followed(f); };
}

void Frontdesk::on_peer(const PeerNews& news) {
  if (!news.reached) return;
  PeerSeen& peer = peers_[news.node];
  peer.reached = std::max(peer.reached, *news.reached);
  peer.store = news.store;
  if (news.announced_all) peer.announced = std::max(peer.announced, *news.reached);
  // What they had announced by then came before, in the order of the mail.
  if (peers_.size() < settings_.peers.size()) return;
  Instant all = Instant::max();
  for (const auto& [node, seen] : peers_) all = std::min(all, seen.announced);
  order_.in_touch(all);
}

void Frontdesk::on_progress(const std::shared_ptr<const Progress>& p) {
  if (p->part) {
    std::erase_if(counts_, [&](const auto& c) { return p->part->contains(c.first); });
  } else {
    counts_.clear();
  }
  for (const Progress::Row& r : p->rows) counts_[r.ref] = {r.done, r.running};
}

bool Frontdesk::ready() const {
  if (store_.reachable()) return true;
  // In an outage that all share, leaving the balancer would only lengthen its pause.
  for (const auto& [node, seen] : peers_) {
    if (seen.store && rt_.now() - seen.reached < kFreshPeer) return false;
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
  order_.seen(ref, Level::over, rt_.now());
  if (!finals_.emplace(ref, s).second) return;
  finals_order_.push_back(ref);
  if (finals_order_.size() > kMostFinals) {
    finals_.erase(finals_order_.front());
    finals_order_.pop_front();
  }
}

void Frontdesk::know(const std::string& ref, const Known& k) {
  order_.seen(ref, k.withdrawn ? Level::over : Level::accepted, rt_.now());
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

Frontdesk::State Frontdesk::live_state(const std::string& ref, bool gone) const {
  State s;
  if (const auto it = counts_.find(ref); it != counts_.end()) std::tie(s.done, s.running) = it->second;
  s.status = gone ? "withdrawn" : s.running > 0 ? "running" : "pending";
  return s;
}

/// The state of a live job that has just been read or compared. That answer may have passed newer ones on its
/// way, by which this node has told more already.
Frontdesk::State Frontdesk::newest(const std::string& ref) const {
  if (const auto it = finals_.find(ref); it != finals_.end()) return it->second;
  const auto it = known_.find(ref);
  return live_state(ref, it != known_.end() && it->second.withdrawn);
}

/// The state of a job as the state service has it now. Without the index what was read before needs only to
/// be compared, and many are compared in one request: with one for every poll, a few hundred users took all
/// the requests a second there are.
void Frontdesk::lookup(const std::string& ref, std::function<void(Found)> done) {
  if (const auto it = finals_.find(ref); it != finals_.end()) {
    done(Found{false, it->second, rt_.now()});
  } else if (index_.whole()) {
    look_up_in_index(ref, std::move(done));
  } else if (!known_.contains(ref)) {
    read(ref, done);
  } else if (checks_.size() >= kMostChecks) {
    done(Found{true, std::nullopt, {}, true});
  } else {
    checks_.push_back({ref, std::move(done)});
    if (checking_) return;
    checking_ = true;
    rt_.after(kGather, [this] { check(); });
  }
}

void Frontdesk::look_up_in_index(const std::string& ref, std::function<void(Found)> done) {
  if (!index_.has_room()) {
    done(Found{true, std::nullopt, {}, true});
    return;
  }
  index_.ask(ref, [this, ref, done = std::move(done)](const JobIndex::Answer& a) {
    if (const auto it = finals_.find(ref); it != finals_.end()) {
      done(Found{false, it->second, a.sent});
      return;
    }
    switch (a.standing) {
      case JobIndex::Standing::live:
      case JobIndex::Standing::cancelled:
        done(Found{false, live_state(ref, a.standing == JobIndex::Standing::cancelled), a.sent});
        break;
      case JobIndex::Standing::absent:
        read(ref, done);
        break;
      case JobIndex::Standing::failed:
        if (index_.whole()) {
          done({});
        } else {
          lookup(ref, done);
        }
        break;
    }
  });
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
      lookup(c.ref, std::move(c.done));
    }
  }
  if (asked.empty()) {
    checking_ = false;
    return;
  }
  std::vector<Condition> when;
  for (const auto& [key, stamp] : stamps) when.push_back({key, stamp});
  store_.commit(when, {}, Store::Urgent::user, [this, asked = std::move(asked)](const Commit& c) mutable {
    settle_checks(std::move(asked), c);
    check();
  });
}

void Frontdesk::settle_checks(std::vector<Check> asked, const Commit& c) {
  for (Check& a : asked) {
    const auto it = known_.find(a.ref);
    if (c.result == Commit::Result::committed && it != known_.end()) {
      a.done(Found{false, newest(a.ref), c.sent});
    } else if (c.result == Commit::Result::conflict) {
      // What has changed is read anew; the rest is asked once more, since nothing says that it was compared.
      const bool failed = c.failed.empty() || std::find(c.failed.begin(), c.failed.end(),
                                                        records::job_key(a.ref)) != c.failed.end();
      if (failed || it == known_.end()) {
        read(a.ref, a.done);
      } else {
        checks_.push_front(std::move(a));
      }
    } else {
      a.done({});
    }
  }
}

void Frontdesk::read(const std::string& ref, const std::function<void(Found)>& done) {
  // First the live record, then the final one: a job moves only from the first to the second, in one
  // transaction, so a job that exists is seen in one of them.
  store_.get(records::job_key(ref), Store::Urgent::user, [this, ref, done](Read live) {
    if (live.result != Read::Result::ok) {
      done(Found{true, std::nullopt, {}, live.crowded});
      return;
    }
    if (!live.rows.empty()) {
      const bool gone = live.rows[0].value["wd"].boolean().value_or(false);
      know(ref, {live.rows[0].stamp, gone});
      done(Found{false, newest(ref), live.sent});
      return;
    }
    store_.get(records::end_key(ref), Store::Urgent::user, [this, ref, done, sent = live.sent](Read end) {
      if (end.result != Read::Result::ok) {
        done(Found{true, std::nullopt, {}, end.crowded});
        return;
      }
      if (end.rows.empty()) {
        // Between the two it may have been accepted: it was not known when the first was asked.
        done(Found{false, std::nullopt, sent});
        return;
      }
      State fin;
      fin.status = end.rows[0].value["s"].text() != nullptr ? *end.rows[0].value["s"].text() : "done";
      fin.done = end.rows[0].value["n"].count().value_or(0);
      remember(ref, fin);
      done(Found{false, fin, sent});
    });
  });
}

Level Frontdesk::level_of(const Found& f) const {
  if (!f.state) return Level::absent;
  return f.state->status == "done" || f.state->status == "withdrawn" ? Level::over : Level::accepted;
}

/// What the state service has, asked again where meanwhile more may have been told than the answer says.
void Frontdesk::ask(const std::string& ref, int tries, const std::function<void(Found)>& done) {
  if (tries == 0) {
    done({});
    return;
  }
  lookup(ref, [this, ref, tries, done](const Found& f) {
    if (f.failed || order_.stands(ref, level_of(f), f.sent, rt_.now())) {
      done(f);
    } else {
      ask(ref, tries - 1, done);
    }
  });
}

/// Tells a user of a job that is known, once no other node gives an older answer any more. Whoever does so
/// says it to the peers first; what has been known here for a while needs no word.
void Frontdesk::tell(const std::string& ref, const Found& f, const Say& say, const Answer& answer) {
  const Level level = level_of(f);
  const Instant now = rt_.now();
  order_.seen(ref, level, now);
  // From the answer on a cancelled job's tasks have so long to be gone: it goes out once this node counts the
  // cancellation among those that it has told, in the order of its mail. A poll may be the first to tell,
  // when the answer to the cancellation was lost. What has ended has no tasks any more.
  const bool cancelled = f.state->status == "withdrawn" && !finals_.contains(ref);
  if (cancelled) withdrawn(JobWithdrawn{ref});
  const Instant at = order_.may_tell(ref, level, now);
  if (at > now) {
    auto& waiting = held_[{ref, level}];
    waiting.push_back([this, ref, f, say, answer] { give(ref, f, say, answer); });
    if (waiting.size() > 1) return;
    order_.announce(ref, level, now);
    announcing(Announcement{ref, level});
    rt_.after(at - now, [this, ref, level] { release(ref, level); });
  } else if (cancelled) {
    rt_.post([answer, response = say(*f.state)] { answer(response); });
  } else {
    give(ref, f, say, answer);
  }
}

/// The one place where a user is told of a job that is known, but for cancellations. The answer may have
/// waited, here or on its way from the state service, and more may have been told meanwhile.
void Frontdesk::give(const std::string& ref, const Found& f, const Say& say, const Answer& answer) {
  if (order_.stands(ref, level_of(f), f.sent, rt_.now())) {
    answer(say(*f.state));
    return;
  }
  ask(ref, kAskTries, [this, ref, say, answer](const Found& now) {
    if (now.failed || !now.state) {
      answer(no_state());
    } else {
      tell(ref, now, say, answer);
    }
  });
}

void Frontdesk::release(const std::string& ref, Level level) {
  const auto waiting = held_.extract({ref, level});
  if (waiting.empty()) return;
  for (const auto& answer : waiting.mapped()) answer();
}

void Frontdesk::on_confirmed(const Announcement& a) {
  order_.confirmed(a.ref, a.level);
  release(a.ref, a.level);
}

void Frontdesk::on_followed(const RecordsFollowed& f) {
  for (const std::string& ref : f.live) order_.seen(ref, Level::accepted, rt_.now());
  for (const std::string& ref : f.over) order_.seen(ref, Level::over, rt_.now());
}

void Frontdesk::known_or(const std::string& ref, Response otherwise, const Answer& answer) {
  ask(ref, kAskTries, [this, ref, otherwise = std::move(otherwise), answer](const Found& f) {
    if (f.failed) {
      answer(f.busy ? busy() : no_state());
    } else if (f.state) {
      tell(
          ref, f, [ref](const State& s) { return status_response(200, ref, s.status); }, answer);
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
            tell(
                id, Found{false, State{"pending", 0, 0}, c.sent},
                [id](const State& s) {
                  return status_response(s.status == "pending" ? 201 : 200, id, s.status);
                },
                answer);
            break;
          case Commit::Result::conflict:
          case Commit::Result::unknown:
            known_or(id, no_state(), answer);
            break;
          case Commit::Result::refused:
            answer(c.crowded ? busy() : no_state());
            break;
          case Commit::Result::invalid:
            answer(refuse({400, "not_kept", "The state service does not take this description.", "", 0}));
            break;
        }
      });
}

void Frontdesk::poll(const std::string& ref, const Answer& answer) {
  ask(ref, kAskTries, [this, ref, answer](const Found& f) {
    if (f.failed) {
      answer(f.busy ? busy() : no_state());
    } else if (!f.state) {
      answer(unknown_job(ref));
    } else {
      tell(
          ref, f,
          [ref](const State& s) -> Response {
            return {200,
                    encode(Value::Map{
                        {"ref", ref}, {"status", s.status}, {"done", s.done}, {"running", s.running}}),
                    0};
          },
          answer);
    }
  });
}

void Frontdesk::withdraw(const std::string& ref, int tries, const Answer& answer) {
  if (tries == 0) {
    answer(busy());
    return;
  }
  store_.get(records::job_key(ref), Store::Urgent::user, [this, ref, tries, answer](Read r) {
    if (r.result != Read::Result::ok) {
      answer(r.crowded ? busy() : no_state());
      return;
    }
    if (r.rows.empty()) {
      known_or(ref, unknown_job(ref), answer);
      return;
    }
    const auto say = [ref](const State& s) { return status_response(200, ref, s.status); };
    if (r.rows[0].value["wd"].boolean().value_or(false)) {
      know(ref, {r.rows[0].stamp, true});
      tell(ref, Found{false, newest(ref), r.sent}, say, answer);
      return;
    }
    store_.commit({{r.rows[0].key, r.rows[0].stamp}},
                  {{r.rows[0].key, records::withdrawn(r.rows[0].value), 0}}, Store::Urgent::user,
                  [this, ref, tries, say, answer](const Commit& c) {
                    if (c.result == Commit::Result::committed) {
                      know(ref, {c.revision, true});
                      tell(ref, Found{false, newest(ref), c.sent}, say, answer);
                    } else if (c.result == Commit::Result::refused) {
                      answer(c.crowded ? busy() : no_state());
                    } else {
                      withdraw(ref, tries - 1, answer);
                    }
                  });
  });
}

}  // namespace wrenusher::desk

#include "wrenusher/lab/users.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::lab {

namespace {

constexpr int kMostTries = 3;
constexpr Micros kProbeEvery = from_seconds(1);
constexpr Micros kPollEvery = from_seconds(3);
constexpr Micros kPollWait = from_seconds(2);
constexpr Micros kSubmitWait = from_seconds(5);
constexpr Micros kRetry = from_seconds(1);

std::string state_of(const base::Outcome& o) {
  const auto v = o.answered ? decode(o.response.body) : std::nullopt;
  return v && (*v)["status"].text() != nullptr ? *(*v)["status"].text() : "";
}

}  // namespace

// ---------------------------------------------------------------- balancer

Balancer::Balancer(Wires& wires, std::vector<Endpoint> nodes) : wires_(wires) {
  for (Endpoint& at : nodes) {
    nodes_.emplace_back();
    nodes_.back().at = std::move(at);
  }
}

void Balancer::start() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) probe(i);
}

void Balancer::probe(std::size_t i) {
  wires_.send("user", nodes_[i].at, {"GET", "/ready", {}}, from_seconds(1),
              [this, i](const base::Outcome& o) {
                judge(nodes_[i], o.answered && o.response.status == 200);
                wires_.at(kProbeEvery, [this, i] { probe(i); });
              });
}

void Balancer::judge(Node& n, bool good) {
  n.probes.push_back(good);
  if (n.probes.size() > 6) n.probes.erase(n.probes.begin());
  const auto last = [&](std::size_t k, bool what) {
    return n.probes.size() >= k && std::all_of(n.probes.end() - static_cast<std::ptrdiff_t>(k),
                                               n.probes.end(), [&](bool p) { return p == what; });
  };
  const Instant now = wires_.now();
  if (n.healthy) {
    if (!last(2, false) && std::count(n.probes.begin(), n.probes.end(), false) < 3) return;
    n.healthy = false;
    n.pause = now - n.removed < from_seconds(120) ? std::min(n.pause * 2, from_seconds(60)) : from_seconds(3);
    n.removed = now;
    n.out_until = now + n.pause;
    n.probes.clear();
  } else if (good && (!n.ever || (last(2, true) && now >= n.out_until))) {
    n.healthy = n.ever = true;
    n.probes.clear();
  }
}

std::size_t Balancer::choose(const std::set<std::size_t>& tried) {
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& n = nodes_[i];
    if (!n.healthy || tried.contains(i) || wires_.now() < n.skip_until) continue;
    if (!best.empty() && n.open < nodes_[best.front()].open) best.clear();
    if (best.empty() || n.open == nodes_[best.front()].open) best.push_back(i);
  }
  return best.empty() ? nodes_.size()
                      : best[static_cast<std::size_t>(wires_.pick(static_cast<int>(best.size())))];
}

void Balancer::send(const Request& r, Micros timeout, Done done) {
  if (!on_outcome) {
    attempt(r, timeout, kMostTries, {}, std::move(done));
    return;
  }
  attempt(r, timeout, kMostTries, {},
          [this, r, asked = wires_.now(), done = std::move(done)](const base::Outcome& o) {
            on_outcome(r, o, wires_.now() - asked);
            done(o);
          });
}

void Balancer::attempt(const Request& r, Micros timeout, int left, std::set<std::size_t> tried, Done done) {
  const std::size_t i = left > 0 ? choose(tried) : nodes_.size();
  if (i == nodes_.size()) {
    wires_.at(millis(1), [done = std::move(done)] { done({false, false, {}}); });
    return;
  }
  ++nodes_[i].open;
  tried.insert(i);
  wires_.send(
      "user", nodes_[i].at, r, timeout,
      [this, i, r, timeout, left, tried = std::move(tried), done = std::move(done)](const base::Outcome& o) {
        Node& n = nodes_[i];
        --n.open;
        const bool refused = !o.answered && !o.sent;
        n.refused = refused ? n.refused + 1 : 0;
        if (n.refused >= 3) {
          n.refused = 0;
          n.skip_until = wires_.now() + from_seconds(3);
        }
        if (refused) {
          attempt(r, timeout, left - 1, tried, done);
        } else {
          done(o);
        }
      });
}

void Balancer::send_to(std::size_t node, const Request& r, Micros timeout, Done done) {
  wires_.send("user", nodes_[node].at, r, timeout, std::move(done));
}

// ---------------------------------------------------------------- users

std::string Users::told(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  return it == jobs_.end() ? "" : it->second.state;
}

std::size_t Users::live() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& j) {
    return checker_.accepted(j.first) && j.second.state != "done" && j.second.state != "withdrawn";
  }));
}

void Users::submit(const JobTruth& job) {
  machines_.describe(job);
  checker_.submitted(job.spec);
  if (job.mistaken) checker_.hopeless(job.spec.ref);
  jobs_.try_emplace(job.spec.ref).first->second.submitted = wires_.now();
  ask_again(job.spec);
}

void Users::ask_again(const JobSpec& spec) {
  balancer_.send({"POST", "/submissions", encode(write_spec(spec))}, kSubmitWait,
                 [this, spec](const base::Outcome& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_submit(wires_.now(), spec.ref, status);
                   Outcome& job = jobs_[spec.ref];
                   if (status == 200 || status == 201) {
                     job.accepted = wires_.now();
                     look(spec.ref);
                     wires_.at(kPollEvery, [this, ref = spec.ref] { poll(ref, 3); });
                   } else if (status == 400 || status == 422) {
                     job.refused = status;
                     job.over = wires_.now();
                   } else {
                     wires_.at(std::max(kRetry, from_seconds(o.response.retry_after_s)),
                               [this, spec] { ask_again(spec); });
                   }
                 });
}

void Users::poll(const std::string& ref, int left_after_end) {
  balancer_.send({"GET", "/submissions/" + ref, {}}, kPollWait,
                 [this, ref, left_after_end, asked = wires_.now()](const base::Outcome& o) {
                   int left = left_after_end;
                   if (o.answered) {
                     const std::string state = state_of(o);
                     checker_.answered_poll(wires_.now(), ref, o.response.status, state, asked);
                     Outcome& job = jobs_[ref];
                     if (!state.empty()) job.state = state;
                     if (state == "done" || state == "withdrawn") {
                       if (job.over == Instant{}) {
                         job.over = wires_.now();
                         look(ref);
                       }
                       --left;
                     }
                   }
                   if (left > 0) {
                     wires_.at(from_seconds(to_seconds(kPollEvery) / ask_often_),
                               [this, ref, left] { poll(ref, left); });
                   } else {
                     checker_.stopped_asking(ref);
                   }
                 });
}

void Users::withdraw(const std::string& ref) {
  checker_.asked_withdraw(ref);
  balancer_.send({"POST", "/submissions/" + ref + "/withdraw", {}}, kPollWait,
                 [this, ref, asked = wires_.now()](const base::Outcome& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_withdraw(wires_.now(), ref, status, state_of(o), asked);
                   if (status == 200) look(ref);
                   if (status != 200 && status != 404) wires_.at(kRetry, [this, ref] { withdraw(ref); });
                 });
}

/// Asks at all nodes within milliseconds, three times over, repeats the submission, and may cancel the job.
void Users::look(const std::string& ref) {
  if (!close_looks_) return;
  const JobSpec spec = machines_.job(ref)->spec;
  const auto soon = [this] { return Micros{static_cast<std::int64_t>(wires_.uniform(0, 15000))}; };
  for (std::size_t n = 0; n < balancer_.nodes(); ++n) {
    for (int i = 0; i < 3; ++i) {
      wires_.at(soon(), [this, n, ref] {
        balancer_.send_to(n, {"GET", "/submissions/" + ref, {}}, kPollWait,
                          [this, ref, asked = wires_.now()](const base::Outcome& o) {
                            if (o.answered)
                              checker_.answered_poll(wires_.now(), ref, o.response.status, state_of(o),
                                                     asked);
                          });
      });
    }
    wires_.at(soon(), [this, n, spec] {
      balancer_.send_to(n, {"POST", "/submissions", encode(write_spec(spec))}, kSubmitWait,
                        [this, ref = spec.ref](const base::Outcome& o) {
                          checker_.answered_submit(wires_.now(), ref, o.answered ? o.response.status : 0);
                        });
    });
  }
  if (wires_.pick(6) == 0) wires_.at(soon(), [this, ref] { withdraw(ref); });
}

void Users::ended(const std::string& ref) {
  if (cancel_at_end_ <= 0 || wires_.uniform(0, 1) >= cancel_at_end_ || !jobs_.contains(ref)) return;
  // Before the report of the end is on its way, while it is, and while it is being written.
  wires_.at(Micros{static_cast<std::int64_t>(wires_.uniform(0, 150000))}, [this, ref] { withdraw(ref); });
}

void Users::submit_badly(bool fits_nothing) {
  JobSpec spec;
  spec.ref = "req-9" + std::to_string(100000 + ++odd_);
  spec.queue = "odd";
  spec.owner = machines_.job(jobs_.begin()->first)->spec.owner;
  spec.units = 1;
  spec.needs = {to_amount(fits_nothing ? 100000 : 1), 0, to_amount(1)};
  spec.bundle = "odd";
  spec.image_gb = 1;
  spec.expected = from_seconds(1);
  checker_.never(spec.ref);
  Value::Map body = *write_spec(spec).map();
  if (!fits_nothing) std::erase_if(body, [](const auto& field) { return field.first == "owner"; });
  balancer_.send({"POST", "/submissions", encode(Value(std::move(body)))}, kSubmitWait,
                 [this, ref = spec.ref](const base::Outcome& o) {
                   checker_.answered_submit(wires_.now(), ref, o.answered ? o.response.status : 0);
                 });
}

void Users::ask_oddly(Micros lasts) {
  for (Micros at{}; at < lasts; at += millis(300)) {
    wires_.at(at, [this] {
      if (jobs_.empty()) return;
      submit_badly(wires_.pick(2) == 0);
      auto it = jobs_.begin();
      std::advance(it, wires_.pick(static_cast<int>(jobs_.size())));
      const auto& [ref, job] = *it;
      const bool over = job.state == "done" || job.state == "withdrawn";
      if (over) {
        withdraw(ref);
      } else if (job.accepted != Instant{}) {
        balancer_.send({"POST", "/submissions", encode(write_spec(machines_.job(ref)->spec))}, kSubmitWait,
                       [this, ref = ref](const base::Outcome& o) {
                         checker_.answered_submit(wires_.now(), ref, o.answered ? o.response.status : 0);
                       });
      }
    });
  }
}

JobTruth draw_job(const Site& site, const JobClass& c, int number, std::mt19937_64& random) {
  const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
  JobTruth j;
  JobSpec& s = j.spec;
  s.ref = "req-" + std::to_string(100000 + number);
  s.queue = c.name;
  s.owner = c.team;
  if (s.owner.empty())
    s.owner =
        site.settings.teams[static_cast<std::size_t>(pick(static_cast<int>(site.settings.teams.size())))]
            .name;
  s.shape = c.shape;
  s.urgency = c.urgency;
  s.units = static_cast<std::uint32_t>(std::clamp(std::round(c.tasks.draw(random)), 1.0, double{kMaxUnits}));
  s.needs = c.needs;
  const int image = pick(c.images);
  s.bundle = c.name + "-" + std::to_string(image);
  // An image has one size, whoever needs it.
  std::mt19937_64 of_image(std::hash<std::string>{}(s.bundle));
  s.image_gb = c.image_gb.draw(of_image);
  s.standby = c.standby;
  s.same_place = c.same_place;
  s.scatter = c.scatter;
  s.layout = c.layout;
  s.snapshot_every = c.snapshot_every;
  s.snapshot = c.snapshot;
  if (c.shape != Shape::daemon) {
    j.run = from_seconds(c.run_s.draw(random));
    s.expected = from_seconds(to_seconds(j.run) * c.estimate.draw(random));
    if (c.due_times > 0) s.due = from_seconds(to_seconds(s.expected) * c.due_times) + c.due_plus;
  }
  return j;
}

}  // namespace wrenusher::lab

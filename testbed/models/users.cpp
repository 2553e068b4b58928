#include "wrenusher/testbed/users.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxTries = 3;
constexpr Micros kProbeEvery = from_seconds(1);
constexpr Micros kPollEvery = from_seconds(3);
constexpr Micros kPollWait = from_seconds(2);
constexpr Micros kSubmitWait = from_seconds(5);
constexpr Micros kRetry = from_seconds(1);

std::string state_of(const runtime::CallResult& o) {
  const auto v = o.answered ? decode(o.response.body) : std::nullopt;
  return v && (*v)["status"].text() != nullptr ? *(*v)["status"].text() : "";
}

}  // namespace

// ---------------------------------------------------------------- balancer

Balancer::Balancer(Transport& transport, std::vector<Endpoint> nodes) : transport_(transport) {
  for (Endpoint& at : nodes) {
    nodes_.emplace_back();
    nodes_.back().address = std::move(at);
  }
}

void Balancer::start() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) probe(i);
}

void Balancer::probe(std::size_t i) {
  transport_.send("user", nodes_[i].address, {"GET", "/ready", {}}, from_seconds(1),
                  [this, i](const runtime::CallResult& o) {
                    judge(nodes_[i], o.answered && o.response.status == 200);
                    transport_.at(kProbeEvery, [this, i] { probe(i); });
                  });
}

void Balancer::judge(ConfigNode& n, bool good) {
  n.probes.push_back(good);
  if (n.probes.size() > 6) n.probes.erase(n.probes.begin());
  const auto last = [&](std::size_t k, bool what) {
    return n.probes.size() >= k && std::all_of(n.probes.end() - static_cast<std::ptrdiff_t>(k),
                                               n.probes.end(), [&](bool p) { return p == what; });
  };
  const Instant now = transport_.now();
  if (n.healthy) {
    if (!last(2, false) && std::count(n.probes.begin(), n.probes.end(), false) < 3) return;
    n.healthy = false;
    n.pause = now - n.removed < from_seconds(120) ? std::min(n.pause * 2, from_seconds(60)) : from_seconds(3);
    n.removed = now;
    n.out_until = now + n.pause;
    n.probes.clear();
  } else if (good && (!n.ever_healthy || (last(2, true) && now >= n.out_until))) {
    n.healthy = n.ever_healthy = true;
    n.probes.clear();
  }
}

std::size_t Balancer::choose(const std::set<std::size_t>& tried) {
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const ConfigNode& n = nodes_[i];
    if (!n.healthy || tried.contains(i) || transport_.now() < n.skip_until) continue;
    if (!best.empty() && n.open < nodes_[best.front()].open) best.clear();
    if (best.empty() || n.open == nodes_[best.front()].open) best.push_back(i);
  }
  return best.empty() ? nodes_.size()
                      : best[static_cast<std::size_t>(transport_.pick(static_cast<int>(best.size())))];
}

void Balancer::send(const Request& r, Micros timeout, CallHandler done) {
  if (!on_outcome) {
    attempt(r, timeout, kMaxTries, {}, std::move(done));
    return;
  }
  attempt(r, timeout, kMaxTries, {},
          [this, r, asked = transport_.now(), done = std::move(done)](const runtime::CallResult& o) {
            on_outcome(r, o, transport_.now() - asked);
            done(o);
          });
}

void Balancer::attempt(const Request& r, Micros timeout, int left, std::set<std::size_t> tried,
                       CallHandler done) {
  const std::size_t i = left > 0 ? choose(tried) : nodes_.size();
  if (i == nodes_.size()) {
    transport_.at(from_millis(1), [done = std::move(done)] { done({false, false, {}}); });
    return;
  }
  ++nodes_[i].open;
  tried.insert(i);
  transport_.send("user", nodes_[i].address, r, timeout,
                  [this, i, r, timeout, left, tried = std::move(tried),
                   done = std::move(done)](const runtime::CallResult& o) {
                    ConfigNode& n = nodes_[i];
                    --n.open;
                    const bool refused = !o.answered && !o.may_have_arrived;
                    n.refused = refused ? n.refused + 1 : 0;
                    if (n.refused >= 3) {
                      n.refused = 0;
                      n.skip_until = transport_.now() + from_seconds(3);
                    }
                    if (refused) {
                      attempt(r, timeout, left - 1, tried, done);
                    } else {
                      done(o);
                    }
                  });
}

void Balancer::send_to(std::size_t node, const Request& r, Micros timeout, CallHandler done) {
  transport_.send("user", nodes_[node].address, r, timeout, std::move(done));
}

// ---------------------------------------------------------------- users

std::string Users::is_told(const std::string& job_id) const {
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? "" : it->second.state;
}

std::size_t Users::live() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& j) {
    return checker_.accepted(j.first) && j.second.state != "done" && j.second.state != "withdrawn";
  }));
}

void Users::submit(const SimulatedJob& job) {
  machines_.describe(job);
  checker_.submitted(job.spec);
  if (job.faulty_description) checker_.hopeless(job.spec.job_id);
  jobs_.try_emplace(job.spec.job_id).first->second.submitted = transport_.now();
  ask_again(job.spec);
}

void Users::ask_again(const JobSpec& spec) {
  balancer_.send({"POST", "/submissions", encode(write_spec(spec))}, kSubmitWait,
                 [this, spec](const runtime::CallResult& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_submit(transport_.now(), spec.job_id, status);
                   Outcome& job = jobs_[spec.job_id];
                   if (status == 200 || status == 201) {
                     job.accepted = transport_.now();
                     look(spec.job_id);
                     transport_.at(kPollEvery, [this, job_id = spec.job_id] { poll(job_id, 3); });
                   } else if (status == 400 || status == 422) {
                     job.refused = status;
                     job.finished = transport_.now();
                   } else {
                     transport_.at(std::max(kRetry, from_seconds(o.response.retry_after_s)),
                                   [this, spec] { ask_again(spec); });
                   }
                 });
}

void Users::poll(const std::string& job_id, int left_after_end) {
  balancer_.send({"GET", "/submissions/" + job_id, {}}, kPollWait,
                 [this, job_id, left_after_end, asked = transport_.now()](const runtime::CallResult& o) {
                   int left = left_after_end;
                   if (o.answered) {
                     const std::string state = state_of(o);
                     checker_.answered_poll(transport_.now(), job_id, o.response.status, state, asked);
                     Outcome& job = jobs_[job_id];
                     if (!state.empty()) job.state = state;
                     if (state == "done" || state == "withdrawn") {
                       if (job.finished == Instant{}) {
                         job.finished = transport_.now();
                         look(job_id);
                       }
                       --left;
                     }
                   }
                   if (left > 0) {
                     transport_.at(from_seconds(to_seconds(kPollEvery) / ask_often_),
                                   [this, job_id, left] { poll(job_id, left); });
                   } else {
                     checker_.stopped_asking(job_id);
                   }
                 });
}

void Users::cancel(const std::string& job_id) {
  checker_.asked_cancel(job_id);
  balancer_.send({"POST", "/submissions/" + job_id + "/withdraw", {}}, kPollWait,
                 [this, job_id, asked = transport_.now()](const runtime::CallResult& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_cancel(transport_.now(), job_id, status, state_of(o), asked);
                   if (status == 200) look(job_id);
                   if (status != 200 && status != 404)
                     transport_.at(kRetry, [this, job_id] { cancel(job_id); });
                 });
}

/// Asks at all nodes within milliseconds, three times over, repeats the submission, and may cancel the job.
void Users::look(const std::string& job_id) {
  if (!close_looks_) return;
  const JobSpec spec = machines_.job(job_id)->spec;
  const auto soon = [this] { return Micros{static_cast<std::int64_t>(transport_.uniform(0, 15000))}; };
  for (std::size_t n = 0; n < balancer_.nodes(); ++n) {
    for (int i = 0; i < 3; ++i) {
      transport_.at(soon(), [this, n, job_id] {
        balancer_.send_to(n, {"GET", "/submissions/" + job_id, {}}, kPollWait,
                          [this, job_id, asked = transport_.now()](const runtime::CallResult& o) {
                            if (o.answered)
                              checker_.answered_poll(transport_.now(), job_id, o.response.status, state_of(o),
                                                     asked);
                          });
      });
    }
    transport_.at(soon(), [this, n, spec] {
      balancer_.send_to(n, {"POST", "/submissions", encode(write_spec(spec))}, kSubmitWait,
                        [this, job_id = spec.job_id](const runtime::CallResult& o) {
                          checker_.answered_submit(transport_.now(), job_id,
                                                   o.answered ? o.response.status : 0);
                        });
    });
  }
  if (transport_.pick(6) == 0) transport_.at(soon(), [this, job_id] { cancel(job_id); });
}

void Users::ended(const std::string& job_id) {
  if (cancel_at_end_ <= 0 || transport_.uniform(0, 1) >= cancel_at_end_ || !jobs_.contains(job_id)) return;
  // Before the report of the end is on its way, while it is, and while it is being written.
  transport_.at(Micros{static_cast<std::int64_t>(transport_.uniform(0, 150000))},
                [this, job_id] { cancel(job_id); });
}

void Users::submit_badly(bool fits_nothing) {
  JobSpec spec;
  spec.job_id = "req-9" + std::to_string(100000 + ++odd_requests_);
  spec.job_class = "odd";
  spec.team = machines_.job(jobs_.begin()->first)->spec.team;
  spec.task_count = 1;
  spec.resources = {to_amount(fits_nothing ? 100000 : 1), 0, to_amount(1)};
  spec.image = "odd";
  spec.image_gb = 1;
  spec.expected_runtime = from_seconds(1);
  checker_.never_submitted(spec.job_id);
  Value::Map body = *write_spec(spec).map();
  if (!fits_nothing) std::erase_if(body, [](const auto& field) { return field.first == "owner"; });
  balancer_.send({"POST", "/submissions", encode(Value(std::move(body)))}, kSubmitWait,
                 [this, job_id = spec.job_id](const runtime::CallResult& o) {
                   checker_.answered_submit(transport_.now(), job_id, o.answered ? o.response.status : 0);
                 });
}

void Users::ask_oddly(Micros lasts) {
  for (Micros at{}; at < lasts; at += from_millis(300)) {
    transport_.at(at, [this] {
      if (jobs_.empty()) return;
      submit_badly(transport_.pick(2) == 0);
      auto it = jobs_.begin();
      std::advance(it, transport_.pick(static_cast<int>(jobs_.size())));
      const auto& [ref, job] = *it;
      const bool over = job.state == "done" || job.state == "withdrawn";
      if (over) {
        cancel(ref);
      } else if (job.accepted != Instant{}) {
        balancer_.send({"POST", "/submissions", encode(write_spec(machines_.job(ref)->spec))}, kSubmitWait,
                       [this, job_id = ref](const runtime::CallResult& o) {
                         checker_.answered_submit(transport_.now(), job_id,
                                                  o.answered ? o.response.status : 0);
                       });
      }
    });
  }
}

SimulatedJob draw_job(const Site& site, const JobClass& c, int number, std::mt19937_64& random) {
  const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
  SimulatedJob j;
  JobSpec& s = j.spec;
  s.job_id = "req-" + std::to_string(100000 + number);
  s.job_class = c.name;
  s.team = c.team;
  if (s.team.empty())
    s.team = site.settings.teams[static_cast<std::size_t>(pick(static_cast<int>(site.settings.teams.size())))]
                 .name;
  s.type = c.type;
  s.priority = c.priority;
  s.task_count =
      static_cast<std::uint32_t>(std::clamp(std::round(c.tasks.draw(random)), 1.0, double{kMaxTasksPerJob}));
  s.resources = c.resources;
  const int image = pick(c.images);
  s.image = c.name + "-" + std::to_string(image);
  // An image has one size, whoever needs it.
  std::mt19937_64 of_image(std::hash<std::string>{}(s.image));
  s.image_gb = c.image_gb.draw(of_image);
  s.spot_allowed = c.spot_allowed;
  s.single_zone = c.single_zone;
  s.spread_zones = c.spread_zones;
  s.layout = c.layout;
  s.checkpoint_interval = c.checkpoint_interval;
  s.checkpoint_time = c.checkpoint_time;
  if (c.type != JobType::service) {
    j.run_time = from_seconds(c.run_s.draw(random));
    s.expected_runtime = from_seconds(to_seconds(j.run_time) * c.estimate.draw(random));
    if (c.deadline_factor > 0)
      s.deadline = from_seconds(to_seconds(s.expected_runtime) * c.deadline_factor) + c.deadline_extra;
  }
  return j;
}

}  // namespace wrenusher::testbed

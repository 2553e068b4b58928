#include "wrenusher/testbed/users.hpp"

#include <algorithm>
#include <cmath>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxTries = 3;
constexpr Micros kProbeInterval = from_seconds(1);
constexpr Micros kPollInterval = from_seconds(3);
constexpr Micros kPollTimeout = from_seconds(2);
constexpr Micros kSubmitTimeout = from_seconds(5);
constexpr Micros kRetryDelay = from_seconds(1);

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
                    record_probe(nodes_[i], o.answered && o.response.status == 200);
                    transport_.at(kProbeInterval, [this, i] { probe(i); });
                  });
}

void Balancer::record_probe(Node& n, bool good) {
  n.probes.push_back(good);
  if (n.probes.size() > 6) n.probes.erase(n.probes.begin());
  const auto last_probes_are = [&](std::size_t k, bool what) {
    return n.probes.size() >= k && std::all_of(n.probes.end() - static_cast<std::ptrdiff_t>(k),
                                               n.probes.end(), [&](bool p) { return p == what; });
  };
  const Instant now = transport_.now();
  if (n.healthy) {
    if (!last_probes_are(2, false) && std::count(n.probes.begin(), n.probes.end(), false) < 3) return;
    n.healthy = false;
    n.pause = now - n.removed < from_seconds(120) ? std::min(n.pause * 2, from_seconds(60)) : from_seconds(3);
    n.removed = now;
    n.removed_until = now + n.pause;
    n.probes.clear();
  } else if (good && (!n.ever_healthy || (last_probes_are(2, true) && now >= n.removed_until))) {
    n.healthy = n.ever_healthy = true;
    n.probes.clear();
  }
}

std::size_t Balancer::choose(const std::set<std::size_t>& tried) {
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& n = nodes_[i];
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
          [this, r, sent_at = transport_.now(), done = std::move(done)](const runtime::CallResult& o) {
            on_outcome(r, o, transport_.now() - sent_at);
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
                    Node& n = nodes_[i];
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
  send_submission(job.spec);
}

void Users::send_submission(const JobSpec& spec) {
  balancer_.send({"POST", "/submissions", encode(write_spec(spec))}, kSubmitTimeout,
                 [this, spec](const runtime::CallResult& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_submit(transport_.now(), spec.job_id, status);
                   Outcome& job = jobs_[spec.job_id];
                   if (status == 200 || status == 201) {
                     job.accepted = transport_.now();
                     query_every_node(spec.job_id);
                     transport_.at(kPollInterval, [this, job_id = spec.job_id] { poll(job_id, 3); });
                   } else if (status == 400 || status == 422) {
                     job.refused = status;
                     job.finished = transport_.now();
                   } else {
                     transport_.at(std::max(kRetryDelay, from_seconds(o.response.retry_after_s)),
                                   [this, spec] { send_submission(spec); });
                   }
                 });
}

void Users::poll(const std::string& job_id, int polls_left_after_end) {
  balancer_.send(
      {"GET", "/submissions/" + job_id, {}}, kPollTimeout,
      [this, job_id, polls_left_after_end, sent_at = transport_.now()](const runtime::CallResult& o) {
        int left = polls_left_after_end;
        if (o.answered) {
          const std::string state = state_of(o);
          checker_.answered_poll(transport_.now(), job_id, o.response.status, state, sent_at);
          Outcome& job = jobs_[job_id];
          if (!state.empty()) job.state = state;
          if (state == "done" || state == "withdrawn") {
            if (job.finished == Instant{}) {
              job.finished = transport_.now();
              query_every_node(job_id);
            }
            --left;
          }
        }
        if (left > 0) {
          transport_.at(from_seconds(to_seconds(kPollInterval) / poll_rate_factor_),
                        [this, job_id, left] { poll(job_id, left); });
        } else {
          checker_.stopped_asking(job_id);
        }
      });
}

void Users::cancel(const std::string& job_id) {
  checker_.asked_cancel(job_id);
  balancer_.send({"POST", "/submissions/" + job_id + "/withdraw", {}}, kPollTimeout,
                 [this, job_id, sent_at = transport_.now()](const runtime::CallResult& o) {
                   const int status = o.answered ? o.response.status : 0;
                   checker_.answered_cancel(transport_.now(), job_id, status, state_of(o), sent_at);
                   if (status == 200) query_every_node(job_id);
                   if (status != 200 && status != 404)
                     transport_.at(kRetryDelay, [this, job_id] { cancel(job_id); });
                 });
}

/// Polls the job at every node three times within milliseconds, repeats the submission at every node, and
/// cancels the job with a probability of one in six.
void Users::query_every_node(const std::string& job_id) {
  if (!close_queries_) return;
  const JobSpec spec = machines_.job(job_id)->spec;
  const auto short_delay = [this] { return Micros{static_cast<std::int64_t>(transport_.uniform(0, 15000))}; };
  for (std::size_t n = 0; n < balancer_.nodes(); ++n) {
    for (int i = 0; i < 3; ++i) {
      transport_.at(short_delay(), [this, n, job_id] {
        balancer_.send_to(n, {"GET", "/submissions/" + job_id, {}}, kPollTimeout,
                          [this, job_id, sent_at = transport_.now()](const runtime::CallResult& o) {
                            if (o.answered)
                              checker_.answered_poll(transport_.now(), job_id, o.response.status, state_of(o),
                                                     sent_at);
                          });
      });
    }
    transport_.at(short_delay(), [this, n, spec] {
      balancer_.send_to(n, {"POST", "/submissions", encode(write_spec(spec))}, kSubmitTimeout,
                        [this, job_id = spec.job_id](const runtime::CallResult& o) {
                          checker_.answered_submit(transport_.now(), job_id,
                                                   o.answered ? o.response.status : 0);
                        });
    });
  }
  if (transport_.pick(6) == 0) transport_.at(short_delay(), [this, job_id] { cancel(job_id); });
}

void Users::ended(const std::string& job_id) {
  if (cancel_at_end_share_ <= 0 || transport_.uniform(0, 1) >= cancel_at_end_share_ ||
      !jobs_.contains(job_id))
    return;
  // The delay covers the time before the report of the end is sent, while it is in transit, and while the
  // controller writes the result.
  transport_.at(Micros{static_cast<std::int64_t>(transport_.uniform(0, 150000))},
                [this, job_id] { cancel(job_id); });
}

void Users::submit_invalid(bool fits_nothing) {
  JobSpec spec;
  spec.job_id = "req-9" + std::to_string(100000 + ++invalid_submissions_);
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
  balancer_.send({"POST", "/submissions", encode(Value(std::move(body)))}, kSubmitTimeout,
                 [this, job_id = spec.job_id](const runtime::CallResult& o) {
                   checker_.answered_submit(transport_.now(), job_id, o.answered ? o.response.status : 0);
                 });
}

void Users::ask_oddly(Micros lasts) {
  for (Micros at{}; at < lasts; at += from_millis(300)) {
    transport_.at(at, [this] {
      if (jobs_.empty()) return;
      submit_invalid(transport_.pick(2) == 0);
      auto it = jobs_.begin();
      std::advance(it, transport_.pick(static_cast<int>(jobs_.size())));
      const auto& [ref, job] = *it;
      const bool ended_already = job.state == "done" || job.state == "withdrawn";
      if (ended_already) {
        cancel(ref);
      } else if (job.accepted != Instant{}) {
        balancer_.send({"POST", "/submissions", encode(write_spec(machines_.job(ref)->spec))}, kSubmitTimeout,
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
  // The image name seeds the size so that an image has the same size for all jobs.
  std::mt19937_64 image_random(std::hash<std::string>{}(s.image));
  s.image_gb = c.image_gb.draw(image_random);
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

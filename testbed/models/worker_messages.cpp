// The messages between the workers and the controllers: the commands that a worker executes, its reports, and
// the size limit that both have. The rest of the model is in machines.cpp.

#include <algorithm>
#include <cstdlib>

#include "machine_state.hpp"
#include "wrenusher/testbed/answers.hpp"

namespace wrenusher::testbed {

// ---------------------------------------------------------------- commands

void Machines::start_task(Machine& m, const std::string& job_id, std::uint32_t task, std::uint64_t attempt) {
  Task t;
  t.job_id = job_id;
  t.task = task;
  t.attempt = attempt;
  t.since = transport_.now();
  const SimulatedJob* job = this->job(job_id);
  t.job = job;
  m.next_report = std::min(m.next_report, transport_.now());
  const auto refuse = [&](const char* cause) {
    t.set_status("ended", transport_.now());
    t.exit_reason = cause;
    m.tasks.push_back(std::move(t));
  };
  if (job == nullptr || task >= job->spec.task_count) {
    refuse("no_such");
    return;
  }
  Resources room = m.type->type.capacity;
  for (const Task& x : m.tasks) {
    if (x.ended()) continue;
    if (x.job_id == job_id && x.task == task) {
      refuse("in_use");
      return;
    }
    room -= x.job->spec.resources;
  }
  if (!job->spec.resources.fits(room)) {
    refuse("no_room");
    return;
  }
  t.status = "pulling";
  // Task run times vary by up to 25 % around the job's run time. The tasks of a gang share one run time.
  t.error_factor = job->spec.type == JobType::gang ? 1 : transport_.uniform(0.75, 1.25);
  if (on_command) on_command(job_id, task, attempt, m.has_image(job->spec.image));
  if (!m.has_image(job->spec.image)) m.fetches.try_emplace(job->spec.image, job->spec.image_gb);
  m.tasks.push_back(std::move(t));
}

void Machines::stop_task(Task& t, Machine& m, Micros grace_period) {
  const JobSpec& spec = t.job->spec;
  const Instant now = transport_.now();
  if (t.status == "running" && spec.has_checkpoints() && grace_period >= spec.checkpoint_time) {
    t.set_status("saving", now);
    t.save_ends_at = now + spec.checkpoint_time;
    t.stopped_in_time = true;
    if (spec.type == JobType::gang) {
      Gang& g = gangs_[{t.job_id, t.attempt}];
      if (!g.first_stop) g.first_stop = now;
    }
  } else if (t.status != "saving" || grace_period.count() == 0) {
    exit_task(m, t, "stopped");
  }
}

/// Adopts a higher fencing token, which triggers an immediate report, at most once per half lease.
void Machines::accept_token(Machine& m, std::uint64_t fencing_token) {
  m.fencing_token = fencing_token;
  const Instant now = transport_.now();
  if (m.token_reported && now - *m.token_reported < settings_.worker_lease / 2) return;
  m.token_reported = now;
  m.next_report = std::min(m.next_report, now);
}

void Machines::execute(Machine& m, const Value& orders) {
  if (orders.list() == nullptr) return;
  for (const Value& o : *orders.list()) {
    const std::string* verb = o["verb"].text();
    const std::string* unit = o["unit"].text();
    const auto slash = unit == nullptr ? std::string::npos : unit->find('/');
    if (verb == nullptr || slash == std::string::npos) continue;
    const std::string job_id = unit->substr(0, slash);
    const auto task = static_cast<std::uint32_t>(std::strtoul(unit->c_str() + slash + 1, nullptr, 10));
    const std::uint64_t attempt = o["try"].count().value_or(0);
    const auto it = std::find_if(m.tasks.begin(), m.tasks.end(), [&](const Task& t) {
      return t.job_id == job_id && t.task == task && t.attempt == attempt;
    });
    if (*verb == "reap") {
      if (it != m.tasks.end() && it->ended()) m.tasks.erase(it);
    } else if (*verb == "halt") {
      if (it != m.tasks.end() && !it->ended())
        stop_task(*it, m, from_seconds(o["leeway_s"].number().value_or(0)));
    } else if (*verb == "run" && it == m.tasks.end()) {
      start_task(m, job_id, task, attempt);
    }
  }
}

/// Serves POST /orders and GET /inspect. A hung machine handles the requests when it resumes.
void Machines::serve_commands(const std::string& host, const Request& r, const Responder& answer) {
  const Machine* m = find(host);
  if (m == nullptr || !m->up) return;
  transport_.at(std::max(Micros{0}, m->hung_until - transport_.now()), [this, host, r, answer] {
    Machine* x = find(host);
    if (x == nullptr || x->dead) return;
    if (r.method == "GET" && r.target == "/inspect") {
      answer(reply(200, describe(*x)));
      return;
    }
    const auto v = decode(r.body);
    if (v && !within_limit("a call to " + host, *v)) {
      answer(malformed("the body is larger than 64 KiB"));
      return;
    }
    const auto fencing_token = v ? (*v)["epoch"].count() : std::nullopt;
    const auto incarnation = v ? (*v)["tenure"].count() : std::nullopt;
    if (!fencing_token || !incarnation) {
      answer(malformed("epoch or tenure is missing"));
      return;
    }
    const bool accepted = *fencing_token >= x->fencing_token && *incarnation == x->incarnation;
    if (*fencing_token > x->fencing_token) accept_token(*x, *fencing_token);
    if (accepted) execute(*x, (*v)["orders"]);
    answer(reply(accepted ? 200 : 409, describe(*x)));
  });
}

// ---------------------------------------------------------------- reports

/// Checks the size of a message to or from a worker. Returns false if the receiver must refuse it.
bool Machines::within_limit(const std::string& what, const Value& body) {
  const std::size_t bytes = body.json_size();
  checker_.message_sent(what, bytes);
  return bytes <= kMaxBodyBytes;
}

Value Machines::describe(Machine& m) {
  Value::List units;
  for (const Task& t : m.tasks) {
    Value::Map u{{"unit", task_name(t.job_id, t.task)}, {"try", t.attempt}, {"status", t.status}};
    if (t.ended()) {
      u.emplace_back("cause", t.exit_reason);
      u.emplace_back("kept", t.progress_saved);
    }
    units.emplace_back(std::move(u));
  }
  Value::Map r{{"host", m.name},         {"addr", m.address},        {"flavor", m.machine_type},
               {"site", m.zone},         {"standby", m.spot},        {"tenure", m.incarnation},
               {"serial", ++m.sequence}, {"epoch", m.fencing_token}, {"units", std::move(units)}};
  if (m.reclaimed_at)
    r.emplace_back("warning_s", std::max(0.0, to_seconds(*m.reclaimed_at - transport_.now())));
  return r;
}

void Machines::report(Machine& m) {
  m.reporting = true;
  const Instant sent = transport_.now();
  m.last_sent = sent;
  m.next_report = sent + scaled(settings_.report_interval, transport_.uniform(0.75, 1.25));
  const Value body = describe(m);
  if (!within_limit("a report of " + m.name, body)) {  // the controller would refuse it
    m.reporting = false;
    try_next_node(m);
    return;
  }
  transport_.send(
      m.name, nodes_[m.node].second, {"POST", "/hello", encode(body)}, from_seconds(4),
      [this, host = m.name, sent, incarnation = m.incarnation, restarts = m.restarts](const CallResult& o) {
        if (const Machine* x = find(host); x != nullptr && x->restarts == restarts)
          handle_report_answer(host, sent, incarnation, o);
      });
}

void Machines::handle_report_answer(const std::string& host, Instant sent, std::uint64_t incarnation,
                                    const CallResult& o) {
  Machine* m = find(host);
  if (m == nullptr || m->dead) return;
  const Instant now = transport_.now();
  m->reporting = false;
  if (now < m->hung_until) return;  // dropped: the answer is outdated by the time the machine resumes
  auto v = decode(o.response.body);
  if (v && !within_limit("a response to " + host, *v)) v.reset();
  if (o.answered && o.response.status == 200 && v) {
    const auto fencing_token = (*v)["epoch"].count();
    if (!fencing_token || *fencing_token < m->fencing_token || incarnation != m->incarnation) return;
    if (*fencing_token > m->fencing_token) accept_token(*m, *fencing_token);
    m->lease_from = sent;
    execute(*m, (*v)["orders"]);
    return;
  }
  const std::string* upstream =
      v && o.answered && o.response.status == 421 ? (*v)["upstream"].text() : nullptr;
  for (std::size_t i = 0; upstream != nullptr && i < nodes_.size(); ++i) {
    if (nodes_[i].first != *upstream || i == m->node) continue;
    m->node = i;
    m->next_report = now;
    return;
  }
  try_next_node(*m);
}

void Machines::try_next_node(Machine& m) {
  m.node = (m.node + 1) % nodes_.size();
  m.next_report = transport_.now() + from_seconds(1);
}

}  // namespace wrenusher::testbed

#include "wrenusher/testbed/verdict.hpp"

#include <cstdio>

namespace wrenusher::testbed {

Verdict judge(const Users& users, const Machines& machines, const Checker& checker) {
  Verdict v;
  for (const auto& [ref, job] : users.jobs()) {
    const JobSpec& spec = machines.job(ref)->spec;
    Verdict::Row row{ref, spec.job_class, spec.task_count, job.state, Micros{0}, false};
    if (job.refused != 0) row.state = "refused (" + std::to_string(job.refused) + ")";
    if (row.state.empty()) row.state = job.accepted == Instant{} ? "not accepted" : "accepted";
    const bool over = job.finished != Instant{};
    if (over) row.took = job.finished - job.submitted;
    row.lost = !over;
    v.lost += row.lost ? 1 : 0;
    v.rows.push_back(std::move(row));
  }
  v.broken = checker.notes();
  if (checker.starts() == 0) v.broken.push_back("nothing_ran: no task was started");
  v.good = v.lost == 0 && v.broken.empty();
  return v;
}

std::string table(const Verdict& v) {
  std::string out = "job             class       tasks  state             after\n";
  char line[200];
  for (const Verdict::Row& r : v.rows) {
    char took[32] = "-";
    if (r.took.count() > 0) std::snprintf(took, sizeof took, "%.1f s", to_seconds(r.took));
    std::snprintf(line, sizeof line, "%-15s %-10s %6u  %-16s %7s%s\n", r.job_id.c_str(), r.job_class.c_str(),
                  r.tasks, r.state.c_str(), took, r.lost ? "  LOST" : "");
    out += line;
  }
  for (const std::string& b : v.broken) out += "BROKEN " + b + "\n";
  std::snprintf(line, sizeof line, "%zu jobs, %zu lost, %zu rules broken\n", v.rows.size(), v.lost,
                v.broken.size());
  return out + line;
}

}  // namespace wrenusher::testbed

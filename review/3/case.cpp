// Jobs of a class come four times as often. Each is an array of 400 small tasks; all of them fit into the machines by
// cores and memory. Are they run, by workers whose bodies are limited as the pages say?
#include "stand.hpp"

int main(int argc, char** argv) {
  stand::Site site;  // fragua-libre, with few machines
  site.zones = {"medellin"};
  site.flavors = {{"condor", 64, 512, 3.72, 1.15, 40, 0.3, 20, {"medellin"}}};
  site.teams = {{"nucleo", 0, 0}};
  stand::Stand s(site, argc > 1 ? argv[1] : ".");
  s.max_response_to_worker = 64 * 1024;  // PROTOCOL: "The same limit applies to responses sent to workers"
  s.start_controllers();
  for (int i = 0; i < 3; ++i) s.add_worker("condor", "medellin");
  if (!s.run_until([&] { return s.leader() >= 0; }, 15)) return 2;
  s.run(5);
  const int factor = stand::trouble() ? 4 : 1;
  std::vector<stand::Job> jobs;
  for (int i = 0; i < 2 * factor; ++i) {
    stand::Job job;
    char ref[16];
    std::snprintf(ref, sizeof ref, "req-%06d", i + 1);
    job.ref = ref;
    job.owner = "nucleo";
    job.queue = "limpieza";
    job.units = 400;
    job.cores = 0.02;
    job.memory_gb = 0.1;
    job.run_s = 10;
    jobs.push_back(job);
  }
  for (const stand::Job& job : jobs) s.describe_job(job);
  // The users submit at the same time, each at the node that the balancer gives it.
  std::size_t accepted = 0, answered = 0;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    s.ask_later(static_cast<int>(i % 3), "POST", "/submissions", jobs[i].describe(), 5,
                [&](const stand::Stand::Answer& a) {
                  ++answered;
                  accepted += a.status == 201 || a.status == 200 ? 1 : 0;
                });
  }
  s.run_until([&] { return answered == jobs.size(); }, 6);
  for (const stand::Job& job : jobs) {
    if (accepted < jobs.size() && s.submit_until_accepted(job).state.empty()) return 2;
  }
  s.note("%zu jobs of 400 tasks are accepted", jobs.size());
  const auto all_done = [&] {
    for (const stand::Job& job : jobs) {
      if (s.done_of(job.ref) < job.units) return false;
    }
    return true;
  };
  s.run_until(all_done, 80);
  std::size_t done = 0;
  for (const stand::Job& job : jobs) done += s.poll(0, job.ref).state == "done" ? 1 : 0;
  s.note("jobs %zu, called done %zu; starts %llu, completed %llu; machines left %zu of 3", jobs.size(), done,
         static_cast<unsigned long long>(s.starts), static_cast<unsigned long long>(s.completed), s.workers().size());
  s.note("largest report %zu bytes, largest response %zu bytes (JSON form); responses over 64 KiB: %llu",
         s.largest_report, s.largest_response, static_cast<unsigned long long>(s.oversized_responses));
  const bool broken = s.starts == 0;
  s.note("%s", broken ? "nothing_ran: the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

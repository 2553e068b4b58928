// The leader of a busy service loses its workers, and the cut resets their connections. Some of them carry a report
// that the leader has not answered yet. Does the leader end by itself?
#include <functional>

#include "stand.hpp"

int main(int argc, char** argv) {
  stand::Site site;  // fragua-libre, with few machines
  site.zones = {"medellin"};
  site.flavors = {{"condor", 64, 512, 3.72, 1.15, 40, 0.3, 20, {"medellin"}}};
  site.teams = {{"nucleo", 0, 0}};
  stand::Stand s(site, argc > 1 ? argv[1] : ".");
  s.links.state_delay = 0.01;  // "Responses normally take under 10 ms"
  s.start_proxy();
  s.start_controllers();
  for (int i = 0; i < 36; ++i) s.add_worker("condor", "medellin");
  if (!s.run_until([&] { return s.leader() >= 0; }, 15)) return 2;
  s.run(4);
  // Security patch builds as in the class parches: 1 CPU, 1.4 GB, around 35 s; 30 arrays of 71.
  for (int i = 0; i < 30; ++i) {
    stand::Job job;
    char ref[16];
    std::snprintf(ref, sizeof ref, "req-%06d", i + 1);
    job.ref = ref;
    job.owner = "nucleo";
    job.queue = "parches";
    job.urgency = "high";
    job.units = 71;
    job.memory_gb = 1.4;
    job.image_gb = 1.5;
    job.run_s = 35;
    job.vary = 0.4;
    const auto answer = s.submit_until_accepted(job, i);
    if (answer.status != 200 && answer.status != 201) return 2;
  }
  if (!s.run_until([&] { return s.completed >= 600; }, 60)) return 2;
  const int leader = s.leader();
  if (leader < 0) return 2;
  s.note("%llu tasks have completed, worker-%d leads", static_cast<unsigned long long>(s.completed), leader);
  // How often at least one report waits, over two seconds; then the cut, at a moment at which one does.
  int samples = 0, waiting = 0;
  s.run_until(
      [&] {
        ++samples;
        waiting += s.reports_waiting(leader) > 0 ? 1 : 0;
        return false;
      },
      2);
  s.note("at %d of %d looks within 2 s a report was waiting for its answer", waiting, samples);
  s.run_until([&] { return s.reports_waiting(leader) > 0; }, 5);
  if (stand::trouble()) s.reset_workers(leader, true);
  s.run(20);
  if (stand::trouble()) s.reset_workers(leader, false);
  s.run(10);
  s.note("controllers that ended by themselves: %d; connections reset %d, with a report not answered yet %d",
         s.ended_by_itself, s.connections_reset, s.reset_while_served);
  const bool broken = s.ended_by_itself > 0;
  s.note("%s", broken ? "a controller ended by itself: the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

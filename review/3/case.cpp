// A controller loses the state service and the other controllers, not its users. Its user's connection stays where it
// is as long as the balancer takes the controller for healthy. Is the user's job answered for?
#include <algorithm>

#include "stand.hpp"

int main(int argc, char** argv) {
  stand::Site site;  // fragua-libre-hunt, with few machines
  site.zones = {"medellin"};
  site.report_s = 5;
  site.state_rps = 180;
  site.state_write_rps = 35;
  site.cloud_rps = 3.5;
  site.flavors = {{"condor", 64, 512, 3.72, 1.15, 40, 0.3, 20, {"medellin"}}};
  site.teams = {{"nucleo", 0, 0}};
  stand::Stand s(site, argc > 1 ? argv[1] : ".");
  s.start_controllers();
  for (int i = 0; i < 3; ++i) s.add_worker("condor", "medellin");
  if (!s.run_until([&] { return s.leader() >= 0; }, 15)) return 2;
  s.run(1);
  // Three users with a job and a connection each; the balancer has spread the connections over the nodes.
  std::vector<stand::Job> jobs(3);
  for (int i = 0; i < 3; ++i) {
    jobs[i].ref = "req-00000" + std::to_string(i + 1);
    jobs[i].owner = "nucleo";
    jobs[i].run_s = 3;
    if (s.submit_until_accepted(jobs[i], i).state.empty()) return 2;
  }
  s.run(3);
  const int leader = s.leader();
  if (leader < 0) return 2;
  const int node = (leader + 1) % 3, third = (leader + 2) % 3;
  if (stand::trouble()) {
    s.links.state.insert(node);
    s.links.peers = {{std::min(node, leader), std::max(node, leader)}, {std::min(node, third), std::max(node, third)}};
    s.note("worker-%d is cut from the state service and from the other controllers", node);
  }
  // Polls every 5 s at the node of the user's connection; the balancer's probes once a second.
  const double from = s.now();
  double next_poll = from, first_failed = -1, failing_for = 0;
  int probes = 0, unhealthy = 0, polls = 0, answered = 0, in_a_row = 0;
  bool removed = false;
  while (s.now() < from + 97 && !removed) {
    s.run(1);
    ++probes;
    in_a_row = s.ask(node, "GET", "/ready", {}, 1).status == 200 ? 0 : in_a_row + 1;
    if (in_a_row > 0) ++unhealthy;
    removed = in_a_row >= 2;  // its connections would be reset, and the user would come to another node
    if (s.now() < next_poll) continue;
    next_poll += 5;
    for (int i = 0; i < 3; ++i) {
      const bool own = i == node;
      const double sent = s.now();
      const auto answer = s.poll(i, jobs[i].ref);
      ++polls;
      const bool good = answer.status == 200;
      answered += good ? 1 : 0;
      if (!own) continue;
      if (good) first_failed = -1;
      if (!good && first_failed < 0) first_failed = sent;
      failing_for = first_failed < 0 ? 0 : s.now() - first_failed;
    }
  }
  s.note("probes %d, failed %d; polls %d, answered %d; every poll for %s failed for %.1f s", probes, unhealthy, polls,
         answered, jobs[node].ref.c_str(), failing_for);
  const bool broken = failing_for >= 90 && answered * 2 > polls;
  s.note("%s", broken ? "forgotten: the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

// The cloud has no machine left of the one type that a job allows. Another job of the same team, which fits
// the machines that are up, must not wait for it while the team is under its limit.
#include <algorithm>

#include "workers.hpp"

using namespace stand;

namespace {
constexpr double kEnd = 114;
constexpr double kLeftWaiting = 90;
}  // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  World world(args.program, args.folder, args.record, soleil_armor());
  Fleet fleet(world);
  // Without the trouble the cloud has machines, which boot in a third of the usual time.
  fleet.boot_factor = args.trouble ? -1 : 0.33;
  world.cloud = [&](int i, const Request& request, const Responder& respond) {
    fleet.serve_cloud(i, request, respond);
  };
  std::vector<Machine*> up = {&fleet.add_up("korrigan", "rennes"), &fleet.add_up("korrigan", "brest")};
  for (int i = 0; i < 3; ++i) world.start_controller(i);
  Balancer balancer(world, {world.client(0), world.client(1), world.client(2)});
  UserConnection user(world, balancer.address());

  const auto job = [&](const std::string& ref, const std::string& owner, std::uint32_t units, double cores,
                       double run_s) {
    Job out;
    out.ref = ref;
    out.queue = "releves";
    out.owner = owner;
    out.units = units;
    out.cores = cores;
    out.memory_gb = 2 * cores;
    out.bundle = "img-01";
    out.image_gb = 0.6;
    out.expected_s = run_s;
    out.run_s = run_s;
    return out;
  };
  // Another team's tasks keep a machine from becoming idle; 12 or 14 of its cores stay free.
  Job stays = job("req-000100", "guichet-07", 2, 2, 200);
  // 24 tasks of 16 cores are the team's limit of 384 cores.
  Job blocked = job("req-000101", "guichet-01", 24, 16, 15);
  blocked.urgency = "high";
  blocked.queue = "correctifs";
  blocked.flavors = Value::List{"menhir"};
  Job waiting = job("req-000102", "guichet-01", 1, 8, 15);
  for (const Job* each : {&stays, &blocked, &waiting}) fleet.upload(*each);

  int accepted = 0;
  double waiting_accepted = 0;
  const auto submit = [&](auto&& self, const Job& each) -> void {
    user.send("POST", "/submissions", wrenusher::value::encode(each.body()), 5,
              [&, self](const CallResult& result) {
                world.record.line("user: submission " + each.ref + " -> " + status_of(result));
                if (result.answered && (result.response.status == 201 || result.response.status == 200)) {
                  ++accepted;
                  if (&each == &waiting) waiting_accepted = world.record.seconds();
                } else {
                  world.after(1, [&, self] { self(self, each); });
                }
              });
  };
  const auto poll = [&](auto&& self) -> void {
    user.send("GET", "/submissions/" + waiting.ref, {}, 2, [&, self](const CallResult& result) {
      world.record.line("user: poll " + waiting.ref + " -> " + status_of(result));
      world.after(5, [self] { self(self); });
    });
  };
  // What each team's tasks on machines use, from their starts and ends.
  std::map<std::string, double> used;
  const auto count = [&](const Machine& machine, const Unit& unit, int sign) {
    const Job& each = unit.ref == stays.ref ? stays : unit.ref == blocked.ref ? blocked : waiting;
    used[each.owner] += sign * each.cores;
    world.record.line("task " + unit.ref + "/" + std::to_string(unit.task) +
                      (sign > 0 ? " is on " : " leaves ") + machine.host + " (" + machine.flavor + "); " +
                      each.owner + " uses " + number(used[each.owner]) + " cores");
  };
  fleet.on_start = [&](const Machine& machine, const Unit& unit) { count(machine, unit, 1); };
  fleet.on_leave = [&](const Machine& machine, const Unit& unit) { count(machine, unit, -1); };
  world.after(4, [&] { submit(submit, stays); });
  world.after(8, [&] { submit(submit, blocked); });
  world.after(10, [&] { submit(submit, waiting); });
  world.after(12, [&] { poll(poll); });

  constexpr double kLimit = 384;
  double since = 0, worst = 0;
  const auto watch = [&](auto&& self) -> void {
    const double now = world.record.seconds();
    const bool room = std::any_of(up.begin(), up.end(), [&](const Machine* machine) {
      return machine->up && fleet.free_cores(*machine) >= waiting.cores;
    });
    const bool done = fleet.done_count(waiting.ref) == 1;
    const bool waits = waiting_accepted > 0 && !done && !fleet.on_machine(waiting.ref) && room &&
                       used[waiting.owner] + waiting.cores <= kLimit;
    if (!waits) {
      since = 0;
    } else if (since == 0) {
      since = now;
    }
    if (since > 0) worst = std::max(worst, now - since);
    if (now > kEnd || done || worst > kLeftWaiting + 2) {
      world.record.line(waiting.ref + " waited for " + number(worst) +
                        " s while a machine that fits had room and its team, which uses " +
                        number(used[waiting.owner]) + " cores, was under its limit of " + number(kLimit));
      world.finish(accepted < 3 ? 2 : worst > kLeftWaiting ? 1 : 0);
      return;
    }
    world.after(0.1, [self] { self(self); });
  };
  watch(watch);
  return world.run();
}

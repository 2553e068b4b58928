// A leader is cut off from the state service and from the other controllers; workers still reach it. A job is
// cancelled through another controller. Once its user was told, no task of the job may be started.
#include "workers.hpp"

using namespace stand;

namespace {
constexpr int kMachines = 40;
constexpr double kCutFor = 15;
}  // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  World world(args.program, args.folder, args.record, fragua_libre());
  Fleet fleet(world);
  fleet.log_units(false);
  world.cloud = [&](int i, const Request& request, const Responder& respond) {
    fleet.serve_cloud(i, request, respond);
  };
  for (int i = 0; i < kMachines; ++i) fleet.add_up("colibri", "medellin");
  for (int i = 0; i < 3; ++i) world.start_controller(i);

  Job job;
  job.ref = "req-000412";
  job.queue = "parches";
  job.owner = "nucleo";
  job.urgency = "high";
  job.units = kMachines;
  job.cores = 8;
  job.memory_gb = 8;
  job.bundle = "img-01";
  job.image_gb = 0.3;
  job.expected_s = 35;
  job.run_s = 35;
  fleet.upload(job);

  int cut = -1;
  double told = 0;
  int late_runs = 0, late_starts = 0, in_time = 0;
  std::set<std::string> late_units;  ///< tasks sent in such answers, with their machines
  bool accepted = false;
  std::unique_ptr<UserConnection> user;
  fleet.on_run = [&](const Machine& machine, const std::string& unit) {
    const double sent = world.record.seconds() - to_seconds(world.now() - machine.last_sent);
    const bool late = told > 0 && sent > told;
    world.record.line("worker " + machine.host + ": run " + unit + " in the answer of " +
                      world.name(static_cast<int>(machine.node)) + " to a report sent at " + number(sent) +
                      (late ? ", after the user was told" : ""));
    ++(late ? late_runs : in_time);
    if (late) late_units.insert(machine.host + " " + unit);
  };
  fleet.on_start = [&](const Machine& machine, const Unit& unit) {
    const std::string name = unit.ref + "/" + std::to_string(unit.task) + " " + std::to_string(unit.attempt);
    if (!late_units.contains(machine.host + " " + name)) return;
    world.record.line("task " + unit.ref + "/" + std::to_string(unit.task) + " starts on " + machine.host);
    ++late_starts;
  };
  const auto withdraw = [&](auto&& self) -> void {
    user->send("POST", "/submissions/" + job.ref + "/withdraw", {}, 2, [&, self](const CallResult& result) {
      world.record.line("user: withdraw -> " + status_of(result));
      if (status_of(result) == "200 withdrawn") {
        told = world.record.seconds();
      } else {
        world.after(1, [self] { self(self); });
      }
    });
  };
  // The cut begins when the leader has written the job's assignments.
  world.state().on_saved = [&](const wrenusher::testbed::WriteBatch& batch) {
    if (cut >= 0 || !accepted) return;
    for (const auto& put : batch.puts) {
      if (!put.key.starts_with("claims/")) continue;
      cut = world.leader();
      world.record.line("the leader, " + world.name(cut) + ", has written the assignments");
      world.after(0.02, [&] {
        if (args.trouble) {
          world.record.line(world.name(cut) + " is cut off from the state service and the other controllers");
          const auto hold = [&](bool on) {
            world.state_link(cut).hold(on);
            for (int k = 0; k < 3; ++k) {
              if (k == cut) continue;
              world.peer_link(cut, k).hold(on);
              world.peer_link(k, cut).hold(on);
            }
          };
          hold(true);
          world.after(kCutFor, [&, hold] {
            world.record.line("the cut ends");
            hold(false);
          });
        }
        withdraw(withdraw);
      });
      return;
    }
  };
  world.after(12, [&] {
    const int leader = world.leader();
    if (leader < 0) return;
    user = std::make_unique<UserConnection>(world, world.client((leader + 1) % 3));
    user->send(
        "POST", "/submissions", wrenusher::value::encode(job.body()), 5,
        [&](const CallResult& result) { world.record.line("user: submission -> " + status_of(result)); });
    accepted = true;
  });
  world.after(45, [&] {
    world.record.line("told at " + number(told) + "; " + std::to_string(in_time) +
                      " tasks were sent before, " + std::to_string(late_runs) +
                      " in answers to reports sent after the user was told; " + std::to_string(late_starts) +
                      " of these started");
    world.finish(cut < 0 || told == 0 ? 2 : late_starts > 0 ? 1 : 0);
  });
  return world.run();
}

// A gang with many tasks ends: the leader must go on answering.
#include "workers.hpp"

using namespace stand;

namespace {
constexpr int kMachines = 178;
constexpr std::uint32_t kUnits = 60000;
}  // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  World world(args.program, args.folder, args.record, ciel_armor());
  Fleet fleet(world);
  fleet.log_units(false);
  world.cloud = [&](int i, const Request& request, const Responder& respond) {
    fleet.serve_cloud(i, request, respond);
  };
  for (int i = 0; i < kMachines; ++i)
    fleet.add_up("dolmen-48", i < 55 ? "lorient" : i < 132 ? "vannes" : "quimper");
  for (int i = 0; i < 3; ++i) world.start_controller(i);

  Job job;
  job.ref = "req-000412";
  job.queue = "entrainement";
  job.owner = "modelisation";
  job.shape = args.trouble ? "gang" : "sweep";
  job.units = kUnits;
  job.cores = 0.1;
  job.memory_gb = 0.5;
  job.bundle = "img-07";
  job.image_gb = 1;
  job.expected_s = 8;
  job.run_s = 8;
  fleet.upload(job);

  Balancer balancer(world, {world.client(0), world.client(1), world.client(2)});
  UserConnection user(world, balancer.address());
  std::string state;
  double accepted = 0, ended = 0, told = 0;
  const auto poll = [&](auto&& self) -> void {
    user.send("GET", "/submissions/" + job.ref, {}, 2, [&, self](const CallResult& result) {
      world.record.line("user: poll -> " + status_of(result) + "; " +
                        std::to_string(fleet.done_count(job.ref)) + " tasks have ended");
      if (status_of(result) == "200 done" && told == 0) {
        told = world.record.seconds();
        if (ended == 0) {
          world.record.line("BROKEN not_done");
        }
      }
      world.after(5, [self] { self(self); });
    });
  };
  const auto submit = [&](auto&& self) -> void {
    user.send("POST", "/submissions", wrenusher::value::encode(job.body()), 5,
              [&, self](const CallResult& result) {
                world.record.line("user: submission of " + std::to_string(kUnits) + " tasks (" + job.shape +
                                  ") -> " + status_of(result));
                if (result.answered && (result.response.status == 201 || result.response.status == 200)) {
                  accepted = world.record.seconds();
                  poll(poll);
                } else {
                  world.after(1, [self] { self(self); });
                }
              });
  };
  world.after(7, [&] { submit(submit); });

  // Each controller is asked GET /ready once a second, as the balancer does.
  std::vector<double> answered(3, 0), longest(3, 0);
  const auto ask = [&](auto&& self, int i) -> void {
    world.call(world.client(i), "GET", "/ready", {}, 1, [&, self, i](const CallResult& result) {
      const double now = world.record.seconds();
      if (result.answered) {
        if (now - answered[i] > 3 && answered[i] > 0)
          world.record.line(world.name(i) + " gave no answer for " + number(now - answered[i]) + " s");
        answered[i] = now;
      }
      longest[i] = std::max(longest[i], now - answered[i]);
      world.after(1, [self, i] { self(self, i); });
    });
  };
  for (int i = 0; i < 3; ++i) ask(ask, i);

  const auto watch = [&](auto&& self) -> void {
    if (ended == 0 && fleet.done_count(job.ref) == kUnits) {
      ended = world.record.seconds();
      world.record.line("the job's last task has ended; the leader is " + std::to_string(world.leader()));
    }
    const double now = world.record.seconds();
    if (now > 108 || (told > 0 && now > told + 3)) {
      world.record.line("accepted at " + number(accepted) + ", last task ended at " + number(ended) +
                        ", done told at " + number(told));
      double worst = 0;
      for (int i = 0; i < 3; ++i) {
        worst = std::max(worst, longest[i]);
        world.record.line(world.name(i) + (world.runs(i) ? " runs" : " has ended") +
                          "; longest time without any answer " + number(longest[i]) + " s");
      }
      world.finish(accepted == 0 || ended == 0 ? 2 : worst > world.site.lease_s || told == 0 ? 1 : 0);
      return;
    }
    world.after(0.1, [self] { self(self); });
  };
  watch(watch);
  return world.run();
}

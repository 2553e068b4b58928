#pragma once
// The planner that looks at everything: what Board must agree with, ties included. Slow on purpose, and
// written without Board's indexes, memories and orders.

#include "wrenusher/placement/placement_index.hpp"

namespace oracle {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::settings;
using namespace wrenusher::protocol;
using namespace wrenusher::placement;

struct Here {
  PlanMachine host;
  std::vector<EndingTask> leaving;
  bool open = true;
};

/// All that a plan is made from. Machines are in the order of their names.
struct Burst {
  WallTime now{};
  Instant clock{};
  std::vector<PlanJob> jobs;
  std::vector<Here> here;
  std::map<std::string, Resources> teams;
  std::vector<std::pair<const MachineType*, Amount>> coming;
  const Settings* settings = nullptr;
};

/// Which jobs to give up on, and in which order to serve; indices of jobs.
std::vector<bool> overload(const Burst& s);
std::vector<std::size_t> order(const Burst& s);
/// Placements and shortages by the indices of jobs and machines.
Plan place(const Burst& s);

/// The same by a new Board.
std::vector<std::size_t> board_order(const Burst& s);
Plan board_place(const Burst& s);
/// What `preempt` looks at.
PreemptionView snapshot(const Burst& s);
PlanningContext moment(const Burst& s);

}  // namespace oracle

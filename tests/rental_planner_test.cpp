// Tests of what the provisioner plans to rent, with jobs as large as the protocol allows.

#include "wrenusher/provisioner/rental_planner.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <vector>

#include "processor_time.hpp"

using namespace wrenusher::time;
using namespace wrenusher::protocol;
using wrenusher::events::Workload;
using wrenusher::provisioner::RentalPlan;
using wrenusher::provisioner::RentalRequests;
using wrenusher::provisioner::RentedMachines;

namespace {

constexpr std::uint32_t kTypeCores = 48;

Catalog catalog_of_one_type() {
  return {{"large",
           {"large", {to_amount(kTypeCores), 0, to_amount(384)}, 200, 1, 4, 1, from_seconds(30), {"a"}}}};
}

Workload::Demand demand_of(std::uint32_t tasks, double cores) {
  Workload::Demand demand;
  demand.spec.type = JobType::array;
  demand.spec.task_count = tasks;
  demand.spec.resources = {to_amount(cores), 0, to_amount(1)};
  demand.tasks = tasks;
  demand.estimate = from_seconds(50);
  return demand;
}

std::uint32_t machines_rented_for(const std::vector<Workload::Demand>& demands,
                                  const RentalRequests::ByName& open = {}) {
  const Catalog catalog = catalog_of_one_type();
  const RentedMachines::ByHost machines;
  const RentalPlan plan =
      wrenusher::provisioner::plan_rentals({.catalog = catalog,
                                            .machines = machines,
                                            .open_requests = open,
                                            .demands = demands,
                                            .on_demand_allowed = true,
                                            .is_refused = [](const auto&) { return false; },
                                            .may_rent = [](const auto&) { return true; }});
  return std::accumulate(plan.machines.begin(), plan.machines.end(), 0U,
                         [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
}

/// Returns how many machines the demands need if each task, in order, is placed on the first machine with
/// room.
std::uint32_t machines_by_first_fit(const std::vector<Workload::Demand>& demands) {
  std::vector<Amount> free_cores;
  for (const Workload::Demand& demand : demands) {
    const Amount cores = demand.spec.resources.cores;
    for (std::uint32_t task = 0; task < demand.tasks; ++task) {
      auto machine =
          std::find_if(free_cores.begin(), free_cores.end(), [&](Amount free) { return free >= cores; });
      if (machine == free_cores.end()) machine = free_cores.insert(machine, to_amount(kTypeCores));
      *machine -= cores;
    }
  }
  return static_cast<std::uint32_t>(free_cores.size());
}

}  // namespace

// Guards against a leader that answers nobody and exceeds its memory, since its plan lists each machine that
// the largest jobs could use.
TEST(RentalPlannerTest, PlanForLargestJobsTakesLessThanHeartbeatInterval) {
  constexpr std::uint32_t kJobs = 60;
  constexpr std::uint32_t kTasksPerMachine = 3;
  const std::vector<Workload::Demand> demands(kJobs,
                                              demand_of(kMaxTasksPerJob, kTypeCores / kTasksPerMachine));
  std::uint32_t machines = 0;
  EXPECT_LT(wrenusher::processor_seconds([&] { machines = machines_rented_for(demands); }),
            wrenusher::kHeartbeatSeconds);
  EXPECT_EQ(machines, kJobs * kMaxTasksPerJob / kTasksPerMachine);
}

// Guards against a plan that rents too few or too many machines when it counts equal machines together.
TEST(RentalPlannerTest, RentsAsManyMachinesAsPlacingEachTaskNeeds) {
  EXPECT_TRUE(rc::check([] {
    std::vector<Workload::Demand> demands;
    const auto jobs = *rc::gen::inRange(1, 8);
    for (int i = 0; i < jobs; ++i)
      demands.push_back(demand_of(*rc::gen::inRange<std::uint32_t>(1, 200), *rc::gen::inRange(1, 48)));
    RC_ASSERT(machines_rented_for(demands) == machines_by_first_fit(demands));
  }));
}

// The same for machines that were requested and have not come up yet.
TEST(RentalPlannerTest, RequestedMachinesAreUsedFirst) {
  RentalRequests::ByName open;
  open["r-1"] = {.name = "r-1", .machine_class = {"large", "a", true}, .count = 50};
  std::vector<Workload::Demand> demands = {demand_of(10, kTypeCores), demand_of(100, 1)};
  demands.push_back(demand_of(60, kTypeCores / 2));
  for (Workload::Demand& demand : demands) demand.spec.spot_allowed = true;
  // 10 whole machines for the first job, 3 for the second, and 30 for the third, which also uses the rest of
  // one of the 3. 7 of the 50 machines are left.
  EXPECT_EQ(machines_rented_for(demands, open), 0U);
  demands.push_back(demand_of(8, kTypeCores));
  demands.back().spec.spot_allowed = true;
  EXPECT_EQ(machines_rented_for(demands, open), 1U);
}

#pragma once
// What one more of each thing costs each role, from cells that differ in that thing alone, and what those
// slopes predict for a cell of any size.

#include <map>
#include <string>
#include <vector>

#include "wrenusher/testbed/cell_result.hpp"
#include "wrenusher/testbed/linear_fit.hpp"

namespace wrenusher::testbed {

/// A cost by one cause. `x` and `y` say what was counted, with units.
struct Slope {
  std::string x;
  std::string y;
  std::vector<Point> points;
  LinearFit fit;
};

/// By name, "leader_cores_per_report".
using Slopes = std::map<std::string, Slope>;

struct SlopeOptions {
  double seconds = 20;
  double warmup_s = 12;
  int at_a_time = 3;  ///< cells
  double report_s = 1;
  int port = 7400;
  std::string wrenusher;
};

/// The cells that slopes are measured with: several sizes of each thing, all else alike.
std::vector<CellLoad> slope_cells(const SlopeOptions& options);
/// Slopes by what those cells measured; cells with an error are left out.
Slopes slopes_of(const std::vector<CellResult>& results);

/// What a cell is expected to use, by the load that it really had.
struct Prediction {
  double reports = 0;  ///< a second
  double leader_cores = 0;
  double follower_cores = 0;
  double leader_memory_mb = 0;
  double follower_memory_mb = 0;
  double report_bytes = 0;  ///< of one report
  double puts = 0;          ///< a second
  double state_requests = 0;
};

/// What drives the costs of a cell.
struct Drivers {
  double workers = 0;
  double report_s = 1;
  double starts = 0;       ///< a second
  double questions = 0;    ///< a second, over all nodes
  double submissions = 0;  ///< a second
  double claims = 0;       ///< tasks on machines
  double live_jobs = 0;
};
Drivers drivers_of(const CellResult& result);
Prediction predict(const Slopes& slopes, const Drivers& drivers);

nlohmann::json slopes_json(const Slopes& slopes);
/// Throws ScaleError where the file is none that `slopes_json` made.
Slopes read_slopes(const std::string& file);
std::string slopes_table(const Slopes& slopes);

}  // namespace wrenusher::testbed

#pragma once
// The marginal cost of each driver of load for each role, measured with cells that differ in that driver
// only, and predictions from these slopes for a cell of any size.

#include <map>
#include <string>
#include <vector>

#include "wrenusher/testbed/cell_result.hpp"
#include "wrenusher/testbed/linear_fit.hpp"

namespace wrenusher::testbed {

/// A cost as a function of one driver. `x` and `y` are the names of the two quantities, with units.
struct Slope {
  std::string x;
  std::string y;
  std::vector<Point> points;
  LinearFit fit;
};

/// Slopes by name, for example "leader_cores_per_report".
using Slopes = std::map<std::string, Slope>;

/// Options of the cells that measure the slopes.
struct SlopeOptions {
  double seconds = 20;
  double warmup_s = 12;
  int at_a_time = 3;  ///< cells that run at the same time
  double report_s = 1;
  int port = 7400;
  std::string wrenusher;
};

/// Returns the cells that measure the slopes: for each driver a series that varies only in the size of it.
std::vector<CellLoad> slope_cells(const SlopeOptions& options);
/// Returns the slopes from the results of these cells. Cells with an error or a change of leader are left
/// out.
Slopes slopes_of(const std::vector<CellResult>& results);

/// Predicted usage of a cell under the load that was measured.
struct Prediction {
  double reports = 0;  ///< per second
  double leader_cores = 0;
  double follower_cores = 0;
  double leader_memory_mb = 0;
  double follower_memory_mb = 0;
  double report_bytes = 0;    ///< size of one report
  double puts = 0;            ///< per second
  double state_requests = 0;  ///< per second
};

/// The quantities that determine the costs of a cell.
struct Drivers {
  double workers = 0;
  double report_s = 1;     ///< interval of the workers' reports in seconds
  double starts = 0;       ///< per second
  double questions = 0;    ///< per second, sum over all nodes
  double submissions = 0;  ///< per second
  double claims = 0;       ///< tasks on machines
  double live_jobs = 0;
};
/// Returns the drivers that a cell's measurement shows.
Drivers drivers_of(const CellResult& result);
/// Returns the usage that the slopes predict for these drivers. Uses 0 for a missing slope.
Prediction predict(const Slopes& slopes, const Drivers& drivers);

/// Returns the slopes as JSON, in the format that `read_slopes` reads.
nlohmann::json slopes_json(const Slopes& slopes);
/// Reads slopes from a file. Throws ScaleError if the file cannot be read or does not have the format of
/// `slopes_json`.
Slopes read_slopes(const std::string& file);
/// Returns the slopes as a table for people.
std::string slopes_table(const Slopes& slopes);

}  // namespace wrenusher::testbed

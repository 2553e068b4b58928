#pragma once
// The report of a scale run: measurements of its cells as a table and as JSON, the predictions of the slopes
// for comparison, and whether the run met its objectives.

#include <optional>
#include <string>
#include <vector>

#include "wrenusher/testbed/slopes.hpp"

namespace wrenusher::testbed {

/// A measured value with the bound that it must meet.
struct ScaleObjective {
  std::string what;
  double value = 0;
  double bound = 0;
  bool met = false;
};

/// Report on the results of all cells of a run.
struct ScaleReport {
  std::vector<CellResult> cells;
  std::optional<Slopes> slopes;  ///< source of the predictions; none: the report has no predictions

  /// Returns the objectives of the run with their results.
  std::vector<ScaleObjective> aims() const;
  /// Returns whether an invariant was violated, an objective was missed or a cell was not measured.
  bool failed() const;
  /// Returns how a shortage of processor time on this machine affected the measurement; empty if no
  /// measurement indicates a shortage.
  std::string machine_limit() const;
  /// Returns the report as a table for people.
  std::string table() const;
  /// Returns the report as JSON, including the results of each cell.
  nlohmann::json json() const;
};

}  // namespace wrenusher::testbed

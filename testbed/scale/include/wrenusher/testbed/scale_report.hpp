#pragma once
// What a scale run tells: the table and the JSON of its cells, beside what the slopes predict, and whether
// its aims were met.

#include <optional>
#include <string>
#include <vector>

#include "wrenusher/testbed/slopes.hpp"

namespace wrenusher::testbed {

/// Something that the run was to show.
struct ScaleObjective {
  std::string what;
  double value = 0;
  double bound = 0;
  bool met = false;
};

struct ScaleReport {
  std::vector<CellResult> cells;
  std::optional<Slopes> slopes;

  std::vector<ScaleObjective> aims() const;
  /// Whether a rule was broken, an aim missed or a cell not measured.
  bool failed() const;
  /// Empty: nothing says that this machine was short of processor.
  std::string machine_limit() const;
  std::string table() const;
  nlohmann::json json() const;
};

}  // namespace wrenusher::testbed

#pragma once
// Runs cells, each in a process of its own beside its controllers, so many at a time, and gathers what they
// measured.

#include <string>
#include <vector>

#include "wrenusher/testbed/cell_result.hpp"

namespace wrenusher::testbed {

/// The first argument with which this program is called to run one cell: a file with the load and one for the
/// result follow.
inline constexpr const char* kCellFlag = "--cell";
/// Runs the cell that `load_file` describes; the result is in `result_file` when it returns. The exit code.
int run_cell(const std::string& load_file, const std::string& result_file);

/// Results in the order of the loads; one that could not be measured has its `error` set. Progress goes to
/// standard error.
std::vector<CellResult> run_cells(const std::vector<CellLoad>& loads, int at_a_time);

}  // namespace wrenusher::testbed

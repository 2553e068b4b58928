#pragma once
// Runs each cell in its own process, a limited number of them at the same time, and collects their results.
// The controllers of a cell are separate processes.

#include <string>
#include <vector>

#include "wrenusher/testbed/cell_result.hpp"

namespace wrenusher::testbed {

/// The first argument of this program when it runs one cell. The paths of the load file and of the result
/// file follow it.
inline constexpr const char* kCellFlag = "--cell";
/// Runs the cell that `load_file` describes and writes the result to `result_file`. Returns the exit code.
int run_cell(const std::string& load_file, const std::string& result_file);

/// Runs cells, at most `at_a_time` of them at the same time, and returns their results in the order of the
/// loads. The result of a cell that could not be measured has `error` set. Progress goes to standard error.
std::vector<CellResult> run_cells(const std::vector<CellLoad>& loads, int at_a_time);

}  // namespace wrenusher::testbed

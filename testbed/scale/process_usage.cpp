#include "wrenusher/testbed/process_usage.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace wrenusher::testbed {

namespace {

/// Indexes of the fields of /proc/PID/stat that follow the process name; the state has index 0 (proc(5)).
constexpr int kUserTimeField = 11;
constexpr int kSystemTimeField = 12;
constexpr int kResidentPagesField = 21;
/// Indexes of the columns of the first line of /proc/stat: the fourth column is idle time, the fifth is time
/// spent waiting for a disk.
constexpr int kIdleColumn = 3;
constexpr int kIoWaitColumn = 4;
constexpr int kColumnCount = 8;

}  // namespace

std::optional<ProcessUsage> usage_of(int pid) {
  const std::string base = "/proc/" + std::to_string(pid);
  std::ifstream in(base + "/stat");
  std::string line;
  if (!std::getline(in, line)) return std::nullopt;
  // The process name is in parentheses and can contain any character, including a closing parenthesis.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  ProcessUsage usage;
  std::string field;
  for (int i = 0; fields >> field; ++i) {
    if (i == kUserTimeField || i == kSystemTimeField) usage.processor_s += std::stod(field) / ticks;
    if (i == kResidentPagesField)
      usage.memory_mb = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  }
  std::error_code error;
  for (std::filesystem::directory_iterator fd(base + "/fd", error), end; !error && fd != end;
       fd.increment(error)) {
    std::error_code link_error;
    if (std::filesystem::read_symlink(fd->path(), link_error).string().starts_with("socket:"))
      ++usage.sockets;
  }
  return usage;
}

MachineTime machine_time() {
  std::ifstream in("/proc/stat");
  std::string name;
  in >> name;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  MachineTime time;
  for (int i = 0; i < kColumnCount; ++i) {
    double column = 0;
    in >> column;
    time.all_s += column / ticks;
    if (i != kIdleColumn && i != kIoWaitColumn) time.busy_s += column / ticks;
  }
  return time;
}

}  // namespace wrenusher::testbed

#include "wrenusher/testbed/process_usage.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace wrenusher::testbed {

namespace {

/// Fields of /proc/PID/stat behind the name, counted from the state as 0 (proc(5)).
constexpr int kUserTime = 11;
constexpr int kSystemTime = 12;
constexpr int kResidentPages = 21;
/// Columns of /proc/stat's first line: the fourth is idle, the fifth waits for a disk.
constexpr int kIdle = 3;
constexpr int kIoWait = 4;
constexpr int kColumns = 8;

}  // namespace

std::optional<ProcessUsage> usage_of(int pid) {
  const std::string base = "/proc/" + std::to_string(pid);
  std::ifstream in(base + "/stat");
  std::string line;
  if (!std::getline(in, line)) return std::nullopt;
  // The name stands in brackets and may hold anything.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  ProcessUsage usage;
  std::string field;
  for (int i = 0; fields >> field; ++i) {
    if (i == kUserTime || i == kSystemTime) usage.processor_s += std::stod(field) / ticks;
    if (i == kResidentPages)
      usage.memory_mb = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
  }
  std::error_code error;
  for (std::filesystem::directory_iterator fd(base + "/fd", error), end; !error && fd != end;
       fd.increment(error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(fd->path(), gone).string().starts_with("socket:")) ++usage.sockets;
  }
  return usage;
}

MachineTime machine_time() {
  std::ifstream in("/proc/stat");
  std::string name;
  in >> name;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  MachineTime time;
  for (int i = 0; i < kColumns; ++i) {
    double column = 0;
    in >> column;
    time.all_s += column / ticks;
    if (i != kIdle && i != kIoWait) time.busy_s += column / ticks;
  }
  return time;
}

}  // namespace wrenusher::testbed

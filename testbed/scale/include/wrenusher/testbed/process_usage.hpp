#pragma once
// What a process uses, by the kernel's own account in /proc.

#include <optional>

namespace wrenusher::testbed {

struct ProcessUsage {
  double processor_s = 0;  ///< user and system time so far
  double memory_mb = 0;    ///< resident now
  int sockets = 0;         ///< open now
};

/// Nothing where there is no such process.
std::optional<ProcessUsage> usage_of(int pid);

/// Processor time of the whole machine so far.
struct MachineTime {
  double busy_s = 0;
  double all_s = 0;
};
MachineTime machine_time();

}  // namespace wrenusher::testbed

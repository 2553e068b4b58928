#pragma once
// Resource usage of a process and of the whole machine, read from /proc.

#include <optional>

namespace wrenusher::testbed {

/// Resource usage of one process.
struct ProcessUsage {
  double processor_s = 0;  ///< user and system time since the process started
  double memory_mb = 0;    ///< current resident memory
  int sockets = 0;         ///< currently open sockets
};

/// Returns the usage of a process, or nothing if there is no process with this id.
std::optional<ProcessUsage> usage_of(int pid);

/// Processor time of the whole machine since it booted, summed over all processors.
struct MachineTime {
  double busy_s = 0;  ///< excludes idle time and waits for I/O
  double all_s = 0;
};
/// Returns the processor time of the whole machine.
MachineTime machine_time();

}  // namespace wrenusher::testbed

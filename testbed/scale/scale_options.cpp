#include "wrenusher/testbed/scale_options.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <thread>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxProcesses = 300;
/// The system assigns ports from this one upwards to outgoing connections.
constexpr int kFirstEphemeralPort = 32768;
/// Ports of a cell that are not for its machines.
constexpr int kFixedPortsPerCell = 250;
/// Greater than 1, because replacement machines that are rented during a run use new ports.
constexpr double kPortsPerWorker = 1.6;
constexpr double kTestbedMemoryMb = 60;
constexpr double kTestbedMemoryMbPerWorker = 0.08;
constexpr double kControllerMemoryMb = 15;
constexpr double kControllerMemoryMbPerWorker = 0.03;

std::string format_number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", x);
  return text;
}

void require_between(const char* option, double value, double minimum, double maximum) {
  if (value >= minimum && value <= maximum) return;
  throw ScaleError(std::string(option) + ": " + format_number(value) + " must be between " +
                   format_number(minimum) + " and " + format_number(maximum));
}

}  // namespace

int ports_of(const CellLoad& cell) {
  return kFixedPortsPerCell + static_cast<int>(cell.workers * kPortsPerWorker);
}

MachineSize this_machine() {
  MachineSize size;
  size.processors = std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
  std::ifstream in("/proc/meminfo");
  std::string name;
  double kb = 0;
  std::string unit;
  while (in >> name >> kb >> unit) {
    if (name == "MemTotal:") size.memory_mb = kb / 1024;
  }
  return size;
}

ScaleNeeds needs_of(const std::vector<CellLoad>& cells) {
  ScaleNeeds needs{1, kTestbedMemoryMb};
  for (const CellLoad& c : cells) {
    needs.processes += 1 + c.controllers;
    needs.memory_mb += kTestbedMemoryMb + kTestbedMemoryMbPerWorker * c.workers;
    needs.memory_mb += c.controllers * (kControllerMemoryMb + kControllerMemoryMbPerWorker * c.workers);
  }
  return needs;
}

std::vector<CellLoad> divide(const ScaleOptions& o) {
  require_between("--zones", o.zones, 1, 64);
  require_between("--workers", o.workers, 1, 20000);
  require_between("--teams", o.teams, 1, 1000);
  require_between("--controllers", o.controllers, 1, 9);
  require_between("--starts", o.starts_per_second, 0, 20000);
  require_between("--tasks-per-worker", o.tasks_per_worker, 1, 200);
  require_between("--tasks-per-job", o.tasks_per_job, 1, 100000);
  require_between("--report", o.report_s, 0.5, 30);
  require_between("--changes", o.changes_per_minute, 0, 60);
  require_between("--state-requests", o.state_requests, 10, 100000);
  require_between("--state-puts", o.state_puts, 5, 100000);
  require_between("--warmup", o.warmup_s, 5, 600);
  require_between("--seconds", o.seconds, 10, 3600);
  require_between("--settle", o.settle_s, 10, 600);
  if (o.workers < o.zones)
    throw ScaleError("--workers: " + std::to_string(o.workers) + " is fewer than one for each of the " +
                     std::to_string(o.zones) + " zones");
  std::vector<CellLoad> cells;
  int port = o.port;
  for (int i = 0; i < o.zones; ++i) {
    CellLoad c;
    c.name = "zone-" + std::to_string(i);
    c.workers = o.workers / o.zones + (i < o.workers % o.zones ? 1 : 0);
    c.controllers = o.controllers;
    c.teams = o.teams;
    c.report_s = o.report_s;
    c.starts_per_second = o.starts_per_second * c.workers / o.workers;
    c.tasks_per_job = o.tasks_per_job;
    if (c.starts_per_second > 0)
      c.run_s = std::clamp(o.tasks_per_worker * c.workers / c.starts_per_second, 1.0, 3600.0);
    // Each change applies to every cell, so the rate is not divided.
    c.changes_per_minute = o.changes_per_minute;
    c.state_requests = o.state_requests;
    c.state_puts = o.state_puts;
    c.warmup_s = o.warmup_s;
    c.seconds = o.seconds;
    c.failures = o.failures;
    c.settle_s = o.settle_s;
    c.port = port;
    c.wrenusher = o.wrenusher;
    port += ports_of(c);
    cells.push_back(std::move(c));
  }
  return cells;
}

void check_fits(const std::vector<CellLoad>& cells, const MachineSize& machine) {
  const ScaleNeeds needs = needs_of(cells);
  if (needs.processes > kMaxProcesses)
    throw ScaleError("--zones, --controllers: " + std::to_string(needs.processes) +
                     " processes are needed, but at most " + std::to_string(kMaxProcesses) +
                     " are allowed; reduce one of the options");
  if (needs.memory_mb > machine.memory_mb / 2)
    throw ScaleError("--workers: the run would need about " + format_number(std::round(needs.memory_mb)) +
                     " MB, more than half of this machine's " + format_number(std::round(machine.memory_mb)) +
                     " MB; reduce the number of workers");
  for (const CellLoad& c : cells) {
    if (c.port + ports_of(c) > kFirstEphemeralPort)
      throw ScaleError("--workers, --port: " + c.name + " would need ports up to " +
                       std::to_string(c.port + ports_of(c)) + ", at most " +
                       std::to_string(kFirstEphemeralPort) +
                       "; reduce the number of workers or lower the port");
  }
}

}  // namespace wrenusher::testbed

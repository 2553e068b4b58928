#include "wrenusher/testbed/scale_options.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <thread>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxProcesses = 300;
/// Where the system takes the ports of outgoing connections from.
constexpr int kFirstEphemeralPort = 32768;
/// Ports of a cell beside those of its machines.
constexpr int kCellPorts = 250;
/// Machines are rented anew under new ports while a run lasts.
constexpr double kPortsPerWorker = 1.6;
constexpr double kLabMb = 60;
constexpr double kLabMbPerWorker = 0.08;
constexpr double kControllerMb = 15;
constexpr double kControllerMbPerWorker = 0.03;

std::string number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", x);
  return text;
}

void between(const char* option, double value, double least, double most) {
  if (value >= least && value <= most) return;
  throw ScaleError(std::string(option) + ": " + number(value) + " must be between " + number(least) +
                   " and " + number(most));
}

}  // namespace

int ports_of(const CellLoad& cell) {
  return kCellPorts + static_cast<int>(cell.workers * kPortsPerWorker);
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
  ScaleNeeds needs{1, kLabMb};
  for (const CellLoad& c : cells) {
    needs.processes += 1 + c.controllers;
    needs.memory_mb += kLabMb + kLabMbPerWorker * c.workers;
    needs.memory_mb += c.controllers * (kControllerMb + kControllerMbPerWorker * c.workers);
  }
  return needs;
}

std::vector<CellLoad> divide(const ScaleOptions& o) {
  between("--zones", o.zones, 1, 64);
  between("--workers", o.workers, 1, 20000);
  between("--teams", o.teams, 1, 1000);
  between("--controllers", o.controllers, 1, 9);
  between("--starts", o.starts_per_second, 0, 20000);
  between("--tasks-per-worker", o.tasks_per_worker, 1, 200);
  between("--tasks-per-job", o.tasks_per_job, 1, 100000);
  between("--report", o.report_s, 0.5, 30);
  between("--changes", o.changes_per_minute, 0, 60);
  between("--state-requests", o.state_requests, 10, 100000);
  between("--state-puts", o.state_puts, 5, 100000);
  between("--warmup", o.warmup_s, 5, 600);
  between("--seconds", o.seconds, 10, 3600);
  between("--settle", o.settle_s, 10, 600);
  if (o.workers < o.zones)
    throw ScaleError("--workers: " + std::to_string(o.workers) + " is less than one for each of the " +
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
    // Every cell takes every change.
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
    throw ScaleError("--zones, --controllers: " + std::to_string(needs.processes) + " processes, at most " +
                     std::to_string(kMaxProcesses) + " are started; ask for fewer");
  if (needs.memory_mb > machine.memory_mb / 2)
    throw ScaleError("--workers: would take about " + number(std::round(needs.memory_mb)) +
                     " MB, more than half of this machine's " + number(std::round(machine.memory_mb)) +
                     " MB; ask for fewer");
  for (const CellLoad& c : cells) {
    if (c.port + ports_of(c) > kFirstEphemeralPort)
      throw ScaleError("--workers, --port: " + c.name + " would need ports up to " +
                       std::to_string(c.port + ports_of(c)) + ", at most " +
                       std::to_string(kFirstEphemeralPort) + "; ask for fewer workers or a lower port");
  }
}

}  // namespace wrenusher::testbed

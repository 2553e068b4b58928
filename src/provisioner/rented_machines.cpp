#include "wrenusher/provisioner/rented_machines.hpp"

#include <algorithm>

namespace wrenusher::provisioner {

RentedMachine& RentedMachines::add(const std::string& host) {
  const auto [it, added] = by_host_.try_emplace(host);
  RentedMachine& machine = it->second;
  if (added) {
    machine.rented_at = runtime_.now();
    machine.idle_since = runtime_.now();
    machine.report_due = runtime_.now() + std::max(settings_.worker_lease, settings_.list_lag * 2);
  }
  return machine;
}

}  // namespace wrenusher::provisioner

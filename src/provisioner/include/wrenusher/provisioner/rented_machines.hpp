#pragma once
// The inventory of rented machines, as the leader of this term knows it.

#include <map>
#include <string>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/machine_class.hpp"
#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::provisioner {

/// A machine from its rental until the cloud has confirmed its return.
struct RentedMachine {
  MachineClass machine_class;
  bool up = false;  ///< its worker has reported in this term
  bool returning = false;
  bool draining = false;          ///< cordoned while idle; returned once no task is on it any more
  bool running = false;           ///< the cloud's list says that it runs
  bool published = false;         ///< was published as listed in this term
  bool has_named_device = false;  ///< kept while idle: a rented machine would not bring such a device
  // Amounts in core equivalents, see placement::core_equivalents.
  protocol::Amount reserved = 0;
  protocol::Amount working = 0;
  protocol::Amount service_load = 0;
  time::Instant rented_at{};
  time::Instant report_due{};  ///< while not `up`: returned if its worker has not reported by then
  time::Instant idle_since{};
};

/// All rented machines by host, in the order of their names. Single-threaded: used from the runtime's loop
/// only; `runtime` and `settings` must outlive it.
class RentedMachines {
 public:
  using ByHost = std::map<std::string, RentedMachine>;

  RentedMachines(runtime::Runtime& runtime, const settings::Settings& settings)
      : runtime_(runtime), settings_(settings) {}

  /// The machine; entered as rented now where it was not known.
  RentedMachine& add(const std::string& host);
  bool contains(const std::string& host) const { return by_host_.contains(host); }
  void erase(const std::string& host) { by_host_.erase(host); }
  void clear() { by_host_.clear(); }
  ByHost& by_host() { return by_host_; }
  const ByHost& by_host() const { return by_host_; }

 private:
  runtime::Runtime& runtime_;
  const settings::Settings& settings_;
  ByHost by_host_;
};

}  // namespace wrenusher::provisioner

#pragma once
// What can be rented, and what is asked of the cloud.

#include <compare>
#include <cstdint>
#include <string>

namespace wrenusher::provisioner {

/// Machines that are rented alike. Ordered by type, zone and then on-demand before spot: rentals are
/// requested in this order.
struct MachineClass {
  std::string machine_type;
  std::string zone;
  bool spot = false;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const MachineClass&) const = default;
};

/// A rental that the cloud was asked for and has not settled yet.
struct RentalRequest {
  std::string name;  ///< idempotency key: repeated with the same name, it rents nothing more
  MachineClass machine_class;
  std::uint32_t count = 0;
  int failed_attempts = 0;
};

}  // namespace wrenusher::provisioner

#pragma once
// Classes of machines that can be rented, and requests to rent them.

#include <compare>
#include <cstdint>
#include <string>

namespace wrenusher::provisioner {

/// Class of interchangeable machines in a rental request. Ordered by type, then zone, then on-demand before
/// spot; rentals are requested in this order.
struct MachineClass {
  std::string machine_type;
  std::string zone;
  bool spot = false;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const MachineClass&) const = default;
};

/// Request to rent machines of one class, until the cloud has accepted or refused it or it is abandoned.
struct RentalRequest {
  std::string name;  ///< idempotency key: a retry with the same name rents no further machines
  MachineClass machine_class;
  std::uint32_t count = 0;
  int failed_attempts = 0;
};

}  // namespace wrenusher::provisioner

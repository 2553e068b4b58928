#pragma once
// Requests for machines: made, repeated until they are settled, and refused for a while where the cloud has
// no capacity.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/provisioner/cloud_client.hpp"
#include "wrenusher/provisioner/machine_class.hpp"

namespace wrenusher::provisioner {

/// Rental requests of this term. Single-threaded: used from the runtime's loop only; what it is given must
/// outlive it.
class RentalRequests {
 public:
  /// Called with the hosts that a request has rented.
  using RentedHandler = std::function<void(const MachineClass&, const std::vector<std::string>& hosts)>;
  using ByName = std::map<std::string, RentalRequest>;

  RentalRequests(runtime::Runtime& runtime, CloudClient& cloud, const LeaderTerm& term, RentedHandler rented)
      : runtime_(runtime), cloud_(cloud), term_(term), rented_(std::move(rented)) {}

  /// A term of this node begins: forgets the requests of earlier ones.
  void begin_term();
  /// Requests up to `count` machines, at most one page of the cloud's interface.
  void request(const MachineClass& machine_class, std::uint32_t count);
  /// Repeats a request of the last leader under its name, so that nothing is rented twice.
  void resume(const RentalRequest& request);
  /// Whether the cloud had no capacity for such machines a short while ago.
  bool is_refused(const MachineClass& machine_class) const;
  /// Requests that are not settled yet.
  const ByName& open() const { return open_; }

 private:
  void send(const RentalRequest& request);
  void on_reply(const std::string& name, const CloudReply& reply);
  void on_rented(const RentalRequest& request, const CloudReply& reply);
  void refuse_for_a_while(const MachineClass& machine_class);

  runtime::Runtime& runtime_;
  CloudClient& cloud_;
  const LeaderTerm& term_;
  RentedHandler rented_;
  std::uint64_t requests_made_ = 0;  ///< in this term; part of the names
  ByName open_;
  std::map<MachineClass, time::Instant> refused_until_;
};

}  // namespace wrenusher::provisioner

#pragma once
// Sends rental requests to the cloud, retries them, and tracks the machine classes without capacity.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wrenusher/provisioner/cloud_client.hpp"
#include "wrenusher/provisioner/machine_class.hpp"

namespace wrenusher::provisioner {

/// Open rental requests of this term. A failed request is retried under the same name until the cloud accepts
/// or refuses it, or it is abandoned after several attempts. Single-threaded: used from the runtime's loop
/// only. `runtime`, `cloud` and `term` must outlive it.
class RentalRequests {
 public:
  /// Called with the hosts rented by a request.
  using RentedHandler = std::function<void(const MachineClass&, const std::vector<std::string>& hosts)>;
  using ByName = std::map<std::string, RentalRequest>;

  RentalRequests(runtime::Runtime& runtime, CloudClient& cloud, const LeaderTerm& term,
                 RentedHandler rented_handler)
      : runtime_(runtime), cloud_(cloud), term_(term), rented_handler_(std::move(rented_handler)) {}

  /// Starts a term of this node: clears the requests and refusals of earlier terms.
  void begin_term();
  /// Requests `count` machines, or the largest number that the cloud allows in one request if that is less.
  void request(const MachineClass& machine_class, std::uint32_t count);
  /// Repeats a request of the previous leader under its original name, so that nothing is rented twice.
  void resume(const RentalRequest& request);
  /// Returns whether the cloud recently had no capacity for machines of the class.
  bool is_refused(const MachineClass& machine_class) const;
  /// Returns the requests that are neither accepted, refused nor abandoned yet.
  const ByName& open() const { return open_; }

 private:
  void send(const RentalRequest& request);
  void on_reply(const std::string& name, const CloudReply& reply);
  void on_rented(const RentalRequest& request, const CloudReply& reply);
  void mark_refused(const MachineClass& machine_class);

  runtime::Runtime& runtime_;
  CloudClient& cloud_;
  const LeaderTerm& term_;
  RentedHandler rented_handler_;
  std::uint64_t request_count_ = 0;  ///< number of requests made in this term; part of their names
  ByName open_;
  std::map<MachineClass, time::Instant> refused_until_;
};

}  // namespace wrenusher::provisioner

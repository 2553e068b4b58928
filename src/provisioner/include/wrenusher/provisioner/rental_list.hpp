#pragma once
// Reads the cloud's list of rented machines.

#include <functional>
#include <string>
#include <utility>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Reads the list page by page, periodically while this node leads. The list lags behind rentals and returns
/// by up to `Settings::list_lag`. Single-threaded: used from the runtime's loop only. `runtime`, `cloud` and
/// `term` must outlive it.
class RentalList {
 public:
  using RentalHandler = std::function<void(const protocol::Rental&)>;

  /// `on_listed` is called for each machine on each page.
  RentalList(runtime::Runtime& runtime, CloudClient& cloud, const LeaderTerm& term, RentalHandler on_listed)
      : runtime_(runtime), cloud_(cloud), term_(term), on_listed_(std::move(on_listed)) {}

  /// Starts a term of this node: the list is requested at the next tick.
  void begin_term();
  /// Requests the list if it is due and no request is in flight. To be called periodically while leading.
  void tick();

 private:
  void request_page(const std::string& from_host);
  void on_page(const value::Value& page);

  runtime::Runtime& runtime_;
  CloudClient& cloud_;
  const LeaderTerm& term_;
  RentalHandler on_listed_;
  bool request_in_flight_ = false;
  time::Instant next_request_{};
};

}  // namespace wrenusher::provisioner

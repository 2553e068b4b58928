#pragma once
// The cloud's list of rented machines.

#include <functional>
#include <string>
#include <utility>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Reads the list page by page, again and again while this node leads. The list lags behind rentals and
/// returns by up to `Settings::list_lag`. Single-threaded: used from the runtime's loop only; what it is
/// given must outlive it.
class RentalList {
 public:
  using RentalHandler = std::function<void(const protocol::Rental&)>;

  /// `listed` is called for each machine on each page.
  RentalList(runtime::Runtime& runtime, CloudClient& cloud, const LeaderTerm& term, RentalHandler listed)
      : runtime_(runtime), cloud_(cloud), term_(term), listed_(std::move(listed)) {}

  /// A term of this node begins: the list is due at once.
  void begin_term();
  /// Requests the list if it is due and none is under way.
  void tick();

 private:
  void request_page(const std::string& from);
  void on_page(const value::Value& page);

  runtime::Runtime& runtime_;
  CloudClient& cloud_;
  const LeaderTerm& term_;
  RentalHandler listed_;
  bool under_way_ = false;
  time::Instant next_{};
};

}  // namespace wrenusher::provisioner

#pragma once
// Reads the catalog of machine types from the cloud, and keeps a copy of it in the state service.

#include <functional>
#include <memory>
#include <string>

#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Keeps the newest catalog of machine types. The leader reads it from the cloud and writes changes to the
/// key `catalog`. Other nodes read that key, so that a node that starts during a cloud outage can still
/// determine which jobs can never run. Single-threaded: used from the runtime's loop only. The objects passed
/// to the constructor must outlive it.
class CatalogSource {
 public:
  using CatalogPtr = std::shared_ptr<const protocol::Catalog>;

  /// The services that the catalog is read from and written to, and the term that writes are conditional on.
  struct Services {
    runtime::Runtime& runtime;
    kv_client::KvClient& kv_client;
    CloudClient& cloud;
    const LeaderTerm& term;
  };
  /// `on_updated` is called with each catalog that is read.
  CatalogSource(const Services& services, std::function<void(const CatalogPtr&)> on_updated)
      : services_(services), on_updated_(std::move(on_updated)) {}

  /// Starts a term of this node: the catalog is read from the cloud at the next tick and then written, even
  /// if it has not changed.
  void begin_term();
  /// Requests the catalog if the next read is due. To be called periodically.
  void tick();
  /// Returns the newest catalog; null until one has been read.
  const CatalogPtr& catalog() const { return catalog_; }

 private:
  void request_catalog();
  void read_catalog_record();
  void set_catalog(const value::Value& value);
  void write_catalog_record(const value::Value& value);

  Services services_;
  std::function<void(const CatalogPtr&)> on_updated_;
  CatalogPtr catalog_;
  std::string written_digest_;  ///< digest of the catalog last written in this term
  time::Instant next_read_{};
};

}  // namespace wrenusher::provisioner

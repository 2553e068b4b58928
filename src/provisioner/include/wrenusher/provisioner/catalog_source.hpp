#pragma once
// The catalog of machine types: read from the cloud, and its copy in the state service.

#include <functional>
#include <memory>
#include <string>

#include "wrenusher/kv_client/kv_client.hpp"
#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/provisioner/cloud_client.hpp"

namespace wrenusher::provisioner {

/// Keeps the newest catalog. The leader reads it from the cloud and writes changes of it to the key
/// `catalog`, so that a node that starts during an outage of the cloud can still tell which jobs can never
/// run; other nodes read that key. Single-threaded: used from the runtime's loop only; what it is given must
/// outlive it.
class CatalogSource {
 public:
  using CatalogPtr = std::shared_ptr<const protocol::Catalog>;

  /// Where the catalog comes from, and under whose term it is written.
  struct Services {
    runtime::Runtime& runtime;
    kv_client::KvClient& kv_client;
    CloudClient& cloud;
    const LeaderTerm& term;
  };
  /// `updated` is called with each catalog that was read.
  CatalogSource(const Services& services, std::function<void(const CatalogPtr&)> updated)
      : services_(services), updated_(std::move(updated)) {}

  /// A term of this node begins: reads the catalog anew, and writes it even if it is as before.
  void begin_term();
  /// Reads the catalog if that is due.
  void tick();
  /// Null until a catalog was read.
  const CatalogPtr& catalog() const { return catalog_; }

 private:
  void request_catalog();
  void read_catalog_record();
  void set_catalog(const value::Value& value);
  void write_catalog_record(const value::Value& value);

  Services services_;
  std::function<void(const CatalogPtr&)> updated_;
  CatalogPtr catalog_;
  std::string written_digest_;  ///< of the catalog last written in this term
  time::Instant next_read_{};
};

}  // namespace wrenusher::provisioner

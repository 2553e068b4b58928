#include "wrenusher/provisioner/catalog_source.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::provisioner {

using kv_client::CommitReply;
using kv_client::KvClient;
using kv_client::ReadReply;
using time::from_seconds;
using time::Instant;
using time::Micros;
using value::Value;

namespace {

constexpr Micros kCatalogInterval = from_seconds(30);
/// Time between reads of the key `catalog` while this node has no catalog.
constexpr Micros kRecordRetryInterval = from_seconds(3);
/// Time until the next read after a failed call to the cloud.
constexpr Micros kCloudRetryInterval = from_seconds(2);

/// Returns a digest of the fields that decide which jobs can run at all. The catalog is written only when the
/// digest changes, because prices change often.
std::string catalog_digest(const protocol::Catalog& catalog) {
  std::string text;
  for (const auto& [name, machine_type] : catalog) {
    text += name + ' ' + std::to_string(machine_type.capacity.cores) + ' ' +
            std::to_string(machine_type.capacity.gpus) + ' ' + std::to_string(machine_type.capacity.memory) +
            ' ' + std::to_string(machine_type.zones.size()) + ';';
  }
  return text;
}

}  // namespace

void CatalogSource::begin_term() {
  written_digest_.clear();  // another leader may have written a different catalog since
  next_read_ = services_.runtime.now();
}

void CatalogSource::tick() {
  const Instant now = services_.runtime.now();
  if (services_.term.leading()) {
    if (now >= next_read_) request_catalog();
    if (!catalog_) read_catalog_record();
  } else if (now >= next_read_) {
    read_catalog_record();
  }
}

void CatalogSource::request_catalog() {
  next_read_ = services_.runtime.now() + kCatalogInterval;
  services_.cloud.get("/catalog", [this](const CloudReply& reply) {
    if (reply.result != CloudReply::Result::ok) {
      next_read_ = std::min(next_read_, services_.runtime.now() + kCloudRetryInterval);
      return;
    }
    if (!reply.body) return;
    set_catalog(*reply.body);
    if (catalog_ && services_.term.leading()) write_catalog_record(*reply.body);
  });
}

void CatalogSource::read_catalog_record() {
  next_read_ =
      std::max(next_read_, services_.runtime.now() + (catalog_ ? kCatalogInterval : kRecordRetryInterval));
  services_.kv_client.get("catalog", KvClient::RequestClass::scheduling, [this](const ReadReply& reply) {
    if (reply.result != ReadReply::Result::ok) return;
    const bool leading = services_.term.leading();
    if (!reply.rows.empty()) {
      // On the leader, a catalog read from the cloud is newer than this record.
      if (!catalog_ || !leading) set_catalog(reply.rows[0].value);
    } else if (!catalog_ && !leading) {
      request_catalog();
    }
  });
}

void CatalogSource::set_catalog(const Value& value) {
  auto catalog = protocol::read_catalog(value);
  if (!catalog || catalog->empty()) return;
  if (!catalog_)
    log::info("machine_types_known", "catalog read: {types} machine types are known",
              log::with("types", catalog->size()));
  catalog_ = std::make_shared<const protocol::Catalog>(std::move(*catalog));
  on_updated_(catalog_);
}

void CatalogSource::write_catalog_record(const Value& value) {
  std::string new_digest = catalog_digest(*catalog_);
  if (new_digest == written_digest_) return;
  services_.kv_client.commit({{"leader", services_.term.mod_revision()}}, {{"catalog", value, 0}},
                             KvClient::RequestClass::scheduling,
                             [this, new_digest = std::move(new_digest)](const CommitReply& reply) {
                               if (reply.result == CommitReply::Result::committed)
                                 written_digest_ = new_digest;
                             });
}

}  // namespace wrenusher::provisioner

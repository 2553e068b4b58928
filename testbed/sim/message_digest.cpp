#include "wrenusher/testbed/message_digest.hpp"

#include <new>

namespace wrenusher::testbed {

namespace {

/// Tags that distinguish the kinds of items, so that a request and a response never have the same digest
/// input.
constexpr std::uint64_t kRequestTag = 1;
constexpr std::uint64_t kResponseTag = 2;
constexpr std::uint64_t kDeleteTag = 3;
constexpr std::uint64_t kPutTag = 4;

}  // namespace

std::string to_text(LinkType link_type) {
  switch (link_type) {
    case LinkType::client:
      return "client";
    case LinkType::worker:
      return "worker";
    case LinkType::peer:
      return "peer";
    case LinkType::state:
      return "state";
    case LinkType::cloud:
      return "cloud";
  }
  return "unknown";
}

SequenceDigest::SequenceDigest() : state_(XXH3_createState()) {
  if (!state_) throw std::bad_alloc();
  XXH3_64bits_reset(state_.get());
}

void SequenceDigest::begin_item(Instant at) {
  ++count_;
  add(static_cast<std::uint64_t>(at.time_since_epoch().count()));
}

void SequenceDigest::add(std::string_view field) {
  add(std::uint64_t{field.size()});
  XXH3_64bits_update(state_.get(), field.data(), field.size());
}

void SequenceDigest::add(std::uint64_t number) {
  XXH3_64bits_update(state_.get(), &number, sizeof number);
}

void MessageDigests::request(LinkType link_type, Instant at, std::string_view from, std::string_view to,
                             const runtime::Request& request) {
  SequenceDigest& sequence = messages_[link_type];
  sequence.begin_item(at);
  sequence.add(kRequestTag);
  sequence.add(from);
  sequence.add(to);
  sequence.add(request.method);
  sequence.add(request.target);
  sequence.add(request.body);
  sequence.add(std::uint64_t{request.close_after});
}

void MessageDigests::response(LinkType link_type, Instant at, std::string_view from, std::string_view to,
                              const runtime::Response& response) {
  SequenceDigest& sequence = messages_[link_type];
  sequence.begin_item(at);
  sequence.add(kResponseTag);
  sequence.add(from);
  sequence.add(to);
  sequence.add(static_cast<std::uint64_t>(response.status));
  sequence.add(response.body);
  sequence.add(static_cast<std::uint64_t>(response.retry_after_s));
}

void MessageDigests::stored(Instant at, const WriteBatch& batch) {
  for (const std::string& key : batch.deletes) {
    stored_.begin_item(at);
    stored_.add(kDeleteTag);
    stored_.add(batch.revision);
    stored_.add(key);
  }
  for (const WriteBatch::Put& put : batch.puts) {
    stored_.begin_item(at);
    stored_.add(kPutTag);
    stored_.add(batch.revision);
    stored_.add(put.key);
    stored_.add(put.entry.lease_id);
    stored_.add(encode(put.entry.value));
  }
}

Digests MessageDigests::summaries() const {
  Digests out;
  for (const LinkType link_type : kLinkTypes) {
    const auto sequence = messages_.find(link_type);
    out[to_text(link_type)] = sequence == messages_.end() ? DigestSummary{} : sequence->second.summary();
  }
  out["stored"] = stored_.summary();
  return out;
}

}  // namespace wrenusher::testbed

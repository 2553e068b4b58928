#pragma once
// Digests of everything that a simulated day sends and stores, in order. Two builds that behave alike give
// equal digests for one seed, so a change that is meant to alter no behaviour can be checked against its
// parent.

#include <xxhash.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "wrenusher/runtime/runtime.hpp"
#include "wrenusher/testbed/durable_storage.hpp"
#include "wrenusher/time/time.hpp"

namespace wrenusher::testbed {

/// What a message is between. A request and its response belong to the same transport.
enum class LinkType {
  client,  ///< users and their load balancer, and a controller
  worker,  ///< a worker and a controller, in either direction
  peer,    ///< two controllers
  state,   ///< a controller and the state service
  cloud    ///< a controller and the cloud
};
inline constexpr LinkType kLinkTypes[] = {LinkType::client, LinkType::worker, LinkType::peer, LinkType::state,
                                          LinkType::cloud};
std::string to_text(LinkType link_type);

/// How many items were added, and the digest of all of them in their order.
struct DigestSummary {
  std::uint64_t count = 0;
  std::uint64_t digest = 0;
  bool operator==(const DigestSummary&) const = default;
};
/// By name: a transport's, or "stored" for what was written in the state service.
using Digests = std::map<std::string, DigestSummary>;

/// A digest (XXH3, 64 bits) over a sequence of items. Every field is preceded by its length, so that no two
/// different sequences are the same bytes.
class SequenceDigest {
 public:
  SequenceDigest();

  /// Begins an item; the fields that follow belong to it.
  void begin_item(Instant at);
  void add(std::string_view field);
  void add(std::uint64_t number);
  DigestSummary summary() const { return {count_, XXH3_64bits_digest(state_.get())}; }

 private:
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  std::unique_ptr<XXH3_state_t, FreeState> state_;
  std::uint64_t count_ = 0;
};

/// The digests of one simulated day: a sequence of messages for each transport, and one of stored values.
class MessageDigests {
 public:
  /// `from` and `to` are the names of the parties.
  void request(LinkType link_type, Instant at, std::string_view from, std::string_view to,
               const runtime::Request& request);
  void response(LinkType link_type, Instant at, std::string_view from, std::string_view to,
                const runtime::Response& response);
  void stored(Instant at, const WriteBatch& batch);
  Digests summaries() const;

 private:
  std::map<LinkType, SequenceDigest> messages_;
  SequenceDigest stored_;
};

}  // namespace wrenusher::testbed

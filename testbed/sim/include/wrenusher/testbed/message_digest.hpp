#pragma once
// Digests of all messages and stored values of a simulated day, in order. Two builds with the same behaviour
// produce equal digests for the same seed, so a change that should not alter behaviour can be compared with
// its parent commit.

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

/// The kind of parties that exchange a message. A request and its response have the same link type.
enum class LinkType {
  client,  ///< a controller and the users or their load balancer
  worker,  ///< a worker and a controller, in either direction
  peer,    ///< two controllers
  state,   ///< a controller and the state service
  cloud    ///< a controller and the cloud
};
inline constexpr LinkType kLinkTypes[] = {LinkType::client, LinkType::worker, LinkType::peer, LinkType::state,
                                          LinkType::cloud};
/// Returns the name of the link type, such as "client".
std::string to_text(LinkType link_type);

/// The number of items added, and the digest of all of them in order.
struct DigestSummary {
  std::uint64_t count = 0;
  std::uint64_t digest = 0;
  bool operator==(const DigestSummary&) const = default;
};
/// Digests by name: the name of a link type, or "stored" for the values written to the state service.
using Digests = std::map<std::string, DigestSummary>;

/// A digest (XXH3, 64 bits) over a sequence of items. Every text field is preceded by its length, so that two
/// different sequences never have the same bytes.
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

/// The digests of one simulated day: one sequence of messages for each link type, and one of stored values.
class MessageDigests {
 public:
  /// `from` and `to` are the names of the parties.
  void request(LinkType link_type, Instant at, std::string_view from, std::string_view to,
               const runtime::Request& request);
  void response(LinkType link_type, Instant at, std::string_view from, std::string_view to,
                const runtime::Response& response);
  /// Adds each delete and put of a batch that the state service has saved.
  void stored(Instant at, const WriteBatch& batch);
  /// Returns the digests of all link types, also of those without messages, and of the stored values.
  Digests summaries() const;

 private:
  std::map<LinkType, SequenceDigest> messages_;
  SequenceDigest stored_;
};

}  // namespace wrenusher::testbed

#pragma once
/// Package containers: small containers that several packages share. It owns no state and depends on `time`.

#include <cstddef>
#include <deque>
#include <functional>
#include <unordered_set>

#include "wrenusher/time/time.hpp"

namespace wrenusher::containers {

/// A set that erases its members in the order of their insertion, by age or by number. Inserting a member
/// again while it is in the set does not change its insertion time. Single-threaded.
template <typename Key, typename Hash = std::hash<Key>>
class AgedSet {
 public:
  /// Inserts the key with the insertion time `now`, which must not be before that of an earlier call. Returns
  /// false if the set already contains the key.
  bool insert(const Key& key, time::Instant now) {
    if (!members_.insert(key).second) return false;
    insertions_.push_back({now, key});
    return true;
  }

  /// Erases every member that was inserted more than `max_age` before `now`.
  void erase_older_than(time::Micros max_age, time::Instant now) {
    while (!insertions_.empty() && now - insertions_.front().at > max_age) erase_oldest();
  }

  /// Erases the oldest members until at most `max_size` are left.
  void shrink_to(std::size_t max_size) {
    while (insertions_.size() > max_size) erase_oldest();
  }

  [[nodiscard]] bool contains(const Key& key) const { return members_.contains(key); }
  [[nodiscard]] std::size_t size() const { return insertions_.size(); }
  [[nodiscard]] bool empty() const { return insertions_.empty(); }

  /// Erases every member.
  void clear() {
    members_.clear();
    insertions_.clear();
  }

 private:
  struct Insertion {
    time::Instant at{};
    Key key;
  };

  void erase_oldest() {
    members_.erase(insertions_.front().key);
    insertions_.pop_front();
  }

  std::unordered_set<Key, Hash> members_;
  std::deque<Insertion> insertions_;  ///< one per member, oldest first
};

}  // namespace wrenusher::containers

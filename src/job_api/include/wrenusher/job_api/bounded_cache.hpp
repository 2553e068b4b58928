#pragma once
// Provides a bounded cache for data that can be read again from the key-value store at any time.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace wrenusher::job_api {

/// Caches up to `capacity` values by job identifier and evicts the entry that was inserted first. Reading or
/// changing an entry doesn't affect the eviction order. Single-threaded: used from the runtime's loop only.
template <typename Value>
class BoundedCache {
 public:
  explicit BoundedCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the entry, or null if there is none. The pointer is valid until the next `insert`.
  [[nodiscard]] Value* find(const std::string& key) {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] const Value* find(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] bool contains(const std::string& key) const { return entries_.contains(key); }

  /// Adds an entry. An existing entry stays unchanged.
  void insert(const std::string& key, Value value) {
    if (!entries_.try_emplace(key, std::move(value)).second) return;
    insertion_order_.push_back(key);
    if (insertion_order_.size() <= capacity_) return;
    entries_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, Value> entries_;
  std::deque<std::string> insertion_order_;
};

}  // namespace wrenusher::job_api

#pragma once
// A cache of bounded size whose entries can be read again from the key-value store at any time.

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace wrenusher::job_api {

/// Values by job identifier, at most `capacity` of them: one more drops the entry that was inserted first.
/// Reading or changing an entry doesn't make it younger. Single-threaded: used from the runtime's loop only.
template <typename Value>
class BoundedCache {
 public:
  explicit BoundedCache(std::size_t capacity) : capacity_(capacity) {}

  /// The entry, or null. Valid until the next `insert`.
  [[nodiscard]] Value* find(const std::string& key) {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] const Value* find(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }
  [[nodiscard]] bool contains(const std::string& key) const { return entries_.contains(key); }

  /// Adds an entry; one that is there already stays as it is.
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

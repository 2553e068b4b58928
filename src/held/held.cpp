#include "wrenusher/held/held.hpp"

#include <utility>

namespace wrenusher::held {

void Answers::void_answer(const std::string& host) {
  const auto it = waiting_.find(host);
  if (it == waiting_.end()) return;
  const Reply reply = std::move(it->second.reply);
  waiting_.erase(it);
  reply({});
}

void Answers::void_all() {
  for (const auto& [host, a] : std::exchange(waiting_, {})) a.reply({});
}

void Answers::give(
    const std::function<std::optional<std::vector<Order>>(const std::string& host, const Answer&)>& orders) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (auto o = orders(it->first, it->second)) {
      it->second.reply(std::move(*o));
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace wrenusher::held

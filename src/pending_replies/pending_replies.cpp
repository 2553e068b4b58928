#include "wrenusher/pending_replies/pending_replies.hpp"

#include <utility>

namespace wrenusher::pending_replies {

void PendingReplies::reply_empty(const std::string& host) {
  const auto it = by_host_.find(host);
  if (it == by_host_.end()) return;
  const Reply reply = std::move(it->second.reply);
  by_host_.erase(it);
  reply({});
}

void PendingReplies::reply_all_empty() {
  for (const auto& [host, pending] : std::exchange(by_host_, {})) pending.reply({});
}

void PendingReplies::reply_ready(const CommandSource& commands) {
  for (auto it = by_host_.begin(); it != by_host_.end();) {
    if (auto ready = commands(it->first, it->second)) {
      it->second.reply(std::move(*ready));
      it = by_host_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace wrenusher::pending_replies

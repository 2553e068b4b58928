#include "wrenusher/pending_replies/pending_replies.hpp"

#include <utility>

namespace wrenusher::pending_replies {

void PendingReplies::reply_empty(const std::string& host) {
  const auto it = waiting_.find(host);
  if (it == waiting_.end()) return;
  const Reply reply = std::move(it->second.reply);
  waiting_.erase(it);
  reply({});
}

void PendingReplies::reply_all_empty() {
  for (const auto& [host, pending] : std::exchange(waiting_, {})) pending.reply({});
}

void PendingReplies::reply_ready(const CommandSource& commands) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (auto ready = commands(it->first, it->second)) {
      it->second.reply(std::move(*ready));
      it = waiting_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace wrenusher::pending_replies

#pragma once
// Package held: the answers to reports that wait for the commit of what the report brought, so that the
// worker gets its next tasks with the same answer. It owns the answers and nothing else. Invariant: at most
// one a machine, and each is given exactly once. It may depend on base and protocol.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::held {

using namespace base;
using namespace protocol;

using Reply = std::function<void(std::vector<Order>)>;

struct Answer {
  std::shared_ptr<const WorkerReport> report;
  Reply reply;
  Instant until{};          ///< given then at the latest
  std::uint64_t plans = 0;  ///< made before it came
};

class Answers {
 public:
  void keep(const std::string& host, Answer a) { waiting_[host] = std::move(a); }
  /// Answers without orders: the worker has given up waiting, or its machine is gone.
  void void_answer(const std::string& host);
  void void_all();
  /// Gives those for which `orders` has some; the rest stay.
  void give(
      const std::function<std::optional<std::vector<Order>>(const std::string& host, const Answer&)>& orders);

 private:
  std::map<std::string, Answer> waiting_;  ///< by machine
};

}  // namespace wrenusher::held

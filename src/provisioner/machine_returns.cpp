#include "wrenusher/provisioner/machine_returns.hpp"

namespace wrenusher::provisioner {

using value::Value;

namespace {

constexpr std::size_t kMaxMachinesPerBatch = 100;

}  // namespace

void MachineReturns::begin_term() {
  pending_.clear();
  returned_.clear();
  batch_under_way_ = false;
}

void MachineReturns::send_batch() {
  if (batch_under_way_ || pending_.empty()) return;
  batch_under_way_ = true;
  Value::List batch;
  std::vector<std::string> hosts;
  for (const std::string& host : pending_) {
    if (hosts.size() == kMaxMachinesPerBatch) break;
    hosts.push_back(host);
    batch.emplace_back(host);
  }
  // Before all rentals: a machine's return proves its tasks gone, and those may hold up others.
  cloud_.post("/rentals/return", value::encode(Value::Map{{"hosts", std::move(batch)}}),
              CloudClient::QueuePosition::front,
              [this, hosts = std::move(hosts), token = term_.fencing_token()](const CloudReply& reply) {
                if (!term_.is_current(token)) return;
                batch_under_way_ = false;
                // Otherwise the next call of `send_batch` repeats it.
                if (reply.result == CloudReply::Result::ok) on_confirmed(hosts);
              });
}

void MachineReturns::on_confirmed(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    pending_.erase(host);
    returned_.insert(host);
    on_returned_(host);
  }
}

}  // namespace wrenusher::provisioner

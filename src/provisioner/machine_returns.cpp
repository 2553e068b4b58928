#include "wrenusher/provisioner/machine_returns.hpp"

namespace wrenusher::provisioner {

using value::Value;

namespace {

constexpr std::size_t kMaxMachinesPerBatch = 100;

}  // namespace

void MachineReturns::begin_term() {
  pending_.clear();
  returned_.clear();
  batch_in_flight_ = false;
}

void MachineReturns::send_batch() {
  if (batch_in_flight_ || pending_.empty()) return;
  batch_in_flight_ = true;
  Value::List batch;
  std::vector<std::string> hosts;
  for (const std::string& host : pending_) {
    if (hosts.size() == kMaxMachinesPerBatch) break;
    hosts.push_back(host);
    batch.emplace_back(host);
  }
  // Returns go ahead of rentals: a confirmed return proves that the machine's tasks have stopped, and other
  // tasks may be waiting for that proof.
  cloud_.post("/rentals/return", value::encode(Value::Map{{"hosts", std::move(batch)}}),
              CloudClient::QueuePosition::front,
              [this, hosts = std::move(hosts), token = term_.fencing_token()](const CloudReply& reply) {
                if (!term_.is_current(token)) return;
                batch_in_flight_ = false;
                // After a failure the hosts stay pending, and the next `send_batch` retries them.
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

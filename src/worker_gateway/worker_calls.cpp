#include "wrenusher/worker_gateway/worker_calls.hpp"

#include "wrenusher/value/value.hpp"

namespace wrenusher::worker_gateway {

using protocol::WorkerCommand;
using protocol::WorkerReport;
using runtime::Request;
using runtime::Response;
using value::Value;

Request commands_request(const CallTarget& target, const std::vector<WorkerCommand>& commands) {
  return {"POST", "/orders",
          value::encode(Value::Map{{"epoch", target.fencing_token},
                                   {"tenure", target.incarnation},
                                   {"orders", protocol::write_commands(commands)}})};
}

Request poll_request(const CallTarget& target) {
  Request request = commands_request(target, {});
  request.close_after = true;
  return request;
}

std::optional<WorkerReport> read_report_body(const Response& response) {
  const auto body = value::decode(response.body);
  return body ? protocol::read_report(*body) : std::nullopt;
}

}  // namespace wrenusher::worker_gateway

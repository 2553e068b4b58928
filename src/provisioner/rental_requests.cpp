#include "wrenusher/provisioner/rental_requests.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::provisioner {

using value::Value;

namespace {

/// Largest number of machines in one request.
constexpr std::uint32_t kMaxMachinesPerRequest = 50;
constexpr int kMaxFailedAttempts = 8;
/// Time for which a machine class is not requested after the cloud had no capacity for it.
constexpr time::Micros kRefusalDuration = time::from_seconds(8);

const char* pricing(const MachineClass& machine_class) {
  return machine_class.spot ? "spot" : "on-demand";
}

/// Returns the hosts listed in the cloud's reply; none if the reply is malformed.
std::vector<std::string> rented_hosts(const CloudReply& reply) {
  std::vector<std::string> host_names;
  const Value::List* hosts = reply.body ? (*reply.body)["hosts"].list() : nullptr;
  if (hosts == nullptr) return host_names;
  for (const Value& host : *hosts) {
    if (host.text() != nullptr) host_names.push_back(*host.text());
  }
  return host_names;
}

}  // namespace

void RentalRequests::begin_term() {
  open_.clear();
  refused_until_.clear();
  request_count_ = 0;
}

void RentalRequests::request(const MachineClass& machine_class, std::uint32_t count) {
  RentalRequest request;
  // Unique across all terms: each fencing token belongs to one leader, which numbers its requests.
  request.name = "r-" + std::to_string(term_.fencing_token()) + "-" + std::to_string(++request_count_);
  request.machine_class = machine_class;
  request.count = std::min(count, kMaxMachinesPerRequest);
  open_[request.name] = request;
  send(request);
}

void RentalRequests::resume(const RentalRequest& request) {
  RentalRequest resumed = request;
  resumed.count = std::min(request.count, kMaxMachinesPerRequest);
  resumed.failed_attempts = 0;
  if (open_.emplace(resumed.name, resumed).second) send(resumed);
}

bool RentalRequests::is_refused(const MachineClass& machine_class) const {
  const auto it = refused_until_.find(machine_class);
  return it != refused_until_.end() && runtime_.now() < it->second;
}

void RentalRequests::send(const RentalRequest& request) {
  const std::string body = value::encode(Value::Map{{"booking", request.name},
                                                    {"flavor", request.machine_class.machine_type},
                                                    {"site", request.machine_class.zone},
                                                    {"standby", request.machine_class.spot},
                                                    {"count", std::uint64_t{request.count}}});
  cloud_.post("/rentals", body, CloudClient::QueuePosition::back,
              [this, name = request.name, token = term_.fencing_token()](const CloudReply& reply) {
                if (term_.is_current(token)) on_reply(name, reply);
              });
}

void RentalRequests::on_reply(const std::string& name, const CloudReply& reply) {
  const auto it = open_.find(name);
  if (it == open_.end()) return;
  RentalRequest& request = it->second;
  const MachineClass& machine_class = request.machine_class;
  switch (reply.result) {
    case CloudReply::Result::ok:
      on_rented(request, reply);
      break;
    case CloudReply::Result::no_capacity:
      log::info("no_capacity", "the cloud has no capacity for {pricing} {type} in {zone}",
                log::with("pricing", pricing(machine_class)), log::with("type", machine_class.machine_type),
                log::with("zone", machine_class.zone));
      mark_refused(machine_class);
      break;
    case CloudReply::Result::failed:
      if (++request.failed_attempts < kMaxFailedAttempts) {
        // The request may have been executed. A retry under the same name returns the same machines.
        send(request);
        return;
      }
      [[fallthrough]];
    case CloudReply::Result::invalid:
      log::warn("rental_request_abandoned", "rental request {request} for {type} is abandoned",
                log::with("request", name), log::with("type", machine_class.machine_type));
      break;
  }
  open_.erase(it);
}

void RentalRequests::on_rented(const RentalRequest& request, const CloudReply& reply) {
  const MachineClass& machine_class = request.machine_class;
  const std::vector<std::string> hosts = rented_hosts(reply);
  rented_handler_(machine_class, hosts);
  log::info("machines_rented", "rented {machines} of {requested} {pricing} {type} in {zone}",
            log::with("machines", hosts.size()), log::with("requested", request.count),
            log::with("pricing", pricing(machine_class)), log::with("type", machine_class.machine_type),
            log::with("zone", machine_class.zone));
  if (hosts.size() < request.count) mark_refused(machine_class);
}

void RentalRequests::mark_refused(const MachineClass& machine_class) {
  refused_until_[machine_class] = runtime_.now() + kRefusalDuration;
}

}  // namespace wrenusher::provisioner

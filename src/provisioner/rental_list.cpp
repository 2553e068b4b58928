#include "wrenusher/provisioner/rental_list.hpp"

namespace wrenusher::provisioner {

using value::Value;

namespace {

constexpr time::Micros kListInterval = time::from_seconds(4);
/// Requests pages of 500 machines, the largest that the cloud returns.
constexpr const char* kPageTarget = "/rentals?limit=500";

}  // namespace

void RentalList::begin_term() {
  request_in_flight_ = false;
  next_request_ = runtime_.now();
}

void RentalList::tick() {
  if (runtime_.now() >= next_request_ && !request_in_flight_) request_page({});
}

void RentalList::request_page(const std::string& from_host) {
  request_in_flight_ = true;
  next_request_ = runtime_.now() + kListInterval;
  std::string target = kPageTarget;
  if (!from_host.empty()) target += "&from=" + from_host;
  cloud_.get(std::move(target), [this, token = term_.fencing_token()](const CloudReply& reply) {
    if (!term_.is_current(token)) return;
    request_in_flight_ = false;
    if (reply.body) on_page(*reply.body);
  });
}

void RentalList::on_page(const Value& page) {
  const Value::List* hosts = page["hosts"].list();
  if (hosts == nullptr) return;
  std::string last_host;
  for (const Value& item : *hosts) {
    if (const auto rental = protocol::read_rental(item)) {
      on_listed_(*rental);
      last_host = rental->host;
    }
  }
  if (page["truncated"].boolean().value_or(false) && !last_host.empty()) request_page(last_host);
}

}  // namespace wrenusher::provisioner

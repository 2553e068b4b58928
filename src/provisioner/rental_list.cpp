#include "wrenusher/provisioner/rental_list.hpp"

namespace wrenusher::provisioner {

using value::Value;

namespace {

constexpr time::Micros kListInterval = time::from_seconds(4);
/// The largest page that the cloud gives.
constexpr const char* kPageTarget = "/rentals?limit=500";

}  // namespace

void RentalList::begin_term() {
  under_way_ = false;
  next_ = runtime_.now();
}

void RentalList::tick() {
  if (runtime_.now() >= next_ && !under_way_) request_page({});
}

void RentalList::request_page(const std::string& from) {
  under_way_ = true;
  next_ = runtime_.now() + kListInterval;
  std::string target = kPageTarget;
  if (!from.empty()) target += "&from=" + from;
  cloud_.get(std::move(target), [this, token = term_.fencing_token()](const CloudReply& reply) {
    if (!term_.is_current(token)) return;
    under_way_ = false;
    if (reply.body) on_page(*reply.body);
  });
}

void RentalList::on_page(const Value& page) {
  const Value::List* hosts = page["hosts"].list();
  if (hosts == nullptr) return;
  std::string last;
  for (const Value& item : *hosts) {
    if (const auto rental = protocol::read_rental(item)) {
      listed_(*rental);
      last = rental->host;
    }
  }
  if (page["truncated"].boolean().value_or(false) && !last.empty()) request_page(last);
}

}  // namespace wrenusher::provisioner

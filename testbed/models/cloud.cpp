#include "wrenusher/testbed/cloud.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "wrenusher/testbed/answers.hpp"

namespace wrenusher::testbed {

namespace {

constexpr Micros kListInterval = from_seconds(1);
constexpr std::uint64_t kMaxPerBooking = 50;
constexpr std::size_t kMaxPerReturn = 100;
constexpr std::size_t kMaxListed = 500;
/// One in this many machines never finishes booting.
constexpr int kNeverBootsOneIn = 20;

/// Returns 17 for "m-17". The numbers give the order of creation.
long machine_number(const std::string& host) {
  return host.starts_with("m-") ? std::strtol(host.c_str() + 2, nullptr, 10) : 0;
}

}  // namespace

Cloud::Cloud(Transport& transport, const Site& site, Machines& machines, int scale)
    : transport_(transport),
      site_(site),
      machines_(machines),
      scale_(scale),
      rate_limiter_(site.settings.cloud_rps, 2, transport.now()) {
  record_list();
}

void Cloud::provide_now() {
  if (site_.types.empty()) return;
  const MachineType& f = site_.types.front().type;
  for (int i = 0; i < site_.machines; ++i)
    machines_.rent(f.name, f.zones[static_cast<std::size_t>(i) % f.zones.size()], false, Micros{0});
}

/// Records the current list of rentals, which requests see after the list lag.
void Cloud::record_list() {
  lists_.emplace_back(transport_.now(), machines_.list());
  while (lists_.size() > 2 && transport_.now() - lists_[1].first > site_.settings.list_lag * 2)
    lists_.pop_front();
  transport_.at(kListInterval, [this] { record_list(); });
}

void Cloud::serve(const std::string&, const Request& r, const Responder& answer) {
  ++requests_;
  if (down_) {
    answer(reply(503, Value::Map{{"error", "trouble"}}));
    return;
  }
  if (!rate_limiter_.take(1, transport_.now())) {
    answer({429, {}, 0});
    return;
  }
  const auto body = decode(r.body);
  if (r.method == "GET" && r.target == "/catalog") {
    answer(catalog());
  } else if (r.method == "POST" && r.target == "/rentals" && body) {
    answer(rent(*body));
  } else if (r.method == "POST" && r.target == "/rentals/return" && body) {
    answer(return_machines(*body));
  } else if (r.method == "GET" && r.target.starts_with("/rentals")) {
    answer(list(r.target));
  } else {
    answer(malformed("no such request, or a body that is not CBOR"));
  }
}

Response Cloud::catalog() const {
  Value::List types;
  double phase = 0;
  for (const MachineSupply& t : site_.types) {
    const MachineType& f = t.type;
    Value::List sites;
    for (const std::string& z : f.zones) sites.emplace_back(z);
    // Spot prices vary by up to a third around the nominal price.
    const double swing = 1 + std::sin(to_seconds(transport_.now().time_since_epoch()) / 90 + phase++) / 3;
    types.emplace_back(Value::Map{{"name", f.name},
                                  {"cores", from_amount(f.capacity.cores)},
                                  {"cards", from_amount(f.capacity.gpus)},
                                  {"memory_gb", from_amount(f.capacity.memory)},
                                  {"cache_gb", f.image_cache_gb},
                                  {"pull_gb_per_s", f.fetch_gb_per_s},
                                  {"rate", f.price},
                                  {"low_price", f.spot_price * swing},
                                  {"boot_s", to_seconds(f.boot_time)},
                                  {"sites", std::move(sites)}});
  }
  return reply(200, Value::Map{{"flavors", std::move(types)}});
}

Response Cloud::rent(const Value& body) {
  const std::string* booking = body["booking"].text();
  const std::string* machine_type = body["flavor"].text();
  const std::string* zone = body["site"].text();
  const auto standby = body["standby"].boolean();
  const auto count = body["count"].count();
  const MachineSupply* type = machine_type != nullptr ? site_.type(*machine_type) : nullptr;
  if (booking == nullptr || type == nullptr || zone == nullptr || !standby || !count || *count == 0 ||
      *count > kMaxPerBooking)
    return malformed("booking, flavor, site, standby or count (1 to 50) is missing or wrong");
  auto& names = requests_by_name_[*booking];
  if (names.empty()) {
    const bool zone_offered =
        std::find(type->type.zones.begin(), type->type.zones.end(), *zone) != type->type.zones.end();
    const int max_machines = zone_offered ? scale_ * (*standby ? type->spot : type->ordinary) : 0;
    while (names.size() < *count && machines_.is_present(*machine_type, *zone, *standby) < max_machines) {
      const bool never_boots = transport_.pick(kNeverBootsOneIn) == 0 ||
                               (never_boots_share_ > 0 && transport_.uniform(0, 1) < never_boots_share_);
      const double boot_scale = never_boots ? 0 : transport_.uniform(0.6, 1.5) * boot_factor_;
      const Micros boot =
          never_boots ? from_seconds(1e6) : from_seconds(to_seconds(type->type.boot_time) * boot_scale);
      const std::string host = machines_.rent(*machine_type, *zone, *standby, boot);
      if (host.empty()) break;
      names.push_back(host);
      ++rented_;
    }
  }
  if (names.empty()) {
    requests_by_name_.erase(*booking);  // the client may retry the same booking after a 503
    return reply(503, Value::Map{{"error", "no capacity"}});
  }
  Value::List hosts;
  for (const std::string& n : names) hosts.emplace_back(n);
  return reply(200, Value::Map{{"hosts", std::move(hosts)}});
}

Response Cloud::return_machines(const Value& body) {
  const Value::List* hosts = body["hosts"].list();
  if (hosts == nullptr || hosts->size() > kMaxPerReturn)
    return malformed("hosts: must be a list of 100 at most");
  for (const Value& h : *hosts) {
    if (h.text() != nullptr) machines_.return_machine(*h.text());
  }
  return reply(200, Value::Map{});
}

Response Cloud::list(const std::string& target) {
  const Micros lag = from_seconds(to_seconds(site_.settings.list_lag) * transport_.uniform(1, 2));
  const Value::List* seen = nullptr;
  for (const auto& [when, list] : lists_) {
    if (transport_.now() - when >= lag) seen = &list;
  }
  const long after = machine_number(query(target, "from"));
  const std::size_t requested_limit = std::strtoull(query(target, "limit").c_str(), nullptr, 10);
  const std::size_t limit = requested_limit == 0 ? kMaxListed : std::min(requested_limit, kMaxListed);
  Value::List rows;
  bool more = false;
  for (std::size_t i = 0; seen != nullptr && i < seen->size() && !more; ++i) {
    if (machine_number(*(*seen)[i]["ref"].text()) <= after) continue;
    more = rows.size() == limit;
    if (!more) rows.push_back((*seen)[i]);
  }
  return reply(200, Value::Map{{"hosts", std::move(rows)}, {"truncated", more}});
}

}  // namespace wrenusher::testbed

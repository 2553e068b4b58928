#pragma once
// The cloud of PROTOCOL: types and moving prices, bookings, returns, a list that lags, capacity that runs
// out.

#include <deque>

#include "wrenusher/testbed/machines.hpp"
#include "wrenusher/testbed/pace.hpp"

namespace wrenusher::testbed {

class Cloud {
 public:
  /// `scale`: how many times the site's capacity there is.
  Cloud(Transport& transport, const Site& site, Machines& machines, int scale = 1);

  void serve(const std::string& from, const Request& r, const Responder& answer);
  void outage(bool on) { down_ = on; }
  /// From now on boots take so many times as long, and this share of machines never comes up.
  void boots(double factor, double never) {
    boot_factor_ = factor;
    boot_never_ = never;
  }
  /// The machines that are up from the start.
  void provide_now();
  std::uint64_t requests() const { return requests_; }
  std::uint64_t rented() const { return rented_; }

 private:
  Response catalog() const;
  Response rent(const Value& body);
  Response return_machines(const Value& body);
  Response list(const std::string& target);
  void note_list();

  Transport& transport_;
  const Site& site_;
  Machines& machines_;
  int scale_;
  bool down_ = false;
  double boot_factor_ = 1;
  double boot_never_ = 0;
  std::map<std::string, std::vector<std::string>> requests_by_name_;
  std::deque<std::pair<Instant, Value::List>> lists_;
  RateLimiter rate_limiter_;
  std::uint64_t requests_ = 0;
  std::uint64_t rented_ = 0;
};

}  // namespace wrenusher::testbed

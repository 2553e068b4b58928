#pragma once
// Model of the cloud API in PROTOCOL: machine types and changing prices, bookings, returns, a delayed list of
// rentals, and limited capacity.

#include <deque>

#include "wrenusher/testbed/machines.hpp"
#include "wrenusher/testbed/pace.hpp"

namespace wrenusher::testbed {

class Cloud {
 public:
  /// `scale`: factor on the capacity of the site.
  Cloud(Transport& transport, const Site& site, Machines& machines, int scale = 1);

  void serve(const std::string& from, const Request& r, const Responder& answer);
  void outage(bool on) { down_ = on; }
  /// Multiplies the boot time of machines rented from now on by `factor`. The share `never` of them never
  /// finishes booting.
  void boots(double factor, double never) {
    boot_factor_ = factor;
    never_boots_share_ = never;
  }
  /// Rents the machines that are up from the start.
  void provide_now();
  std::uint64_t requests() const { return requests_; }
  std::uint64_t rented() const { return rented_; }

 private:
  Response catalog() const;
  Response rent(const Value& body);
  Response return_machines(const Value& body);
  Response list(const std::string& target);
  void record_list();

  Transport& transport_;
  const Site& site_;
  Machines& machines_;
  int scale_;
  bool down_ = false;
  double boot_factor_ = 1;
  double never_boots_share_ = 0;
  std::map<std::string, std::vector<std::string>> requests_by_name_;
  std::deque<std::pair<Instant, Value::List>> lists_;
  RateLimiter rate_limiter_;
  std::uint64_t requests_ = 0;
  std::uint64_t rented_ = 0;
};

}  // namespace wrenusher::testbed

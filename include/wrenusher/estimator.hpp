#pragma once
// What the owners' estimates are worth: the run time seen per queue, and the speed seen per machine.

#include <deque>
#include <map>
#include <string>

#include "wrenusher/messages.hpp"

namespace wrenusher {

class Estimator {
 public:
  /// A task of the queue ran this long on this machine.
  void ran(const JobSpec& spec, const std::string& host, Micros took);
  /// Run time to expect of a task of this job on a machine of ordinary speed.
  Micros estimate(const JobSpec& spec) const;
  double speed(const std::string& host) const;
  void forget(const std::string& host) { hosts_.erase(host); }

 private:
  /// The last logarithms of (seen / expected); their median is little moved by a few odd ones.
  using Window = std::deque<double>;
  static void push(Window& w, double x);
  static double median(const Window& w, double prior_weight);

  std::map<std::string, Window> queues_;
  std::map<std::string, Window> hosts_;
};

}  // namespace wrenusher

#pragma once
// Experiments: days of a site in simulated time, what they came to by class, and what two sets of them differ
// in.

#include <map>
#include <nlohmann/json_fwd.hpp>

#include "wrenusher/testbed/message_digest.hpp"
#include "wrenusher/testbed/site.hpp"

namespace wrenusher::testbed {

/// One day's figures, by name: "rules_broken", "money", "builds.wait_p95", ...
using Figures = std::map<std::string, double>;

struct DayResult {
  std::uint64_t seed = 0;
  Figures figures;
  std::vector<std::string> broken;  ///< rules, a line each
  Digests digests;  ///< of all messages and stored values; empty in results of earlier versions
};

/// Plays the site's day once; everything follows from the seed. Of each takeover the figures are named by its
/// cause, the last trouble of a controller before it: "takeover.controller_crash.first_start", ...
DayResult play_day(const Site& site, std::uint64_t seed);

/// Means over the days, a row a class, and the rules that were broken.
std::string day_table(const Site& site, const std::vector<DayResult>& days);
nlohmann::json day_json(const Site& site, const std::vector<DayResult>& days);
/// Throws SiteError where the text is not what day_json made.
std::vector<DayResult> read_days(const std::string& json, const std::string& file);

/// A figure whose difference, day by day of the same seed, is beyond the spread of those differences.
struct Moved {
  std::string name;
  double before = 0;
  double after = 0;
  double spread = 0;  ///< two standard errors of the mean difference
};
struct Comparison {
  std::size_t pairs = 0;
  std::vector<Moved> moved;
  std::size_t same = 0;  ///< figures that did not move
};
Comparison compare_days(const std::vector<DayResult>& a, const std::vector<DayResult>& b);
std::string comparison_table(const Comparison& c);

}  // namespace wrenusher::testbed

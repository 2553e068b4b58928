#pragma once
// Experiments: runs of a site's day in simulated time, their figures by job class, and a comparison of two
// sets of runs.

#include <map>
#include <nlohmann/json_fwd.hpp>

#include "wrenusher/testbed/message_digest.hpp"
#include "wrenusher/testbed/site.hpp"

namespace wrenusher::testbed {

/// The figures of one day, by name: "rules_broken", "money", "builds.wait_p95", ...
using Figures = std::map<std::string, double>;

/// The result of one simulated day.
struct DayResult {
  std::uint64_t seed = 0;
  Figures figures;
  std::vector<std::string> broken;  ///< broken rules, one line each
  Digests digests;  ///< of all messages and stored values; empty in results of earlier versions
};

/// Simulates one day of the site. The result depends on the site and the seed only. The figures of a failover
/// carry the name of its cause, which is the last fault of a controller or of the state service before it:
/// "takeover.controller_crash.first_start", ...
DayResult play_day(const Site& site, std::uint64_t seed);

/// Returns a table with the means over the days, one row for each job class, and with the broken rules.
std::string day_table(const Site& site, const std::vector<DayResult>& days);
/// Returns the days in the format that read_days() parses.
nlohmann::json day_json(const Site& site, const std::vector<DayResult>& days);
/// Parses the output of day_json(). `file` is the file name in error messages. Throws SiteError if the text
/// has another format.
std::vector<DayResult> read_days(const std::string& json, const std::string& file);

/// A figure whose mean difference between days of the same seed is greater than the spread of the
/// differences.
struct Moved {
  std::string name;
  double before = 0;
  double after = 0;
  double spread = 0;  ///< two standard errors of the mean difference
};
/// The comparison of two sets of days.
struct Comparison {
  std::size_t pairs = 0;  ///< pairs of days with the same seed
  std::vector<Moved> moved;
  std::size_t same = 0;  ///< number of figures that did not move
};
/// Compares the days of `a` (before) and `b` (after) that have the same seed.
Comparison compare_days(const std::vector<DayResult>& a, const std::vector<DayResult>& b);
/// Returns a table with the figures that moved.
std::string comparison_table(const Comparison& c);

}  // namespace wrenusher::testbed

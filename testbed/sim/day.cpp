#include "wrenusher/testbed/day.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "wrenusher/testbed/world.hpp"

namespace wrenusher::testbed {

namespace {

namespace bh = boost::histogram;

/// A histogram of durations from 0.01 s to one day, in steps of 2.5%.
class DurationHistogram {
 public:
  void add(Micros duration) { histogram_(std::max(to_seconds(duration), 0.01)); }
  double count() const { return bh::algorithm::sum(histogram_, bh::coverage::all); }
  /// Returns the quantile of the durations in seconds, or 0 if there are none.
  double quantile(double q) const {
    const double all = count();
    double cumulative = 0;
    for (const auto& cell : bh::indexed(histogram_, bh::coverage::all)) {
      cumulative += *cell;
      if (all > 0 && cumulative >= q * all) return std::min(cell.bin().center(), 86400.0);
    }
    return 0;
  }
  /// Returns the share of the durations up to `limit`, or 0 if there are none.
  double share_within(Micros limit) const {
    double within = 0;
    for (const auto& cell : bh::indexed(histogram_, bh::coverage::all)) {
      if (cell.bin().upper() <= to_seconds(limit) * 1.0125) within += *cell;
    }
    return count() > 0 ? within / count() : 0;
  }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  decltype(bh::make_histogram(Axis(640, 0.01, 86400.0))) histogram_ =
      bh::make_histogram(Axis(640, 0.01, 86400.0));
};

struct ClassTally {
  double jobs = 0;
  double done = 0;
  double refused = 0;
  double with_deadline = 0;
  double in_time = 0;
  double in_half_more = 0;
  double tasks = 0;
  DurationHistogram waits;  ///< for each task, from the submission to its first start
  /// For each job that is done, from the submission until its user learned of the end.
  DurationHistogram finishes;
  double spread = 0;  ///< sum over the jobs of the largest share that was in one innermost domain
  double spread_jobs = 0;
  /// For each task in a domain when the domain was lost, until the task started again.
  DurationHistogram replaced;
};

/// Draws all jobs of the day from the seed alone, before the day begins: two days with the same seed have the
/// same work, whatever else differs between them.
void schedule_jobs(World& world, const Site& site, std::uint64_t seed) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const auto uniform = [&](double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  };
  int number = 0;
  for (const JobClass& c : site.classes) {
    const auto schedule_job = [&](double at) {
      const SimulatedJob j = draw_job(site, c, ++number, random);
      world.at(from_seconds(at), [&world, j] { world.submit(j); });
      if (uniform(0, 1) < c.cancelled_share)
        world.at(from_seconds(at + uniform(1, 60)),
                 [&world, job_id = j.spec.job_id] { world.cancel(job_id); });
    };
    for (int i = 0; i < c.at_start; ++i) schedule_job(uniform(0, 2));
    if (c.per_minute <= 0) continue;
    for (double t = 0;;) {
      t += std::exponential_distribution<double>(c.per_minute / 60)(random);
      if (t >= to_seconds(site.length)) break;
      schedule_job(t);
    }
  }
}

/// The time at which each task (job, task number) lost its machine with a topology domain.
using LostTasks = std::map<std::pair<std::string, std::uint32_t>, Instant>;

void schedule_faults(World& world, const Site& site, LostTasks& lost,
                     const std::function<void(const std::string& what)>& on_fault) {
  for (const FaultSpec& fault : site.faults) {
    for (Micros at = fault.at; at < site.length; at += fault.every) {
      world.at(at, [&world, &fault, &lost, on_fault] {
        on_fault(fault.what);
        if (fault.what.starts_with("domain_")) {
          const auto hosts = world.hosts_in(fault.whom);
          for (const auto& unit : world.checker.on_any_machine({hosts.begin(), hosts.end()}))
            lost.emplace(unit, world.now());
        }
        world.inject_fault(fault);
      });
      if (fault.every.count() == 0) break;
    }
  }
}

/// Collects the figures of failovers, and of the start commands around them, by cause.
class FailoverTally {
 public:
  void on_fault(const std::string& what, Instant at) {
    if (what.starts_with("controller_") || what.starts_with("all_") || what.starts_with("rolling_") ||
        what.starts_with("state_"))
      faults_.emplace_back(at, what);
  }
  void on_start_command(Instant at, bool has_image) { starts_.emplace_back(at, has_image); }
  void add_to(Figures& f, const std::vector<World::Failover>& all) const {
    std::map<std::string, std::vector<double>> values_by_name;
    for (const World::Failover& failover : all) {
      const auto* fault = cause(failover.began);
      if (fault == nullptr) continue;  // the first term has no predecessor
      const std::string name = "takeover." + fault->second;
      const auto add = [&](const char* what, Micros part) {
        if (part.count() >= 0) values_by_name[name + what].push_back(to_seconds(part));
      };
      add(".term", failover.began - fault->first);
      const auto start = std::find_if(starts_.begin(), starts_.end(),
                                      [&](const auto& command) { return command.first >= failover.began; });
      if (start != starts_.end()) add(".first_start", start->first - fault->first);
      add(".noticed", failover.parts.since_lease_expiry);
      add(".records", failover.parts.records_read);
      add(".first_machine", failover.parts.first_machine);
      add(".most_machines", failover.parts.ninety_percent_machines);
      add(".last_machine", failover.parts.last_machine);
      add(".settled", failover.parts.all_located);
      values_by_name[name + ".warm"].push_back(failover.parts.from_replica ? 1 : 0);
      const double before = image_share(fault->first - kImageShareWindow, fault->first);
      const double after = image_share(failover.began, failover.began + kImageShareWindow);
      if (before >= 0 && after >= 0) values_by_name[name + ".image_lost"].push_back(before - after);
    }
    for (auto& [name, values] : values_by_name) {
      std::sort(values.begin(), values.end());
      f[name] = values[values.size() / 2];
    }
  }

 private:
  static constexpr Micros kImageShareWindow = from_seconds(20);
  static constexpr std::size_t kMinStarts = 10;
  /// Returns the last fault in the 30 s before the term, or null if there was none.
  const std::pair<Instant, std::string>* cause(Instant began) const {
    const std::pair<Instant, std::string>* last = nullptr;
    for (const auto& fault : faults_) {
      if (fault.first <= began && began - fault.first < from_seconds(30)) last = &fault;
    }
    return last;
  }
  /// Returns the share of start commands to machines that had the image; negative if there were fewer than
  /// kMinStarts.
  double image_share(Instant from, Instant to) const {
    std::size_t all = 0;
    std::size_t with_image = 0;
    for (const auto& [at, has_image] : starts_) {
      if (at < from || at >= to) continue;
      ++all;
      with_image += has_image ? 1 : 0;
    }
    return all < kMinStarts ? -1 : static_cast<double>(with_image) / static_cast<double>(all);
  }
  std::vector<std::pair<Instant, std::string>> faults_;
  std::vector<std::pair<Instant, bool>> starts_;
};

}  // namespace

DayResult play_day(const Site& site, std::uint64_t seed) {
  World world(seed, site);
  std::map<std::string, ClassTally> classes;
  for (const JobClass& c : site.classes) classes[c.name];
  std::set<std::pair<std::string, std::uint32_t>> started;
  LostTasks lost;
  world.machines().on_start = [&](const std::string& job_id, std::uint32_t task) {
    if (const auto l = lost.find({job_id, task}); l != lost.end()) {
      classes[world.machines().job(job_id)->spec.job_class].replaced.add(world.now() - l->second);
      lost.erase(l);
    }
    const auto job = world.users().jobs().find(job_id);
    if (job == world.users().jobs().end() || !started.insert({job_id, task}).second) return;
    classes[world.machines().job(job_id)->spec.job_class].waits.add(world.now() - job->second.submitted);
  };
  schedule_jobs(world, site, seed);
  FailoverTally failovers;
  world.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool has_image) {
    failovers.on_start_command(world.now(), has_image);
  };
  schedule_faults(world, site, lost, [&](const std::string& what) { failovers.on_fault(what, world.now()); });
  world.run(site.length);

  DayResult out;
  out.seed = seed;
  double due_all = 0;
  for (const auto& [ref, job] : world.users().jobs()) {
    const JobSpec& spec = world.machines().job(ref)->spec;
    ClassTally& c = classes[spec.job_class];
    ++c.jobs;
    c.tasks += spec.task_count;
    if (const double largest_share = world.checker.most_in_one(ref);
        largest_share > 0 && spec.task_count > 1) {
      c.spread += largest_share;
      ++c.spread_jobs;
    }
    const bool finished = job.finished != Instant{};
    if (job.refused != 0) {
      ++c.refused;
    } else if (finished && job.state == "done") {
      ++c.done;
      c.finishes.add(job.finished - job.submitted);
    }
    // A job is not counted if the day ends before 1.5 times its deadline, as the outcome is not known then.
    if (!spec.deadline || job.state == "withdrawn" || job.refused != 0 ||
        world.now() - job.submitted < *spec.deadline * 3 / 2)
      continue;
    ++c.with_deadline;
    ++due_all;
    const bool done = finished && job.state == "done";
    if (done && job.finished - job.submitted <= *spec.deadline) ++c.in_time;
    if (done && job.finished - job.submitted <= *spec.deadline * 3 / 2) ++c.in_half_more;
  }
  Figures& f = out.figures;
  for (const auto& [name, c] : classes) {
    f[name + ".jobs"] = c.jobs;
    f[name + ".tasks"] = c.tasks;
    f[name + ".done"] = c.done;
    f[name + ".wait_p50"] = c.waits.quantile(0.5);
    f[name + ".wait_p95"] = c.waits.quantile(0.95);
    f[name + ".finish_p50"] = c.finishes.quantile(0.5);
    f[name + ".finish_p95"] = c.finishes.quantile(0.95);
    if (site.topology && c.spread_jobs > 0) f[name + ".in_one_domain"] = c.spread / c.spread_jobs;
    if (c.replaced.count() > 0) {
      f[name + ".replaced_p50"] = c.replaced.quantile(0.5);
      f[name + ".replaced_p95"] = c.replaced.quantile(0.95);
    }
    if (c.with_deadline > 0) {
      f[name + ".in_time"] = c.in_time / c.with_deadline;
      f[name + ".in_half_more"] = c.in_half_more / c.with_deadline;
    }
  }
  for (const auto& objective : site.settings.objectives) {
    const auto c = classes.find(objective.job_class);
    if (c == classes.end() || objective.within.count() == 0) continue;
    const DurationHistogram& durations = objective.kind == "wait" ? c->second.waits : c->second.finishes;
    f[objective.job_class + "." + objective.kind + "_within"] = durations.share_within(objective.within);
  }
  f["core_seconds_done"] = world.machines().work().done;
  f["core_seconds_lost"] = world.machines().work().lost;
  f["money"] = world.machines().cost();
  f["machines_rented"] = static_cast<double>(world.cloud().rented());
  f["state_writes"] = static_cast<double>(world.kv_service().writes());
  std::uint64_t requests = 0;
  for (const auto& [who, n] : world.kv_service().requests()) requests += n;
  f["state_requests"] = static_cast<double>(requests);
  f["state_refusals"] = static_cast<double>(world.kv_service().refusals());
  f["cloud_requests"] = static_cast<double>(world.cloud().requests());
  failovers.add_to(f, world.failovers());
  f["takeovers"] = static_cast<double>(world.terms()) - 1;
  f["starts"] = static_cast<double>(world.checker.starts());
  f["rules_broken"] = static_cast<double>(world.checker.notes().size());
  out.broken = world.checker.notes();
  out.digests = world.digests();
  return out;
}

namespace {

double mean(const std::vector<DayResult>& days, const std::string& name, bool& any) {
  double sum = 0;
  double n = 0;
  for (const DayResult& d : days) {
    const auto it = d.figures.find(name);
    if (it == d.figures.end()) continue;
    sum += it->second;
    ++n;
  }
  any = n > 0;
  return n > 0 ? sum / n : 0;
}

std::string cell(const std::vector<DayResult>& days, const std::string& name, const char* how) {
  bool any = false;
  const double x = mean(days, name, any);
  char text[32] = "-";
  if (any) std::snprintf(text, sizeof text, how, x);
  return text;
}

}  // namespace

/// Returns the median and the worst value over the days, one row for each cause.
std::string failover_table(const std::vector<DayResult>& days) {
  constexpr std::pair<const char*, const char*> kParts[] = {{"term", "term"},
                                                            {"records", "records"},
                                                            {"first_machine", "1st machine"},
                                                            {"first_start", "1st order"},
                                                            {"most_machines", "9 in 10"},
                                                            {"last_machine", "last"},
                                                            {"settled", "settled"},
                                                            {"image_lost", "images lost"}};
  std::map<std::string, std::map<std::string, std::vector<double>>> causes;
  for (const DayResult& d : days) {
    for (const auto& [name, value] : d.figures) {
      if (!name.starts_with("takeover.")) continue;
      const auto dot = name.rfind('.');
      causes[name.substr(9, dot - 9)][name.substr(dot + 1)].push_back(value);
    }
  }
  if (causes.empty()) return {};
  char text[64];
  std::string out =
      "takeovers, s (median/worst; term and 1st order since the trouble, the rest since the term)\n";
  for (auto& [cause, parts] : causes) {
    out += "  " + cause + ":";
    for (const auto& [part, title] : kParts) {
      auto& values = parts[part];
      if (values.empty()) continue;
      std::sort(values.begin(), values.end());
      std::snprintf(text, sizeof text, " %s %.2f/%.2f,", title, values[values.size() / 2], values.back());
      out += text;
    }
    out.back() = '\n';
  }
  return out;
}

std::string day_table(const Site& site, const std::vector<DayResult>& days) {
  char line[300];
  std::snprintf(line, sizeof line, "site %s, %.0f s, %zu day%s, simulated\n", site.name.c_str(),
                to_seconds(site.length), days.size(), days.size() == 1 ? "" : "s, means");
  std::string out = line;
  out += "class             jobs   tasks    done  wait p50   p95  finish p50   p95  in time  1.5x\n";
  for (const JobClass& c : site.classes) {
    const auto of = [&](const char* what, const char* how) { return cell(days, c.name + "." + what, how); };
    std::snprintf(line, sizeof line, "%-14s %7s %7s %7s  %8s %5s  %10s %5s  %7s %5s\n", c.name.c_str(),
                  of("jobs", "%.0f").c_str(), of("tasks", "%.0f").c_str(), of("done", "%.0f").c_str(),
                  of("wait_p50", "%.1f").c_str(), of("wait_p95", "%.1f").c_str(),
                  of("finish_p50", "%.1f").c_str(), of("finish_p95", "%.1f").c_str(),
                  of("in_time", "%.3f").c_str(), of("in_half_more", "%.3f").c_str());
    out += line;
  }
  for (const JobClass& c : site.classes) {
    const auto of = [&](const char* what, const char* how) { return cell(days, c.name + "." + what, how); };
    if (of("in_one_domain", "%.2f") == "-" && of("replaced_p50", "%.1f") == "-") continue;
    out += c.name + ": most of a job in one domain " + of("in_one_domain", "%.2f") +
           ", started again after a lost domain in " + of("replaced_p50", "%.1f") + " s (p95 " +
           of("replaced_p95", "%.1f") + ")\n";
  }
  const auto total = [&](const char* name, const char* how) { return cell(days, name, how); };
  out += "work done " + total("core_seconds_done", "%.0f") + " core s, lost with stopped tasks " +
         total("core_seconds_lost", "%.0f") + "; money " + total("money", "%.2f") + "; machines rented " +
         total("machines_rented", "%.0f") + "\n";
  out += "state service " + total("state_requests", "%.0f") + " requests, " + total("state_writes", "%.0f") +
         " changes, " + total("state_refusals", "%.0f") + " refused; cloud " +
         total("cloud_requests", "%.0f") + " requests; takeovers " + total("takeovers", "%.1f") + "\n";
  out += failover_table(days);
  std::size_t broken = 0;
  for (const DayResult& d : days) {
    for (const std::string& b : d.broken) {
      if (++broken <= 20) out += "BROKEN (seed " + std::to_string(d.seed) + ") " + b + "\n";
    }
  }
  return out + (broken == 0 ? "no rule broken\n" : std::to_string(broken) + " rules broken\n");
}

namespace {

/// Writes each digest as two 32-bit integers, which a reader that stores all numbers as doubles keeps
/// exactly.
nlohmann::json digests_json(const Digests& digests) {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [name, d] : digests)
    out[name] = {{"count", d.count}, {"digest", {d.digest >> 32U, d.digest & 0xffffffffU}}};
  return out;
}

Digests read_digests(const nlohmann::json& day) {
  Digests out;
  if (!day.contains("digests")) return out;
  for (const auto& [name, d] : day.at("digests").items()) {
    const auto& parts = d.at("digest");
    out[name] = {d.at("count").get<std::uint64_t>(),
                 parts.at(0).get<std::uint64_t>() << 32U | parts.at(1).get<std::uint64_t>()};
  }
  return out;
}

}  // namespace

nlohmann::json day_json(const Site& site, const std::vector<DayResult>& days) {
  nlohmann::json list = nlohmann::json::array();
  for (const DayResult& d : days)
    list.push_back({{"seed", d.seed},
                    {"figures", d.figures},
                    {"broken", d.broken},
                    {"digests", digests_json(d.digests)}});
  return {{"site", site.name}, {"seconds", to_seconds(site.length)}, {"days", std::move(list)}};
}

std::vector<DayResult> read_days(const std::string& text, const std::string& file) {
  try {
    std::vector<DayResult> out;
    const nlohmann::json all = nlohmann::json::parse(text);
    for (const auto& d : all.at("days"))
      out.push_back({d.at("seed").get<std::uint64_t>(), d.at("figures").get<Figures>(),
                     d.at("broken").get<std::vector<std::string>>(), read_digests(d)});
    return out;
  } catch (const nlohmann::json::exception& e) {
    throw SiteError(file + ": not what 'wrenusher-testbed day --json' writes: " + e.what());
  }
}

Comparison compare_days(const std::vector<DayResult>& a, const std::vector<DayResult>& b) {
  Comparison out;
  std::map<std::string, std::vector<std::pair<double, double>>> pairs;
  for (const DayResult& x : a) {
    for (const DayResult& y : b) {
      if (x.seed != y.seed) continue;
      ++out.pairs;
      for (const auto& [name, value] : x.figures) {
        if (const auto it = y.figures.find(name); it != y.figures.end())
          pairs[name].emplace_back(value, it->second);
      }
    }
  }
  for (const auto& [name, list] : pairs) {
    const auto n = static_cast<double>(list.size());
    double before = 0;
    double after = 0;
    for (const auto& [x, y] : list) {
      before += x / n;
      after += y / n;
    }
    double square = 0;
    for (const auto& [x, y] : list) square += std::pow(y - x - (after - before), 2);
    // One pair is too few to estimate a spread. Its difference then serves as the spread, so that the figure
    // does not count as moved.
    const double spread = n > 1 ? 2 * std::sqrt(square / (n - 1) / n) : std::abs(after - before);
    if (std::abs(after - before) > spread) {
      out.moved.push_back({name, before, after, spread});
    } else {
      ++out.same;
    }
  }
  return out;
}

std::string comparison_table(const Comparison& c) {
  char line[200];
  std::string out;
  if (!c.moved.empty()) out = "figure                          before       after  difference  spread\n";
  for (const Moved& m : c.moved) {
    std::snprintf(line, sizeof line, "%-28s %9.3f   %9.3f   %+9.3f  %6.3f\n", m.name.c_str(), m.before,
                  m.after, m.after - m.before, m.spread);
    out += line;
  }
  std::snprintf(line, sizeof line, "%zu pairs of days; %zu figures moved beyond their spread, %zu did not\n",
                c.pairs, c.moved.size(), c.same);
  return out + line;
}

}  // namespace wrenusher::testbed

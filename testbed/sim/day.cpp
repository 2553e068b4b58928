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

/// Times from a hundredth of a second to a day, in steps of 2.5%.
class Times {
 public:
  void add(Micros t) { h_(std::max(to_seconds(t), 0.01)); }
  double count() const { return bh::algorithm::sum(h_, bh::coverage::all); }
  /// Of the times that were added; 0 where there are none.
  double quantile(double q) const {
    const double all = count();
    double seen = 0;
    for (const auto& cell : bh::indexed(h_, bh::coverage::all)) {
      seen += *cell;
      if (all > 0 && seen >= q * all) return std::min(cell.bin().center(), 86400.0);
    }
    return 0;
  }
  double below(Micros t) const {
    double in = 0;
    for (const auto& cell : bh::indexed(h_, bh::coverage::all)) {
      if (cell.bin().upper() <= to_seconds(t) * 1.0125) in += *cell;
    }
    return count() > 0 ? in / count() : 0;
  }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  decltype(bh::make_histogram(Axis(640, 0.01, 86400.0))) h_ = bh::make_histogram(Axis(640, 0.01, 86400.0));
};

struct ClassTally {
  double jobs = 0;
  double over = 0;
  double refused = 0;
  double with_due = 0;
  double in_time = 0;
  double in_half_more = 0;
  double tasks = 0;
  Times waits;        ///< of each task, from the submission to its first start
  Times finishes;     ///< of each job, until its user was told
  double spread = 0;  ///< sum over its jobs of the largest part that was in one innermost domain
  double spread_jobs = 0;
  Times replaced;  ///< of each task that was in a domain when that was lost, until it started again
};

/// All jobs of the day are drawn before it begins, from the seed alone: two days of one seed have the same
/// work, whatever else differs between them.
void arrivals(World& w, const Site& site, std::uint64_t seed) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const auto uniform = [&](double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  };
  int number = 0;
  for (const JobClass& c : site.classes) {
    const auto one = [&](double at) {
      const SimulatedJob j = draw_job(site, c, ++number, random);
      w.at(from_seconds(at), [&w, j] { w.submit(j); });
      if (uniform(0, 1) < c.cancelled_share)
        w.at(from_seconds(at + uniform(1, 60)), [&w, job_id = j.spec.job_id] { w.cancel(job_id); });
    };
    for (int i = 0; i < c.at_start; ++i) one(uniform(0, 2));
    if (c.per_minute <= 0) continue;
    for (double t = 0;;) {
      t += std::exponential_distribution<double>(c.per_minute / 60)(random);
      if (t >= to_seconds(site.length)) break;
      one(t);
    }
  }
}

using Lost = std::map<std::pair<std::string, std::uint32_t>, Instant>;

void schedule_faults(World& w, const Site& site, Lost& lost,
                     const std::function<void(const std::string& what)>& struck) {
  for (const FaultSpec& t : site.faults) {
    for (Micros at = t.at; at < site.length; at += t.every) {
      w.at(at, [&w, &t, &lost, struck] {
        struck(t.what);
        if (t.what.starts_with("domain_")) {
          const auto hosts = w.hosts_in(t.whom);
          for (const auto& unit : w.checker.on_any_machine({hosts.begin(), hosts.end()}))
            lost.emplace(unit, w.now());
        }
        w.inject_fault(t);
      });
      if (t.every.count() == 0) break;
    }
  }
}

/// Takeovers and the starts around them, by cause.
class FailoverTally {
 public:
  void on_fault(const std::string& what, Instant at) {
    if (what.starts_with("controller_") || what.starts_with("all_") || what.starts_with("rolling_") ||
        what.starts_with("state_"))
      faults_.emplace_back(at, what);
  }
  void on_start_command(Instant at, bool has_image) { starts_.emplace_back(at, has_image); }
  void add_to(Figures& f, const std::vector<World::Failover>& all) const {
    std::map<std::string, std::vector<double>> seen;
    for (const World::Failover& t : all) {
      const auto* s = cause(t.began);
      if (s == nullptr) continue;  // the first term takes over from nobody
      const std::string name = "takeover." + s->second;
      const auto add = [&](const char* what, Micros part) {
        if (part.count() >= 0) seen[name + what].push_back(to_seconds(part));
      };
      add(".term", t.began - s->first);
      const auto order =
          std::find_if(starts_.begin(), starts_.end(), [&](const auto& o) { return o.first >= t.began; });
      if (order != starts_.end()) add(".first_start", order->first - s->first);
      add(".noticed", t.parts.since_lease_expiry);
      add(".records", t.parts.records_read);
      add(".first_machine", t.parts.first_machine);
      add(".most_machines", t.parts.ninety_percent_machines);
      add(".last_machine", t.parts.last_machine);
      add(".settled", t.parts.all_located);
      seen[name + ".warm"].push_back(t.parts.from_replica ? 1 : 0);
      const double before = with_image(s->first - kAround, s->first);
      const double after = with_image(t.began, t.began + kAround);
      if (before >= 0 && after >= 0) seen[name + ".image_lost"].push_back(before - after);
    }
    for (auto& [name, values] : seen) {
      std::sort(values.begin(), values.end());
      f[name] = values[values.size() / 2];
    }
  }

 private:
  static constexpr Micros kAround = from_seconds(20);
  static constexpr std::size_t kFew = 10;
  /// The last trouble before the term; null where there was none of late.
  const std::pair<Instant, std::string>* cause(Instant began) const {
    const std::pair<Instant, std::string>* last = nullptr;
    for (const auto& s : faults_) {
      if (s.first <= began && began - s.first < from_seconds(30)) last = &s;
    }
    return last;
  }
  /// The share of starts for which the image was there; negative where there are few.
  double with_image(Instant from, Instant to) const {
    std::size_t all = 0;
    std::size_t had = 0;
    for (const auto& [at, has] : starts_) {
      if (at < from || at >= to) continue;
      ++all;
      had += has ? 1 : 0;
    }
    return all < kFew ? -1 : static_cast<double>(had) / static_cast<double>(all);
  }
  std::vector<std::pair<Instant, std::string>> faults_;
  std::vector<std::pair<Instant, bool>> starts_;
};

}  // namespace

DayResult play_day(const Site& site, std::uint64_t seed) {
  World w(seed, site);
  std::map<std::string, ClassTally> classes;
  for (const JobClass& c : site.classes) classes[c.name];
  std::set<std::pair<std::string, std::uint32_t>> started;
  Lost lost;
  w.machines().on_start = [&](const std::string& job_id, std::uint32_t task) {
    if (const auto l = lost.find({job_id, task}); l != lost.end()) {
      classes[w.machines().job(job_id)->spec.job_class].replaced.add(w.now() - l->second);
      lost.erase(l);
    }
    const auto job = w.users().jobs().find(job_id);
    if (job == w.users().jobs().end() || !started.insert({job_id, task}).second) return;
    classes[w.machines().job(job_id)->spec.job_class].waits.add(w.now() - job->second.submitted);
  };
  arrivals(w, site, seed);
  FailoverTally takeovers;
  w.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool has_image) {
    takeovers.on_start_command(w.now(), has_image);
  };
  schedule_faults(w, site, lost, [&](const std::string& what) { takeovers.on_fault(what, w.now()); });
  w.run(site.length);

  DayResult out;
  out.seed = seed;
  double due_all = 0;
  for (const auto& [ref, job] : w.users().jobs()) {
    const JobSpec& spec = w.machines().job(ref)->spec;
    ClassTally& c = classes[spec.job_class];
    ++c.jobs;
    c.tasks += spec.task_count;
    if (const double most = w.checker.most_in_one(ref); most > 0 && spec.task_count > 1) {
      c.spread += most;
      ++c.spread_jobs;
    }
    const bool over = job.finished != Instant{};
    if (job.refused != 0) {
      ++c.refused;
    } else if (over && job.state == "done") {
      ++c.over;
      c.finishes.add(job.finished - job.submitted);
    }
    // A deadline that the day does not reach says nothing.
    if (!spec.deadline || job.state == "withdrawn" || job.refused != 0 ||
        w.now() - job.submitted < *spec.deadline * 3 / 2)
      continue;
    ++c.with_due;
    ++due_all;
    const bool done = over && job.state == "done";
    if (done && job.finished - job.submitted <= *spec.deadline) ++c.in_time;
    if (done && job.finished - job.submitted <= *spec.deadline * 3 / 2) ++c.in_half_more;
  }
  Figures& f = out.figures;
  for (const auto& [name, c] : classes) {
    f[name + ".jobs"] = c.jobs;
    f[name + ".tasks"] = c.tasks;
    f[name + ".done"] = c.over;
    f[name + ".wait_p50"] = c.waits.quantile(0.5);
    f[name + ".wait_p95"] = c.waits.quantile(0.95);
    f[name + ".finish_p50"] = c.finishes.quantile(0.5);
    f[name + ".finish_p95"] = c.finishes.quantile(0.95);
    if (site.topology && c.spread_jobs > 0) f[name + ".in_one_domain"] = c.spread / c.spread_jobs;
    if (c.replaced.count() > 0) {
      f[name + ".replaced_p50"] = c.replaced.quantile(0.5);
      f[name + ".replaced_p95"] = c.replaced.quantile(0.95);
    }
    if (c.with_due > 0) {
      f[name + ".in_time"] = c.in_time / c.with_due;
      f[name + ".in_half_more"] = c.in_half_more / c.with_due;
    }
  }
  for (const auto& o : site.settings.objectives) {
    const auto c = classes.find(o.job_class);
    if (c == classes.end() || o.within.count() == 0) continue;
    const Times& t = o.kind == "wait" ? c->second.waits : c->second.finishes;
    f[o.job_class + "." + o.kind + "_within"] = t.below(o.within);
  }
  f["core_seconds_done"] = w.machines().work().done;
  f["core_seconds_lost"] = w.machines().work().lost;
  f["money"] = w.machines().cost();
  f["machines_rented"] = static_cast<double>(w.cloud().rented());
  f["state_writes"] = static_cast<double>(w.kv_service().writes());
  std::uint64_t requests = 0;
  for (const auto& [who, n] : w.kv_service().requests()) requests += n;
  f["state_requests"] = static_cast<double>(requests);
  f["state_refusals"] = static_cast<double>(w.kv_service().refusals());
  f["cloud_requests"] = static_cast<double>(w.cloud().requests());
  takeovers.add_to(f, w.failovers());
  f["takeovers"] = static_cast<double>(w.terms()) - 1;
  f["starts"] = static_cast<double>(w.checker.starts());
  f["rules_broken"] = static_cast<double>(w.checker.notes().size());
  out.broken = w.checker.notes();
  out.digests = w.digests();
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

/// Median and worst of the days, a row a cause.
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
  out += "work done " + total("core_seconds_done", "%.0f") + " core s, done again " +
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

/// A digest as two whole numbers of 32 bits, which a reader that has only doubles keeps exactly.
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
    // Of one pair nothing can be said of the spread.
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

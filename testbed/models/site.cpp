#include "wrenusher/testbed/site.hpp"

#include <cmath>

namespace wrenusher::testbed {

namespace {

using config_reader::ConfigNode;

/// Reads a number, or a map {median: , p95: }.
Distribution read_distribution(ConfigNode n, double min_value, double max_value) {
  if (!n.is_map()) {
    const double fixed = n.number(min_value, max_value);
    return {fixed, fixed};
  }
  Distribution s;
  s.median = n["median"].number(min_value, max_value);
  s.p95 = n["p95"].number(s.median, max_value);
  n.reject_unknown_fields();
  return s;
}

Distribution read_duration_distribution(ConfigNode n) {
  if (!n.is_map()) {
    const double fixed = to_seconds(n.duration());
    return {fixed, fixed};
  }
  Distribution s;
  s.median = to_seconds(n["median"].duration());
  s.p95 = to_seconds(n["p95"].duration());
  if (s.p95 < s.median) n["p95"].fail("must not be below the median");
  n.reject_unknown_fields();
  return s;
}

Resources read_resources(ConfigNode& n) {
  Resources out;
  out.cores = to_amount(n["cores"].number(0, 1e6));
  out.gpus = n.has("cards") ? to_amount(n["cards"].number(0, 1e6)) : 0;
  out.memory = to_amount(n["memory_gb"].number(0, 1e6));
  return out;
}

MachineSupply read_type(const std::string& name, ConfigNode n, const std::vector<std::string>& zones) {
  MachineSupply t;
  MachineType& f = t.type;
  f.name = name;
  f.capacity = read_resources(n);
  f.image_cache_gb = n["cache_gb"].number(0, 1e6);
  f.fetch_gb_per_s = n["pull_gb_per_s"].number(1e-3, 1e3);
  f.price = n["price"].number(0, 1e6);
  f.spot_price = n["spot_price"].number(0, 1e6);
  f.boot_time = n["boot"].duration();
  f.zones = zones;
  if (n.has("zones")) {
    f.zones.clear();
    for (const ConfigNode& z : n["zones"].items()) f.zones.push_back(z.one_of(zones));
  }
  t.spot = n["spot_per_zone"].integer(0, 100000);
  t.ordinary = n["ordinary_per_zone"].integer(0, 100000);
  n.reject_unknown_fields();
  return t;
}

Layout read_layout(ConfigNode n) {
  Layout l;
  if (n.has("spread")) {
    ConfigNode s = n["spread"];
    Layout::Spread out;
    out.level = s["level"].text();
    if (s.has("most")) out.max_tasks = static_cast<std::uint32_t>(s["most"].integer(1, kMaxTasksPerJob));
    if (s.has("share")) out.share = s["share"].number(0.001, 1);
    if ((out.max_tasks > 0) == (out.share > 0)) s.fail("needs either 'most' or 'share'");
    if (s.has("must")) out.required = s["must"].boolean();
    s.reject_unknown_fields();
    l.spread = out;
  }
  if (n.has("together")) {
    ConfigNode t = n["together"];
    Layout::Colocation out;
    out.level = t["level"].text();
    if (t.has("must")) out.required = t["must"].boolean();
    t.reject_unknown_fields();
    l.colocation = out;
  }
  if (n.has("devices")) {
    for (const auto& [name, count] : n["devices"].entries())
      l.devices[name] = static_cast<std::uint32_t>(count.integer(1, 1000));
  }
  n.reject_unknown_fields();
  return l;
}

JobClass read_class(const std::string& name, ConfigNode n, const Settings& s) {
  JobClass c;
  c.name = name;
  std::vector<std::string> teams;
  for (const settings::Team& t : s.teams) teams.push_back(t.name);
  if (n.has("team")) c.team = n["team"].one_of(teams);
  const std::string shape = n["shape"].one_of({"array", "gang", "service"});
  c.type = shape == "array" ? JobType::array : shape == "gang" ? JobType::gang : JobType::service;
  const std::string urgency = n["urgency"].one_of({"prod", "high", "normal", "low"});
  c.priority = urgency == "prod"     ? Priority::prod
               : urgency == "high"   ? Priority::high
               : urgency == "normal" ? Priority::normal
                                     : Priority::low;
  if (n.has("per_minute")) c.per_minute = n["per_minute"].number(0, 1e4);
  if (n.has("at_start")) c.at_start = n["at_start"].integer(0, 100000);
  if (n.has("tasks")) c.tasks = read_distribution(n["tasks"], 1, kMaxTasksPerJob);
  if (c.type != JobType::service) c.run_s = read_duration_distribution(n["run"]);
  if (n.has("estimate")) c.estimate = read_distribution(n["estimate"], 0.01, 100);
  c.resources = read_resources(n);
  if (n.has("image_gb")) c.image_gb = read_distribution(n["image_gb"], 0, 1e4);
  if (n.has("images")) c.images = n["images"].integer(1, 100000);
  if (n.has("spot")) c.spot_allowed = n["spot"].boolean();
  if (n.has("same_place")) c.single_zone = n["same_place"].boolean();
  if (n.has("scatter")) c.spread_zones = n["scatter"].boolean();
  if (n.has("saves_every")) c.checkpoint_interval = n["saves_every"].duration();
  if (n.has("save")) c.checkpoint_time = n["save"].duration();
  if (n.has("due")) {
    ConfigNode due = n["due"];
    c.deadline_factor = due["times"].number(0.01, 1000);
    if (due.has("plus")) c.deadline_extra = due["plus"].duration();
    due.reject_unknown_fields();
  }
  if (n.has("withdrawn")) c.cancelled_share = n["withdrawn"].number(0, 1);
  if (n.has("layout")) c.layout = read_layout(n["layout"]);
  n.reject_unknown_fields();
  return c;
}

FaultSpec read_fault(ConfigNode n) {
  FaultSpec t;
  std::vector<std::string> names;
  for (const auto& [name, help] : fault_names()) names.push_back(name);
  t.what = n["what"].one_of(names);
  t.at = n["at"].duration();
  if (n.has("lasts")) t.lasts = n["lasts"].duration();
  if (n.has("every")) t.every = n["every"].duration();
  if (n.has("whom")) t.whom = n["whom"].text();
  if (n.has("share")) t.share = n["share"].number(0, 1);
  if (n.has("count")) t.count = n["count"].integer(1, 100000);
  n.reject_unknown_fields();
  return t;
}

settings::Objective read_objective(ConfigNode n) {
  settings::Objective o;
  o.kind = n["kind"].one_of({"deadline", "finished", "wait"});
  o.job_class = n["class"].text();
  if (n.has("times")) o.deadline_factor = n["times"].number(0.01, 1000);
  if (n.has("within")) o.within = n["within"].duration();
  if (o.kind != "deadline" && o.within.count() == 0) n.fail("has no field 'within'");
  n.reject_unknown_fields();
  return o;
}

void read_cluster(ConfigNode n, Settings& s) {
  s.report_interval = n["report"].duration();
  s.worker_lease = n["lease"].duration();
  s.gang_start_timeout = n["gang_wait"].duration();
  s.gang_peer_timeout = n["gang_peer"].duration();
  s.cancel_deadline = n["cancel"].duration();
  s.state_rps = n["state_rps"].number(1, 1e6);
  s.state_write_rps = n["state_write_rps"].number(1, 1e6);
  s.value_kb = n["value_kb"].number(1, 1024);
  s.txn_ops = static_cast<std::size_t>(n["txn_ops"].integer(4, 1000));
  s.cloud_rps = n["cloud_rps"].number(0.1, 1e4);
  s.list_lag = n["list_lag"].duration();
  s.max_sockets = n["max_sockets"].integer(64, 100000);
  n.reject_unknown_fields();
}

}  // namespace

double Distribution::draw(std::mt19937_64& random) const {
  if (p95 <= median || median <= 0) return median;
  constexpr double kZ95 = 1.6448536269514722;
  return std::lognormal_distribution<double>(std::log(median), std::log(p95 / median) / kZ95)(random);
}

const MachineSupply* Site::type(const std::string& machine_type) const {
  for (const MachineSupply& t : types) {
    if (t.type.name == machine_type) return &t;
  }
  return nullptr;
}

const std::vector<std::pair<std::string, std::string>>& fault_names() {
  static const std::vector<std::pair<std::string, std::string>> names = {
      {"controller_crash", "one controller (whom: c0, c1, c2 or leader) crashes and restarts after `lasts`"},
      {"all_crash", "all controllers crash and restart after `lasts`"},
      {"rolling_restart", "the controllers restart one after the other, at intervals of `lasts`"},
      {"controller_cut", "a controller is cut off from everything for `lasts`"},
      {"controller_stalls", "a controller stalls for `lasts` (simulated time only)"},
      {"controller_alone",
       "a controller (whom; empty: the leader) loses the state service and the other controllers, but "
       "not its workers"},
      {"controller_flickers",
       "a controller repeatedly crashes and restarts within a fraction of a second for `lasts`"},
      {"machine_deaf",
       "reports of a `share` of the machines (0: one) arrive, but answers and commands do not reach them"},
      {"machine_mute",
       "a `share` of the machines (0: one) reach no controller, but commands and queries reach them"},
      {"machine_reborn",
       "the workers of a `share` of the machines (0: one) restart at once under their old names"},
      {"late_copies", "a `share` of all requests (0: 0.2) is delivered a second time, up to 2.5 leases late"},
      {"late_writes",
       "a `share` of the transactions (0: 0.2) gets no answer and is executed once, 2 to 12 s later"},
      {"mass_cancel",
       "users cancel `count` (0: 8) running jobs with much work left, all within 0.2 s; up to eight of "
       "their machines hang for `lasts`"},
      {"lost_answers",
       "a `share` of the transactions (0: 0.2; whom: only those on keys with this prefix) is executed "
       "at once, but the answer is lost"},
      {"question_storm", "users poll their jobs eight times as often for `lasts`"},
      {"close_looks",
       "for `lasts` users poll a job at all nodes within milliseconds after it was accepted, ended or "
       "was cancelled, and repeat the submission; some cancel at once"},
      {"odd_requests",
       "for `lasts` users repeat submissions of unfinished jobs, cancel finished jobs, and submit jobs "
       "that fit no machine or lack a field"},
      {"cancel_at_end", "for `lasts` a `share` of the jobs (0: 0.2) is cancelled as its last task ends"},
      {"boots_late",
       "new machines take six times as long to boot for `lasts`, and three in ten never finish booting"},
      {"state_outage", "the state service answers 503 for `lasts`"},
      {"state_refuses", "the state service refuses one controller for `lasts`"},
      {"store_gap", "the state service refuses only the leader for a second, then every client for `lasts`"},
      {"state_slow", "answers of the state service take 300 ms longer for `lasts`"},
      {"cloud_outage", "the cloud answers 503 for `lasts`"},
      {"zone_cut", "a zone is cut off for `lasts`"},
      {"domain_cut", "a domain of the topology (whom) is cut off for `lasts`"},
      {"domain_dies", "all machines of a domain of the topology (whom) die with all their tasks"},
      {"machine_dies", "a `share` of the machines (0: one) die with all their tasks"},
      {"machine_hangs", "a `share` of the machines (0: one) hang for `lasts`"},
      {"spot_wave", "a `share` of the spot machines are reclaimed with a notice of `lasts`"},
  };
  return names;
}

Site parse_site(const std::string& yaml, const std::string& file) {
  ConfigNode top = ConfigNode::root(yaml, file);
  Site site;
  Settings& s = site.settings;
  site.name = top["name"].text();
  if (top.has("length")) site.length = top["length"].duration();
  for (const ConfigNode& z : top["zones"].items()) s.zones.push_back(z.text());
  if (s.zones.empty()) top["zones"].fail("must name at least one zone");
  for (auto& [name, n] : top["teams"].entries()) {
    settings::Team t;
    t.name = name;
    if (n.has("cores")) t.cores = n["cores"].number(0, 1e9);
    if (n.has("cores_max")) t.cores_max = n["cores_max"].number(0, 1e9);
    if (n.has("cards")) t.gpus = n["cards"].number(0, 1e9);
    if (n.has("cards_max")) t.gpus_max = n["cards_max"].number(0, 1e9);
    n.reject_unknown_fields();
    s.teams.push_back(t);
  }
  if (s.teams.empty()) top["teams"].fail("must name at least one team");
  for (auto& [name, n] : top["types"].entries()) site.types.push_back(read_type(name, n, s.zones));
  if (site.types.empty()) top["types"].fail("must name at least one machine type");
  if (top.has("machines")) site.machines = top["machines"].integer(0, 100000);
  read_cluster(top["limits"], s);
  if (top.has("classes")) {
    for (auto& [name, n] : top["classes"].entries()) site.classes.push_back(read_class(name, n, s));
  }
  if (top.has("aims")) {
    for (const ConfigNode& n : top["aims"].items()) s.objectives.push_back(read_objective(n));
  }
  if (top.has("troubles")) {
    for (const ConfigNode& n : top["troubles"].items()) site.faults.push_back(read_fault(n));
  }
  if (top.has("topology")) {
    site.topology_text = top["topology"].text();
    site.topology = topology::Topology::parse(site.topology_text, file + " (topology)");
  }
  top.reject_unknown_fields();
  return site;
}

Site load_site(const std::string& path) {
  return parse_site(read_text(path), path);
}

const char* small_site_yaml() {
  return R"(name: small
length: 5m
zones: [a, b]
teams:
  red: {cores: 32, cores_max: 96}
  blue: {}
types:
  small: {cores: 16, memory_gb: 64, cache_gb: 30, pull_gb_per_s: 1, price: 1, spot_price: 0.3, boot: 4s,
          spot_per_zone: 8, ordinary_per_zone: 4}
  large: {cores: 64, cards: 4, memory_gb: 256, cache_gb: 50, pull_gb_per_s: 1, price: 4, spot_price: 1.1,
          boot: 6s, zones: [a], spot_per_zone: 3, ordinary_per_zone: 2}
machines: 4
limits: {report: 1s, lease: 10s, gang_wait: 20s, gang_peer: 3s, cancel: 30s, state_rps: 200, state_write_rps: 40,
         value_kb: 16, txn_ops: 16, cloud_rps: 4, list_lag: 4s, max_sockets: 600}
classes:
  builds: {shape: array, urgency: normal, per_minute: 6, at_start: 2, tasks: {median: 6, p95: 20},
           run: {median: 12s, p95: 25s}, estimate: {median: 1, p95: 1.5}, cores: 4, memory_gb: 4, image_gb: 2, images: 4,
           spot: true, due: {times: 3, plus: 30s}}
  fixes: {team: red, shape: array, urgency: high, per_minute: 4, at_start: 1, tasks: {median: 3, p95: 8},
          run: {median: 6s, p95: 12s}, cores: 2, memory_gb: 2, image_gb: 1, images: 2, spot: true, due: {times: 3, plus: 20s}}
  training: {team: red, shape: gang, urgency: normal, per_minute: 0.5, tasks: 3, run: 15s, cores: 8, memory_gb: 8,
             image_gb: 3, same_place: true, spot: true, saves_every: 5s, save: 1s}
  watch: {team: blue, shape: service, urgency: prod, at_start: 1, tasks: 2, cores: 2, memory_gb: 2, image_gb: 1,
          scatter: true}
aims:
  - {kind: deadline, class: builds, times: 1}
  - {kind: wait, class: fixes, within: 20s}
)";
}

}  // namespace wrenusher::testbed

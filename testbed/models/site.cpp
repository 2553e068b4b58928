#include "wrenusher/testbed/site.hpp"

#include <cmath>

namespace wrenusher::testbed {

namespace {

using config_reader::ConfigNode;

/// A number, or {median: , p95: }.
Distribution read_spread(ConfigNode n, double least, double most) {
  if (!n.is_map()) {
    const double fixed = n.number(least, most);
    return {fixed, fixed};
  }
  Distribution s;
  s.median = n["median"].number(least, most);
  s.p95 = n["p95"].number(s.median, most);
  n.reject_unknown_fields();
  return s;
}

Distribution read_spread_of_time(ConfigNode n) {
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

Resources read_needs(ConfigNode& n) {
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
  f.capacity = read_needs(n);
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
  if (n.has("tasks")) c.tasks = read_spread(n["tasks"], 1, kMaxTasksPerJob);
  if (c.type != JobType::service) c.run_s = read_spread_of_time(n["run"]);
  if (n.has("estimate")) c.estimate = read_spread(n["estimate"], 0.01, 100);
  c.resources = read_needs(n);
  if (n.has("image_gb")) c.image_gb = read_spread(n["image_gb"], 0, 1e4);
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

settings::Objective read_aim(ConfigNode n) {
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
      {"controller_crash", "one controller ends (whom: c0, c1, c2 or leader) and is back after `lasts`"},
      {"all_crash", "all controllers end and are back after `lasts`"},
      {"rolling_restart", "one controller after the other ends, `lasts` apart"},
      {"controller_cut", "a controller is cut off from everything for `lasts`"},
      {"controller_stalls", "a controller stands still for `lasts` (simulated time only)"},
      {"controller_alone",
       "a controller (whom; the leader) loses state service and other controllers, not its workers"},
      {"controller_flickers",
       "a controller ends and is back within a fraction of a second, again and again for `lasts`"},
      {"machine_deaf", "reports of a `share` of the machines (0: one) arrive, answers and orders do not"},
      {"machine_mute",
       "a `share` of the machines (0: one) reach no controller, though orders and questions reach them"},
      {"machine_reborn", "a `share` of the machines (0: one) begin anew under their names, at once"},
      {"late_copies", "a `share` of all requests (0: 0.2) comes once more, up to 2.5 leases late"},
      {"late_writes",
       "a `share` of the transactions (0: 0.2) gets no answer and is carried out 2 to 12 s later, once"},
      {"mass_cancel",
       "users cancel `count` (8) jobs that run and have long to go, all within a fifth of a second; up to "
       "eight of their machines hang for `lasts`"},
      {"lost_answers",
       "a `share` of the transactions (0: 0.2; whom: of those on keys that begin so) is carried out at once, "
       "and the answer alone is lost"},
      {"question_storm", "users ask about their jobs eight times as often for `lasts`"},
      {"close_looks",
       "for `lasts` users ask at all nodes, within milliseconds, once a job was accepted, is over or "
       "cancelled, "
       "and repeat the submission; some cancel at once"},
      {"odd_requests",
       "for `lasts` users repeat submissions of unfinished jobs, cancel done ones, and send jobs that fit "
       "nothing or lack a field"},
      {"cancel_at_end", "for `lasts` a `share` of the jobs (0: 0.2) is cancelled as its last task ends"},
      {"boots_late", "new machines take six times as long for `lasts`, three in ten never come up"},
      {"state_outage", "the state service answers 503 for `lasts`"},
      {"state_refuses", "the state service refuses one controller for `lasts`"},
      {"store_gap", "the state service refuses the leader alone for a second, then everybody for `lasts`"},
      {"state_slow", "answers of the state service take 300 ms longer for `lasts`"},
      {"cloud_outage", "the cloud answers 503 for `lasts`"},
      {"zone_cut", "a zone is cut off for `lasts`"},
      {"domain_cut", "a domain of the topology (whom) is cut off for `lasts`"},
      {"domain_dies", "all machines of a domain of the topology (whom) stop with all that is on them"},
      {"machine_dies", "a `share` of the machines (0: one) stop with all that is on them"},
      {"machine_hangs", "a `share` of the machines (0: one) hang for `lasts`"},
      {"spot_wave", "a `share` of the spot machines are taken back, with `lasts` of notice"},
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
    for (const ConfigNode& n : top["aims"].items()) s.objectives.push_back(read_aim(n));
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

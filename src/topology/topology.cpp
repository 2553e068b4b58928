#include "wrenusher/topology/topology.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <set>

namespace wrenusher::topology {

namespace {

using fields::Node;

constexpr int kMostVersion = 1000000000;
constexpr std::size_t kMostLevels = 16;
constexpr std::size_t kMostDomains = 20000;

std::string dotted(std::uint32_t ip) {
  return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "." +
         std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
}

bool exact(const std::string& pattern) {
  return !pattern.empty() && pattern.find_first_of("*?") == std::string::npos;
}

std::pair<std::uint32_t, std::uint32_t> read_range(const Node& n) {
  const std::string text = n.text();
  const auto slash = text.find('/');
  const auto ip = fields::parse_ipv4(text.substr(0, slash));
  int bits = 32;
  char more = 0;
  if (!ip || (slash != std::string::npos &&
              (std::sscanf(text.c_str() + slash + 1, "%2d%c", &bits, &more) != 1 || bits < 0 || bits > 32)))
    n.fail("must be an IPv4 address or range, like 10.1.0.0/24");
  const std::uint32_t host = bits == 0 ? ~0U : bits == 32 ? 0U : ~0U >> static_cast<unsigned>(bits);
  if ((*ip & host) != 0)
    n.fail("has bits set behind the /" + std::to_string(bits) + "; is " + dotted(*ip & ~host) + " meant?");
  return {*ip, *ip | host};
}

/// What is left in the map is the caller's.
Pattern read_pattern(Node& n) {
  Pattern p;
  p.line = n.line();
  const auto add = [&](const char* key, const std::string& value) {
    p.text += (p.text.empty() ? "" : " ") + std::string(key) + " " + value;
  };
  if (n.has("addr")) {
    p.addr = read_range(n["addr"]);
    add("addr", n["addr"].text());
  }
  if (n.has("host")) add("host", p.host = n["host"].text());
  if (n.has("type")) add("type", p.flavor = n["type"].text());
  if (n.has("zone")) add("zone", p.site = n["zone"].text());
  if (p.text.empty()) n.fail("says nothing of the machines: give addr, host, type or zone");
  return p;
}

}  // namespace

std::optional<std::uint32_t> parse_ip(const std::string& text) {
  return fields::parse_ipv4(text.substr(0, text.find(':')));
}

bool glob(const std::string& pattern, const std::string& name) {
  // One * to go back to is enough: a later one makes the earlier free.
  std::size_t p = 0, n = 0, star = std::string::npos, from = 0;
  while (n < name.size()) {
    if (p < pattern.size() && (pattern[p] == '?' || (pattern[p] == name[n] && pattern[p] != '*'))) {
      ++p;
      ++n;
    } else if (p < pattern.size() && pattern[p] == '*') {
      star = p++;
      from = n;
    } else if (star != std::string::npos) {
      p = star + 1;
      n = ++from;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '*') ++p;
  return p == pattern.size();
}

bool globs_meet(const std::string& a, const std::string& b) {
  // reach[j]: some text matches a up to here and b up to j.
  std::vector<bool> reach(b.size() + 1);
  for (std::size_t i = 0; i <= a.size(); ++i) {
    std::vector<bool> next(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
      bool r = i == 0 && j == 0;
      if (i > 0 && a[i - 1] == '*') r = r || reach[j];
      if (j > 0 && b[j - 1] == '*') r = r || next[j - 1];
      if (i > 0 && j > 0) {
        const char x = a[i - 1];
        const char y = b[j - 1];
        // A * on either side also takes one character of the other and stays.
        if (x == '*') r = r || next[j - 1];
        if (y == '*') r = r || reach[j];
        if (x != '*' && y != '*' && (x == y || x == '?' || y == '?')) r = r || reach[j - 1];
      }
      next[j] = r;
    }
    reach = std::move(next);
  }
  return reach[b.size()];
}

bool Pattern::matches(const std::string& host_name, std::uint32_t ip, const std::string& type,
                      const std::string& zone) const {
  if (addr && (ip < addr->first || ip > addr->second)) return false;
  if (!flavor.empty() && flavor != type) return false;
  if (!site.empty() && site != zone) return false;
  return host.empty() || glob(host, host_name);
}

bool Pattern::meets(const Pattern& o) const {
  // An address goes before a name, so that of the two one is always right.
  if (addr.has_value() != o.addr.has_value()) return false;
  if (addr && o.addr && (addr->second < o.addr->first || o.addr->second < addr->first)) return false;
  if (!flavor.empty() && !o.flavor.empty() && flavor != o.flavor) return false;
  if (!site.empty() && !o.site.empty() && site != o.site) return false;
  return host.empty() || o.host.empty() || globs_meet(host, o.host);
}

std::optional<std::uint64_t> Pattern::most() const {
  if (exact(host)) return 1;
  if (addr) return std::uint64_t{addr->second} - addr->first + 1;
  return std::nullopt;
}

bool Pattern::may_come(const std::string& type, const std::string& zone) const {
  if (exact(host) || (addr && addr->first == addr->second)) return false;
  return (flavor.empty() || flavor == type) && (site.empty() || site == zone);
}

std::string to_text(const Edition& e) {
  if (e.version == 0) return "none";
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(e.digest));
  return std::to_string(e.version) + " (" + digest + ")";
}

// ---------------------------------------------------------------- reading

std::shared_ptr<const Topology> Topology::parse(const std::string& yaml, const std::string& file) {
  Node top = Node::root(yaml, file);
  auto t = std::make_shared<Topology>();
  t->edition_ = {static_cast<std::uint64_t>(top["version"].whole(1, kMostVersion)),
                 XXH3_64bits(yaml.data(), yaml.size())};
  std::set<std::string> names;
  for (const Node& n : top["levels"].items()) {
    t->levels_.push_back(n.text());
    if (!names.insert(n.text()).second) n.fail("the level '" + n.text() + "' is there twice");
  }
  if (t->levels_.empty() || t->levels_.size() > kMostLevels) top["levels"].fail("must name 1 to 16 levels");
  t->domains_.emplace_back();
  t->domains_[kNowhere].name = "nowhere";
  t->read_domains(top);
  if (top.has("devices")) t->read_devices(top);
  top.no_more();
  t->check_overlaps(file);
  t->index();
  return t;
}

void Topology::read_domains(Node& top) {
  std::map<std::string, DomainId> ids;
  std::map<std::string, Node> nodes;
  auto entries = top["domains"].entries();
  if (entries.size() > kMostDomains) top["domains"].fail("must be 20000 at most");
  for (auto& [name, n] : entries) {
    Domain d;
    d.name = name;
    d.line = n.line();
    const std::string level_name = n["level"].text();
    d.level = level(level_name);
    if (d.level < 0) n["level"].fail("'" + level_name + "' is none of the levels");
    if (n.has("machines")) {
      for (Node& m : n["machines"].items()) {
        d.machines.push_back(read_pattern(m));
        m.no_more();
      }
    }
    n.has("in");
    n.no_more();
    ids[name] = static_cast<DomainId>(domains_.size());
    nodes.emplace(name, n);
    domains_.push_back(std::move(d));
  }
  for (auto& [name, n] : nodes) {
    if (!n.has("in")) continue;
    const std::string parent = n["in"].text();
    const auto it = ids.find(parent);
    if (it == ids.end()) n["in"].fail("there is no domain '" + parent + "'");
    domains_[ids[name]].in = it->second;
    domains_[it->second].inside.push_back(ids[name]);
  }
  check_tree(nodes);
}

void Topology::check_tree(const std::map<std::string, Node>& nodes) {
  for (DomainId id = 1; id < domains_.size(); ++id) {
    Domain& d = domains_[id];
    const Node& n = nodes.at(d.name);
    std::sort(d.inside.begin(), d.inside.end());
    std::string way = d.name;
    std::size_t steps = 0;
    for (DomainId up = d.in; up != kNowhere; up = domains_[up].in) {
      way += " > " + domains_[up].name;
      if (up == id) n.fail("is inside itself: " + way);
      // A circle further up is told where it is.
      if (++steps > domains_.size()) break;
    }
    if (steps > domains_.size()) continue;
    if (d.in != kNowhere && domains_[d.in].level >= d.level)
      n.fail("a " + level_of(id) + " cannot be inside '" + domains_[d.in].name + "', a " + level_of(d.in));
    if (!d.inside.empty() && !d.machines.empty())
      n.fail("has machines of its own and '" + domains_[d.inside.front()].name +
             "' inside: machines belong to the innermost domain");
  }
}

void Topology::read_devices(Node& top) {
  for (auto& [name, n] : top["devices"].entries()) {
    std::vector<Device>& where = devices_[name];
    for (Node& m : n.items()) {
      Device d;
      d.count = static_cast<std::uint32_t>(m["count"].whole(1, 1000));
      d.on = read_pattern(m);
      m.no_more();
      for (const Device& other : where) {
        if (other.on.meets(d.on))
          m.fail("may be the same machine as line " + std::to_string(other.on.line) +
                 ": how many it has is said once");
      }
      where.push_back(std::move(d));
    }
    if (where.empty()) n.fail("is on no machine");
  }
}

void Topology::check_overlaps(const std::string& file) const {
  std::vector<std::pair<DomainId, const Pattern*>> all;
  for (DomainId id = 1; id < domains_.size(); ++id) {
    for (const Pattern& p : domains_[id].machines) all.emplace_back(id, &p);
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      if (all[i].first == all[k].first || !all[i].second->meets(*all[k].second)) continue;
      throw fields::FieldError(file + ":" + std::to_string(all[i].second->line) + ": domains." +
                               domains_[all[i].first].name + ": '" + all[i].second->text + "' overlaps '" +
                               all[k].second->text + "' of " + domains_[all[k].first].name + ", line " +
                               std::to_string(all[k].second->line));
    }
  }
}

void Topology::index() {
  for (DomainId id = 1; id < domains_.size(); ++id) {
    for (const Pattern& p : domains_[id].machines) {
      if (p.addr) {
        ranged_.push_back({p.addr->first, p.addr->second, 0, id, &p});
      } else {
        others_.emplace_back(id, &p);
      }
    }
  }
  std::sort(ranged_.begin(), ranged_.end(), [](const Ranged& a, const Ranged& b) {
    return std::tuple(a.first, a.last, a.leaf) < std::tuple(b.first, b.last, b.leaf);
  });
  std::uint32_t last = 0;
  for (Ranged& r : ranged_) r.last_so_far = last = std::max(last, r.last);
}

// ---------------------------------------------------------------- asking

int Topology::level(const std::string& name) const {
  const auto it = std::find(levels_.begin(), levels_.end(), name);
  return it == levels_.end() ? -1 : static_cast<int>(it - levels_.begin());
}

const std::string& Topology::level_of(DomainId id) const {
  return levels_.at(static_cast<std::size_t>(domains_.at(id).level));
}

std::string Topology::path(DomainId id) const {
  if (id == kNowhere) return "no known domain";
  std::string out = domains_.at(id).name;
  for (DomainId up = domains_[id].in; up != kNowhere; up = domains_[up].in)
    out = domains_[up].name + " > " + out;
  return out;
}

DomainId Topology::above(DomainId id, int level) const {
  while (id != kNowhere && domains_.at(id).level != level) id = domains_[id].in;
  return id;
}

Place Topology::find(const std::string& host, const std::string& addr, const std::string& flavor,
                     const std::string& site) const {
  const std::uint32_t ip = parse_ip(addr).value_or(0);
  Place out;
  auto it = std::upper_bound(ranged_.begin(), ranged_.end(), ip,
                             [](std::uint32_t x, const Ranged& r) { return x < r.first; });
  while (out.leaf == kNowhere && it != ranged_.begin()) {
    --it;
    if (it->last_so_far < ip) break;
    if (it->pattern->matches(host, ip, flavor, site)) out.leaf = it->leaf;
  }
  for (std::size_t i = 0; out.leaf == kNowhere && i < others_.size(); ++i) {
    if (others_[i].second->matches(host, ip, flavor, site)) out.leaf = others_[i].first;
  }
  if (out.leaf != kNowhere) {
    out.by_level.assign(levels_.size(), kNowhere);
    for (DomainId id = out.leaf; id != kNowhere; id = domains_[id].in)
      out.by_level[static_cast<std::size_t>(domains_[id].level)] = id;
  }
  for (const auto& [name, where] : devices_) {
    for (const Device& d : where) {
      if (!d.on.matches(host, ip, flavor, site)) continue;
      out.devices[name] = d.count;
      if (d.on.addr) break;
    }
  }
  return out;
}

std::vector<DomainId> Topology::leaves(DomainId id) const {
  std::vector<DomainId> out;
  std::vector<DomainId> open{id};
  while (!open.empty()) {
    const DomainId at = open.back();
    open.pop_back();
    const Domain& d = domains_.at(at);
    if (d.inside.empty()) out.push_back(at);
    open.insert(open.end(), d.inside.begin(), d.inside.end());
  }
  return out;
}

bool Topology::may_come(DomainId id, const std::string& flavor, const std::string& site) const {
  for (const DomainId leaf : leaves(id)) {
    for (const Pattern& p : domains_[leaf].machines) {
      if (p.may_come(flavor, site)) return true;
    }
  }
  return false;
}

bool Topology::may_bring(const std::string& device, const std::string& flavor,
                         const std::string& site) const {
  const auto it = devices_.find(device);
  return it != devices_.end() && std::any_of(it->second.begin(), it->second.end(),
                                             [&](const Device& d) { return d.on.may_come(flavor, site); });
}

// ---------------------------------------------------------------- what can never hold

std::optional<Fault> Topology::spread_never_holds(const JobSpec& spec) const {
  const Layout::Spread& s = *spec.layout->spread;
  const int l = level(s.level);
  if (l < 0) return Fault{"layout.spread.level", "there is no level '" + s.level + "' in the topology"};
  // An array may take turns; what runs as a whole needs all its places at once. Machines of no known domain
  // are not counted on.
  if (!s.must || spec.shape == Shape::sweep) return std::nullopt;
  const auto there = static_cast<std::uint64_t>(
      std::count_if(domains_.begin() + 1, domains_.end(), [&](const Domain& d) { return d.level == l; }));
  if (there * s.limit(spec.units) >= spec.units) return std::nullopt;
  return Fault{"layout.spread", std::to_string(spec.units) + " tasks, at most " +
                                    std::to_string(s.limit(spec.units)) + " in one " + s.level +
                                    ", need more than the " + std::to_string(there) + " there are"};
}

std::optional<std::uint64_t> Topology::capacity(DomainId id, const JobSpec& spec,
                                                const Catalog& catalog) const {
  std::uint64_t sum = 0;
  for (const DomainId leaf : leaves(id)) {
    for (const Pattern& p : domains_[leaf].machines) {
      if (!p.site.empty() && !spec.site.empty() && p.site != spec.site) continue;
      std::uint64_t each = 0;
      for (const auto& [name, f] : catalog) {
        if (!p.flavor.empty() && p.flavor != name) continue;
        if (!spec.flavors.empty() &&
            std::find(spec.flavors.begin(), spec.flavors.end(), name) == spec.flavors.end())
          continue;
        each = std::max<std::uint64_t>(each, count_fitting(spec.needs, f.room, spec.units));
      }
      const auto machines = p.most();
      if (each > 0 && !machines) return std::nullopt;
      if (each > 0) sum += each * *machines;
    }
  }
  return sum;
}

std::optional<Fault> Topology::together_never_holds(const JobSpec& spec, const Catalog& catalog) const {
  const Layout::Together& t = *spec.layout->together;
  const int l = level(t.level);
  if (l < 0) return Fault{"layout.together.level", "there is no level '" + t.level + "' in the topology"};
  if (!t.must) return std::nullopt;
  const std::uint32_t at_once = spec.shape == Shape::sweep ? 1 : spec.units;
  const auto& spread = spec.layout->spread;
  if (spread && spread->must && level(spread->level) <= l && spread->limit(spec.units) < at_once)
    return Fault{"layout.together",
                 "all tasks in one " + t.level + " are more than 'spread' allows in one " + spread->level};
  std::uint64_t most = 0;
  for (DomainId id = 1; id < domains_.size(); ++id) {
    if (domains_[id].level != l) continue;
    const auto n = capacity(id, spec, catalog);
    if (!n || *n >= at_once) return std::nullopt;
    most = std::max(most, *n);
  }
  return Fault{"layout.together", std::to_string(at_once) + " of its tasks must be in one " + t.level +
                                      ", and the largest holds " + std::to_string(most)};
}

std::optional<Fault> Topology::devices_never_hold(const JobSpec& spec) const {
  for (const auto& [name, n] : spec.layout->devices) {
    const auto it = devices_.find(name);
    if (it == devices_.end())
      return Fault{"layout.devices", "there is no device '" + name + "' in the topology"};
    std::uint64_t at_once = 0;
    bool bounded = true;
    for (const Device& d : it->second) {
      const auto machines = d.on.most();
      bounded = bounded && machines.has_value();
      at_once += d.count / n * machines.value_or(1);
    }
    const std::uint64_t wanted = spec.shape == Shape::sweep ? 1 : spec.units;
    if (at_once == 0)
      return Fault{"layout.devices", "no machine has " + std::to_string(n) + " of '" + name + "'"};
    if (bounded && at_once < wanted)
      return Fault{"layout.devices", "all its tasks together need more of '" + name + "' than there are"};
  }
  return std::nullopt;
}

std::optional<Fault> Topology::never_holds(const JobSpec& spec, const Catalog& catalog) const {
  if (!spec.layout) return std::nullopt;
  if (spec.layout->spread) {
    if (auto f = spread_never_holds(spec)) return f;
  }
  if (spec.layout->together) {
    if (auto f = together_never_holds(spec, catalog)) return f;
  }
  return devices_never_hold(spec);
}

// ---------------------------------------------------------------- for people

std::string Topology::describe() const {
  const auto machines = [](const Pattern& p) {
    std::string out = "    " + p.text;
    if (p.addr) out += ": " + dotted(p.addr->first) + " to " + dotted(p.addr->second);
    const auto n = p.most();
    return out + (n ? ", " + std::to_string(*n) + (*n == 1 ? " machine" : " machines") + " at most" : "") +
           "\n";
  };
  std::string out = "topology version " + to_text(edition_) + "\n";
  for (std::size_t l = 0; l < levels_.size(); ++l) {
    const auto n = std::count_if(domains_.begin() + 1, domains_.end(),
                                 [&](const Domain& d) { return d.level == static_cast<int>(l); });
    out += "  level " + levels_[l] + ": " + std::to_string(n) + "\n";
  }
  for (DomainId id = 1; id < domains_.size(); ++id) {
    const Domain& d = domains_[id];
    if (!d.inside.empty()) continue;
    out += "  " + level_of(id) + " " + path(id) + (d.machines.empty() ? ": no machines\n" : "\n");
    for (const Pattern& p : d.machines) out += machines(p);
  }
  for (const auto& [name, where] : devices_) {
    out += "  device " + name + "\n";
    for (const Device& d : where) {
      std::string line = machines(d.on);
      line.pop_back();
      out += line + ", " + std::to_string(d.count) + " on each\n";
    }
  }
  return out;
}

}  // namespace wrenusher::topology

#include "wrenusher/topology/topology.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <set>

namespace wrenusher::topology {

namespace {

using config_reader::ConfigNode;

constexpr int kMaxVersion = 1000000000;
constexpr std::size_t kMaxLevels = 16;
constexpr std::size_t kMaxDomains = 20000;

std::string dotted(std::uint32_t ip) {
  return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "." +
         std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
}

bool is_exact_name(const std::string& pattern) {
  return !pattern.empty() && pattern.find_first_of("*?") == std::string::npos;
}

std::pair<std::uint32_t, std::uint32_t> read_range(const ConfigNode& node) {
  const std::string text = node.text();
  const auto slash = text.find('/');
  const auto ip = config_reader::parse_ipv4(text.substr(0, slash));
  int bits = 32;
  char trailing = 0;
  if (!ip ||
      (slash != std::string::npos &&
       (std::sscanf(text.c_str() + slash + 1, "%2d%c", &bits, &trailing) != 1 || bits < 0 || bits > 32)))
    node.fail("must be an IPv4 address or range, like 10.1.0.0/24");
  const std::uint32_t host_bits = bits == 0 ? ~0U : bits == 32 ? 0U : ~0U >> static_cast<unsigned>(bits);
  if ((*ip & host_bits) != 0)
    node.fail("has bits set behind the /" + std::to_string(bits) + "; is " + dotted(*ip & ~host_bits) +
              " meant?");
  return {*ip, *ip | host_bits};
}

/// Reads the pattern fields of a map. The caller reads its other fields and rejects unknown ones.
Pattern read_pattern(ConfigNode& node) {
  Pattern pattern;
  pattern.line = node.line();
  const auto add = [&](const char* key, const std::string& value) {
    pattern.text += (pattern.text.empty() ? "" : " ") + std::string(key) + " " + value;
  };
  if (node.has("addr")) {
    pattern.addresses = read_range(node["addr"]);
    add("addr", node["addr"].text());
  }
  if (node.has("host")) add("host", pattern.host = node["host"].text());
  if (node.has("type")) add("type", pattern.machine_type = node["type"].text());
  if (node.has("zone")) add("zone", pattern.zone = node["zone"].text());
  if (pattern.text.empty()) node.fail("says nothing of the machines: give addr, host, type or zone");
  return pattern;
}

}  // namespace

std::optional<std::uint32_t> parse_ip(const std::string& text) {
  return config_reader::parse_ipv4(text.substr(0, text.find(':')));
}

bool glob(const std::string& pattern, const std::string& name) {
  // Backtracking to the last * is enough: once it is reached, the text matched by earlier ones is final.
  std::size_t pattern_pos = 0, name_pos = 0, star_pos = std::string::npos, star_match_end = 0;
  while (name_pos < name.size()) {
    if (pattern_pos < pattern.size() &&
        (pattern[pattern_pos] == '?' ||
         (pattern[pattern_pos] == name[name_pos] && pattern[pattern_pos] != '*'))) {
      ++pattern_pos;
      ++name_pos;
    } else if (pattern_pos < pattern.size() && pattern[pattern_pos] == '*') {
      star_pos = pattern_pos++;
      star_match_end = name_pos;
    } else if (star_pos != std::string::npos) {
      pattern_pos = star_pos + 1;
      name_pos = ++star_match_end;
    } else {
      return false;
    }
  }
  while (pattern_pos < pattern.size() && pattern[pattern_pos] == '*') ++pattern_pos;
  return pattern_pos == pattern.size();
}

bool globs_overlap(const std::string& a, const std::string& b) {
  // reachable[j]: some text matches both the first i characters of `a` and the first j characters of `b`.
  std::vector<bool> reachable(b.size() + 1);
  for (std::size_t i = 0; i <= a.size(); ++i) {
    std::vector<bool> next(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
      bool is_reachable = i == 0 && j == 0;
      if (i > 0 && a[i - 1] == '*') is_reachable = is_reachable || reachable[j];
      if (j > 0 && b[j - 1] == '*') is_reachable = is_reachable || next[j - 1];
      if (i > 0 && j > 0) {
        const char char_a = a[i - 1];
        const char char_b = b[j - 1];
        // A * on one side may also consume one character of the other side and remain active.
        if (char_a == '*') is_reachable = is_reachable || next[j - 1];
        if (char_b == '*') is_reachable = is_reachable || reachable[j];
        if (char_a != '*' && char_b != '*' && (char_a == char_b || char_a == '?' || char_b == '?'))
          is_reachable = is_reachable || reachable[j - 1];
      }
      next[j] = is_reachable;
    }
    reachable = std::move(next);
  }
  return reachable[b.size()];
}

bool Pattern::matches(const std::string& host_name, std::uint32_t ip, const std::string& type,
                      const std::string& machine_zone) const {
  if (addresses && (ip < addresses->first || ip > addresses->second)) return false;
  if (!machine_type.empty() && machine_type != type) return false;
  if (!zone.empty() && zone != machine_zone) return false;
  return host.empty() || glob(host, host_name);
}

bool Pattern::overlaps(const Pattern& other) const {
  // A pattern with an address has priority over one without, so the two are never ambiguous.
  if (addresses.has_value() != other.addresses.has_value()) return false;
  if (addresses && other.addresses &&
      (addresses->second < other.addresses->first || other.addresses->second < addresses->first))
    return false;
  if (!machine_type.empty() && !other.machine_type.empty() && machine_type != other.machine_type)
    return false;
  if (!zone.empty() && !other.zone.empty() && zone != other.zone) return false;
  return host.empty() || other.host.empty() || globs_overlap(host, other.host);
}

std::optional<std::uint64_t> Pattern::max_machines() const {
  if (is_exact_name(host)) return 1;
  if (addresses) return std::uint64_t{addresses->second} - addresses->first + 1;
  return std::nullopt;
}

bool Pattern::may_match_rental(const std::string& type, const std::string& machine_zone) const {
  if (is_exact_name(host) || (addresses && addresses->first == addresses->second)) return false;
  return (machine_type.empty() || machine_type == type) && (zone.empty() || zone == machine_zone);
}

std::string to_text(const TopologyVersion& version) {
  if (version.version == 0) return "none";
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(version.digest));
  return std::to_string(version.version) + " (" + digest + ")";
}

// ---------------------------------------------------------------- parsing

std::shared_ptr<const Topology> Topology::parse(const std::string& yaml, const std::string& file) {
  ConfigNode top = ConfigNode::root(yaml, file);
  auto topology = std::make_shared<Topology>();
  topology->version_ = {static_cast<std::uint64_t>(top["version"].integer(1, kMaxVersion)),
                        XXH3_64bits(yaml.data(), yaml.size())};
  std::set<std::string> names;
  for (const ConfigNode& node : top["levels"].items()) {
    topology->levels_.push_back(node.text());
    if (!names.insert(node.text()).second) node.fail("the level '" + node.text() + "' occurs twice");
  }
  if (topology->levels_.empty() || topology->levels_.size() > kMaxLevels)
    top["levels"].fail("must name 1 to 16 levels");
  topology->domains_.emplace_back();
  topology->domains_[kNoDomain].name = "nowhere";
  topology->read_domains(top);
  if (top.has("devices")) topology->read_devices(top);
  top.reject_unknown_fields();
  topology->check_overlaps(file);
  topology->index();
  return topology;
}

void Topology::read_domains(ConfigNode& top) {
  std::map<std::string, DomainId> ids;
  std::map<std::string, ConfigNode> nodes;
  auto entries = top["domains"].entries();
  if (entries.size() > kMaxDomains) top["domains"].fail("must have at most 20000 entries");
  for (auto& [name, node] : entries) {
    Domain domain;
    domain.name = name;
    domain.line = node.line();
    const std::string level_name = node["level"].text();
    domain.level = level(level_name);
    if (domain.level < 0) node["level"].fail("'" + level_name + "' is none of the levels");
    if (node.has("machines")) {
      for (ConfigNode& pattern_node : node["machines"].items()) {
        domain.machines.push_back(read_pattern(pattern_node));
        pattern_node.reject_unknown_fields();
      }
    }
    node.has("in");
    node.reject_unknown_fields();
    ids[name] = static_cast<DomainId>(domains_.size());
    nodes.emplace(name, node);
    domains_.push_back(std::move(domain));
  }
  for (auto& [name, node] : nodes) {
    if (!node.has("in")) continue;
    const std::string parent = node["in"].text();
    const auto it = ids.find(parent);
    if (it == ids.end()) node["in"].fail("there is no domain '" + parent + "'");
    domains_[ids[name]].parent = it->second;
    domains_[it->second].children.push_back(ids[name]);
  }
  check_tree(nodes);
}

void Topology::check_tree(const std::map<std::string, ConfigNode>& nodes) {
  for (DomainId id = 1; id < domains_.size(); ++id) {
    Domain& domain = domains_[id];
    const ConfigNode& node = nodes.at(domain.name);
    std::sort(domain.children.begin(), domain.children.end());
    std::string cycle_path = domain.name;
    std::size_t steps = 0;
    for (DomainId parent = domain.parent; parent != kNoDomain; parent = domains_[parent].parent) {
      cycle_path += " > " + domains_[parent].name;
      if (parent == id) node.fail("is inside itself: " + cycle_path);
      // A cycle that does not contain this domain is reported at one of its own domains.
      if (++steps > domains_.size()) break;
    }
    if (steps > domains_.size()) continue;
    if (domain.parent != kNoDomain && domains_[domain.parent].level >= domain.level)
      node.fail("a " + level_of(id) + " cannot be inside '" + domains_[domain.parent].name + "', a " +
                level_of(domain.parent));
    if (!domain.children.empty() && !domain.machines.empty())
      node.fail("has machines of its own and '" + domains_[domain.children.front()].name +
                "' inside: machines belong to the innermost domain");
  }
}

void Topology::read_devices(ConfigNode& top) {
  for (auto& [name, node] : top["devices"].entries()) {
    std::vector<Device>& device_list = devices_[name];
    for (ConfigNode& entry : node.items()) {
      Device device;
      device.count = static_cast<std::uint32_t>(entry["count"].integer(1, 1000));
      device.machines = read_pattern(entry);
      entry.reject_unknown_fields();
      for (const Device& other : device_list) {
        if (other.machines.overlaps(device.machines))
          entry.fail("may be the same machine as line " + std::to_string(other.machines.line) +
                     ": how many it has is said once");
      }
      device_list.push_back(std::move(device));
    }
    if (device_list.empty()) node.fail("is on no machine");
  }
}

void Topology::check_overlaps(const std::string& file) const {
  std::vector<std::pair<DomainId, const Pattern*>> all;
  for (DomainId id = 1; id < domains_.size(); ++id) {
    for (const Pattern& pattern : domains_[id].machines) all.emplace_back(id, &pattern);
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      if (all[i].first == all[k].first || !all[i].second->overlaps(*all[k].second)) continue;
      throw config_reader::ConfigError(
          file + ":" + std::to_string(all[i].second->line) + ": domains." + domains_[all[i].first].name +
          ": '" + all[i].second->text + "' overlaps '" + all[k].second->text + "' of " +
          domains_[all[k].first].name + ", line " + std::to_string(all[k].second->line));
    }
  }
}

void Topology::index() {
  for (DomainId id = 1; id < domains_.size(); ++id) {
    for (const Pattern& pattern : domains_[id].machines) {
      if (pattern.addresses) {
        address_ranges_.push_back({pattern.addresses->first, pattern.addresses->second, 0, id, &pattern});
      } else {
        patterns_without_address_.emplace_back(id, &pattern);
      }
    }
  }
  std::sort(address_ranges_.begin(), address_ranges_.end(), [](const AddressRange& a, const AddressRange& b) {
    return std::tuple(a.first, a.last, a.leaf) < std::tuple(b.first, b.last, b.leaf);
  });
  std::uint32_t max_last = 0;
  for (AddressRange& range : address_ranges_) range.last_so_far = max_last = std::max(max_last, range.last);
}

// ---------------------------------------------------------------- queries

int Topology::level(const std::string& name) const {
  const auto it = std::find(levels_.begin(), levels_.end(), name);
  return it == levels_.end() ? -1 : static_cast<int>(it - levels_.begin());
}

const std::string& Topology::level_of(DomainId id) const {
  return levels_.at(static_cast<std::size_t>(domains_.at(id).level));
}

std::string Topology::path(DomainId id) const {
  if (id == kNoDomain) return "no known domain";
  std::string out = domains_.at(id).name;
  for (DomainId parent = domains_[id].parent; parent != kNoDomain; parent = domains_[parent].parent)
    out = domains_[parent].name + " > " + out;
  return out;
}

DomainId Topology::ancestor_at(DomainId id, int level) const {
  while (id != kNoDomain && domains_.at(id).level != level) id = domains_[id].parent;
  return id;
}

MachineLocation Topology::find(const std::string& host, const std::string& address,
                               const std::string& machine_type, const std::string& zone) const {
  const std::uint32_t ip = parse_ip(address).value_or(0);
  MachineLocation out;
  auto it = std::upper_bound(
      address_ranges_.begin(), address_ranges_.end(), ip,
      [](std::uint32_t wanted_ip, const AddressRange& range) { return wanted_ip < range.first; });
  while (out.leaf == kNoDomain && it != address_ranges_.begin()) {
    --it;
    if (it->last_so_far < ip) break;
    if (it->pattern->matches(host, ip, machine_type, zone)) out.leaf = it->leaf;
  }
  for (std::size_t i = 0; out.leaf == kNoDomain && i < patterns_without_address_.size(); ++i) {
    if (patterns_without_address_[i].second->matches(host, ip, machine_type, zone))
      out.leaf = patterns_without_address_[i].first;
  }
  if (out.leaf != kNoDomain) {
    out.by_level.assign(levels_.size(), kNoDomain);
    for (DomainId id = out.leaf; id != kNoDomain; id = domains_[id].parent)
      out.by_level[static_cast<std::size_t>(domains_[id].level)] = id;
  }
  for (const auto& [name, device_list] : devices_) {
    for (const Device& device : device_list) {
      if (!device.machines.matches(host, ip, machine_type, zone)) continue;
      out.devices[name] = device.count;
      if (device.machines.addresses) break;
    }
  }
  return out;
}

std::vector<DomainId> Topology::leaves(DomainId id) const {
  std::vector<DomainId> out;
  std::vector<DomainId> pending{id};
  while (!pending.empty()) {
    const DomainId current = pending.back();
    pending.pop_back();
    const Domain& domain = domains_.at(current);
    if (domain.children.empty()) out.push_back(current);
    pending.insert(pending.end(), domain.children.begin(), domain.children.end());
  }
  return out;
}

bool Topology::may_gain_machine(DomainId id, const std::string& machine_type, const std::string& zone) const {
  for (const DomainId leaf : leaves(id)) {
    for (const Pattern& pattern : domains_[leaf].machines) {
      if (pattern.may_match_rental(machine_type, zone)) return true;
    }
  }
  return false;
}

bool Topology::may_gain_device(const std::string& device, const std::string& machine_type,
                               const std::string& zone) const {
  const auto it = devices_.find(device);
  return it != devices_.end() && std::any_of(it->second.begin(), it->second.end(), [&](const Device& entry) {
           return entry.machines.may_match_rental(machine_type, zone);
         });
}

// ---------------------------------------------------------------- layouts that no placement can satisfy

std::optional<InvalidField> Topology::unsatisfiable_spread(const JobSpec& spec) const {
  const Layout::Spread& spread = *spec.layout->spread;
  const int level_index = level(spread.level);
  if (level_index < 0)
    return InvalidField{"layout.spread.level", "there is no level '" + spread.level + "' in the topology"};
  // The tasks of an array may run one after another; other jobs need all their tasks at the same time.
  // Machines that belong to no domain are not counted.
  if (!spread.required || spec.type == JobType::array) return std::nullopt;
  const auto domain_count = static_cast<std::uint64_t>(
      std::count_if(domains_.begin() + 1, domains_.end(),
                    [&](const Domain& domain) { return domain.level == level_index; }));
  if (domain_count * spread.limit(spec.task_count) >= spec.task_count) return std::nullopt;
  return InvalidField{"layout.spread", std::to_string(spec.task_count) + " tasks, at most " +
                                           std::to_string(spread.limit(spec.task_count)) + " in one " +
                                           spread.level + ", need more than the " +
                                           std::to_string(domain_count) + " there are"};
}

std::optional<std::uint64_t> Topology::capacity(DomainId id, const JobSpec& spec,
                                                const Catalog& catalog) const {
  std::uint64_t sum = 0;
  for (const DomainId leaf : leaves(id)) {
    for (const Pattern& pattern : domains_[leaf].machines) {
      if (!pattern.zone.empty() && !spec.zone.empty() && pattern.zone != spec.zone) continue;
      std::uint64_t tasks_per_machine = 0;
      for (const auto& [name, machine_type] : catalog) {
        if (!pattern.machine_type.empty() && pattern.machine_type != name) continue;
        if (!spec.machine_types.empty() &&
            std::find(spec.machine_types.begin(), spec.machine_types.end(), name) == spec.machine_types.end())
          continue;
        tasks_per_machine = std::max<std::uint64_t>(
            tasks_per_machine, max_tasks_on(spec.resources, machine_type, spec.task_count));
      }
      const auto machines = pattern.max_machines();
      if (tasks_per_machine > 0 && !machines) return std::nullopt;
      if (tasks_per_machine > 0) sum += tasks_per_machine * *machines;
    }
  }
  return sum;
}

std::optional<InvalidField> Topology::unsatisfiable_colocation(const JobSpec& spec,
                                                               const Catalog& catalog) const {
  const Layout::Colocation& colocation = *spec.layout->colocation;
  const int level_index = level(colocation.level);
  if (level_index < 0)
    return InvalidField{"layout.together.level",
                        "there is no level '" + colocation.level + "' in the topology"};
  if (!colocation.required) return std::nullopt;
  const std::uint32_t concurrent_tasks = spec.type == JobType::array ? 1 : spec.task_count;
  const auto& spread = spec.layout->spread;
  if (spread && spread->required && level(spread->level) <= level_index &&
      spread->limit(spec.task_count) < concurrent_tasks)
    return InvalidField{"layout.together", "all tasks in one " + colocation.level +
                                               " are more than 'spread' allows in one " + spread->level};
  std::uint64_t max_tasks = 0;
  for (DomainId id = 1; id < domains_.size(); ++id) {
    if (domains_[id].level != level_index) continue;
    const auto domain_capacity = capacity(id, spec, catalog);
    if (!domain_capacity || *domain_capacity >= concurrent_tasks) return std::nullopt;
    max_tasks = std::max(max_tasks, *domain_capacity);
  }
  return InvalidField{"layout.together", std::to_string(concurrent_tasks) + " of its tasks must be in one " +
                                             colocation.level + ", and the largest holds " +
                                             std::to_string(max_tasks)};
}

std::optional<InvalidField> Topology::unsatisfiable_devices(const JobSpec& spec) const {
  for (const auto& [name, count_per_task] : spec.layout->devices) {
    const auto it = devices_.find(name);
    if (it == devices_.end())
      return InvalidField{"layout.devices", "there is no device '" + name + "' in the topology"};
    std::uint64_t max_tasks = 0;
    bool bounded = true;
    for (const Device& device : it->second) {
      const auto machines = device.machines.max_machines();
      bounded = bounded && machines.has_value();
      max_tasks += device.count / count_per_task * machines.value_or(1);
    }
    const std::uint64_t concurrent_tasks = spec.type == JobType::array ? 1 : spec.task_count;
    if (max_tasks == 0)
      return InvalidField{"layout.devices",
                          "no machine has " + std::to_string(count_per_task) + " of '" + name + "'"};
    if (bounded && max_tasks < concurrent_tasks)
      return InvalidField{"layout.devices",
                          "all its tasks together need more of '" + name + "' than there are"};
  }
  return std::nullopt;
}

std::optional<InvalidField> Topology::unsatisfiable_field(const JobSpec& spec, const Catalog& catalog) const {
  if (!spec.layout) return std::nullopt;
  if (spec.layout->spread) {
    if (auto field = unsatisfiable_spread(spec)) return field;
  }
  if (spec.layout->colocation) {
    if (auto field = unsatisfiable_colocation(spec, catalog)) return field;
  }
  return unsatisfiable_devices(spec);
}

// ---------------------------------------------------------------- description for operators

std::string Topology::describe() const {
  const auto machines = [](const Pattern& pattern) {
    std::string out = "    " + pattern.text;
    if (pattern.addresses)
      out += ": " + dotted(pattern.addresses->first) + " to " + dotted(pattern.addresses->second);
    const auto n = pattern.max_machines();
    return out + (n ? ", " + std::to_string(*n) + (*n == 1 ? " machine" : " machines") + " at most" : "") +
           "\n";
  };
  std::string out = "topology version " + to_text(version_) + "\n";
  for (std::size_t level_index = 0; level_index < levels_.size(); ++level_index) {
    const auto n = std::count_if(domains_.begin() + 1, domains_.end(), [&](const Domain& domain) {
      return domain.level == static_cast<int>(level_index);
    });
    out += "  level " + levels_[level_index] + ": " + std::to_string(n) + "\n";
  }
  for (DomainId id = 1; id < domains_.size(); ++id) {
    const Domain& domain = domains_[id];
    if (!domain.children.empty()) continue;
    out += "  " + level_of(id) + " " + path(id) + (domain.machines.empty() ? ": no machines\n" : "\n");
    for (const Pattern& pattern : domain.machines) out += machines(pattern);
  }
  for (const auto& [name, device_list] : devices_) {
    out += "  device " + name + "\n";
    for (const Device& device : device_list) {
      std::string line = machines(device.machines);
      line.pop_back();
      out += line + ", " + std::to_string(device.count) + " on each\n";
    }
  }
  return out;
}

}  // namespace wrenusher::topology

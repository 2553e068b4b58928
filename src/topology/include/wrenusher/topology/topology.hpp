#pragma once
// Package topology: the operators' map of failure domains, read from their file and checked whole: which
// levels there are (zone, room, switch, rack, or whatever they name), which domain is inside which, which
// machines belong where, and which machines carry named devices. A topology never changes; a newer version is
// another object. It may depend on base, fields, settings and protocol.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wrenusher/config_reader/config_reader.hpp"
#include "wrenusher/protocol/messages.hpp"

namespace wrenusher::topology {

using namespace time;
using namespace value;
using namespace runtime;
using namespace protocol;

/// Counts from 1; 0 is the one domain of all machines that belong to none.
using DomainId = std::uint32_t;
inline constexpr DomainId kNowhere = 0;

/// Where a machine is, and what it carries.
struct MachineLocation {
  DomainId leaf = kNowhere;
  std::vector<DomainId> by_level;                ///< one for each level; empty: nowhere
  std::map<std::string, std::uint32_t> devices;  ///< name -> count
  DomainId domain_at(int level) const {
    return level >= 0 && static_cast<std::size_t>(level) < by_level.size()
               ? by_level[static_cast<std::size_t>(level)]
               : kNowhere;
  }
  bool operator==(const MachineLocation&) const = default;
};

/// Which machines are meant: all that is said must hold.
struct Pattern {
  std::optional<std::pair<std::uint32_t, std::uint32_t>> addresses;  ///< first and last IPv4 address
  std::string host;  ///< with * for any text and ? for any character; empty: any
  std::string machine_type;
  std::string zone;
  int line = 0;
  std::string text;  ///< as written
  bool operator==(const Pattern&) const = default;

  bool matches(const std::string& host_name, std::uint32_t ip, const std::string& type,
               const std::string& machine_zone) const;
  /// Some machine could match both, and neither goes before the other: a pattern with an address does before
  /// one without.
  bool overlaps(const Pattern& other) const;
  /// How many machines can match; nothing where that is not bounded.
  std::optional<std::uint64_t> max_machines() const;
  /// A machine of this type and zone that is yet to be rented may match: its name is not known before.
  bool may_match_rental(const std::string& type, const std::string& machine_zone) const;
};

struct Domain {
  std::string name;
  int level = 0;
  DomainId parent = kNowhere;
  std::vector<DomainId> children;  ///< directly
  std::vector<Pattern> machines;
  int line = 0;
};

/// What controllers compare: a changed file has another digest, and must have a higher version.
struct TopologyVersion {
  std::uint64_t version = 0;  ///< 0: no topology
  std::uint64_t digest = 0;
  bool operator==(const TopologyVersion&) const = default;
};
/// "4 (0123456789abcdef)", or "none".
std::string to_text(const TopologyVersion& version);

class Topology {
 public:
  /// Throws config_reader::ConfigError: one line with file, line and field.
  static std::shared_ptr<const Topology> parse(const std::string& yaml, const std::string& file);

  const TopologyVersion& version() const { return version_; }
  const std::vector<std::string>& levels() const { return levels_; }
  /// -1 where there is no such level.
  int level(const std::string& name) const;
  /// By id, from 1; the one at 0 stands for nowhere.
  const std::vector<Domain>& domains() const { return domains_; }
  const Domain& domain(DomainId id) const { return domains_.at(id); }
  /// The name of the domain's level; not for nowhere.
  const std::string& level_of(DomainId id) const;
  /// "zone-a > switch-1 > rack-3".
  std::string path(DomainId id) const;
  /// The domain itself or one that it is inside of, at that level; nowhere if there is none.
  DomainId ancestor_at(DomainId id, int level) const;

  /// `addr` with or without a port.
  MachineLocation find(const std::string& host, const std::string& address, const std::string& machine_type,
                       const std::string& zone) const;

  /// Why the layout can never hold with these machine types; nothing when it can, or when there is none.
  std::optional<InvalidField> never_holds(const JobSpec& spec, const Catalog& catalog) const;
  /// A machine of this type and zone, yet to be rented, may come to stand in the domain.
  bool may_gain_machine(DomainId id, const std::string& machine_type, const std::string& zone) const;
  /// Likewise, with a device of this name on it.
  bool may_gain_device(const std::string& device, const std::string& machine_type,
                       const std::string& zone) const;

  /// What each pattern matches, for people; a line a domain and a device.
  std::string describe() const;

 private:
  struct Device {
    Pattern on;
    std::uint32_t count = 0;
  };
  void read_domains(config_reader::ConfigNode& top);
  void read_devices(config_reader::ConfigNode& top);
  void check_tree(const std::map<std::string, config_reader::ConfigNode>& nodes);
  void check_overlaps(const std::string& file) const;
  void index();
  std::optional<InvalidField> spread_never_holds(const JobSpec& spec) const;
  std::optional<InvalidField> together_never_holds(const JobSpec& spec, const Catalog& catalog) const;
  std::optional<InvalidField> devices_never_hold(const JobSpec& spec) const;
  /// How many tasks of the job a domain could hold at most; nothing where that is not bounded.
  std::optional<std::uint64_t> capacity(DomainId id, const JobSpec& spec, const Catalog& catalog) const;
  /// The leaves at or inside the domain.
  std::vector<DomainId> leaves(DomainId id) const;

  TopologyVersion version_;
  std::vector<std::string> levels_;
  std::vector<Domain> domains_;
  std::map<std::string, std::vector<Device>> devices_;
  /// Patterns with addresses by their first one, with the highest last one so far; those without follow.
  struct Ranged {
    std::uint32_t first;
    std::uint32_t last;
    std::uint32_t last_so_far;
    DomainId leaf;
    const Pattern* pattern;
  };
  std::vector<Ranged> address_ranges_;
  std::vector<std::pair<DomainId, const Pattern*>> patterns_without_address_;
};

/// "10.1.0.7" or "10.1.0.7:8080"; nothing when it is no IPv4 address.
std::optional<std::uint32_t> parse_ip(const std::string& text);
/// Whether a name matches a pattern with * and ?.
bool glob(const std::string& pattern, const std::string& name);
/// Whether some name matches both patterns.
bool globs_meet(const std::string& a, const std::string& b);

}  // namespace wrenusher::topology

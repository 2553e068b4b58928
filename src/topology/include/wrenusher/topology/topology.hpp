#pragma once
// Package topology: the failure domains of the cluster, parsed from the operators' topology file and
// validated as a whole. A topology defines the levels (such as zone, room, switch and rack), the tree of
// domains, which machines belong to which domain, and which machines have named devices.
//
// A Topology object is immutable; a newer version of the file becomes another object. The package may depend
// on time, value, runtime, config_reader, settings and protocol.

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

/// The index of a domain, counted from 1. Machines that belong to no domain have the id kNoDomain.
using DomainId = std::uint32_t;
inline constexpr DomainId kNoDomain = 0;

/// The domains and the devices of a machine.
struct MachineLocation {
  DomainId leaf = kNoDomain;
  std::vector<DomainId> by_level;                ///< one for each level; empty: no domain
  std::map<std::string, std::uint32_t> devices;  ///< name -> count
  /// Returns the machine's domain at a level, or kNoDomain.
  DomainId domain_at(int level) const {
    return level >= 0 && static_cast<std::size_t>(level) < by_level.size()
               ? by_level[static_cast<std::size_t>(level)]
               : kNoDomain;
  }
  bool operator==(const MachineLocation&) const = default;
};

/// Selects machines: a machine matches if it satisfies all fields that are set.
struct Pattern {
  std::optional<std::pair<std::uint32_t, std::uint32_t>> addresses;  ///< first and last IPv4 address
  std::string host;          ///< glob: * matches any text, ? any character; empty: any host
  std::string machine_type;  ///< empty: any type
  std::string zone;          ///< empty: any zone
  int line = 0;              ///< of the pattern in the file
  std::string text;          ///< the pattern as written in the file
  bool operator==(const Pattern&) const = default;

  /// Returns whether the pattern selects a machine.
  bool matches(const std::string& host_name, std::uint32_t ip, const std::string& type,
               const std::string& machine_zone) const;
  /// Returns whether a machine could match both patterns with equal priority. A pattern with an address has
  /// priority over one without, so these two kinds never overlap.
  bool overlaps(const Pattern& other) const;
  /// Returns how many machines can match at most, or nullopt if the number is unbounded.
  std::optional<std::uint64_t> max_machines() const;
  /// Returns whether a machine of this type and zone that is rented in the future may match. Its name and
  /// address are unknown before the rental, so a pattern for exactly one name or address does not count.
  bool may_match_rental(const std::string& type, const std::string& machine_zone) const;
};

/// A failure domain.
struct Domain {
  std::string name;
  int level = 0;  ///< index in Topology::levels()
  DomainId parent = kNoDomain;
  std::vector<DomainId> children;  ///< direct children only
  std::vector<Pattern> machines;
  int line = 0;  ///< of the domain in the file
};

/// Identifies a version of the topology file. Controllers compare it: a changed file has another digest and
/// must have a higher version.
struct TopologyVersion {
  std::uint64_t version = 0;  ///< 0: no topology
  std::uint64_t digest = 0;
  bool operator==(const TopologyVersion&) const = default;
};
/// Returns text such as "4 (0123456789abcdef)", or "none" if there is no topology.
std::string to_text(const TopologyVersion& version);

/// An immutable tree of failure domains with the machines and devices in them.
class Topology {
 public:
  /// Parses and validates the text of a topology file. Throws config_reader::ConfigError, whose message is
  /// one line with file, line and field.
  static std::shared_ptr<const Topology> parse(const std::string& yaml, const std::string& file);

  const TopologyVersion& version() const { return version_; }
  /// Returns the names of the levels, the widest first.
  const std::vector<std::string>& levels() const { return levels_; }
  /// Returns the index of a level, or -1 if there is no level of this name.
  int level(const std::string& name) const;
  /// Returns the domains, indexed by id. The entry at 0 is a placeholder for kNoDomain.
  const std::vector<Domain>& domains() const { return domains_; }
  const Domain& domain(DomainId id) const { return domains_.at(id); }
  /// Returns the name of the domain's level. `id` must not be kNoDomain.
  const std::string& level_of(DomainId id) const;
  /// Returns the path from the widest domain, such as "zone-a > switch-1 > rack-3".
  std::string path(DomainId id) const;
  /// Returns the domain itself or its ancestor at the given level, or kNoDomain if there is none.
  DomainId ancestor_at(DomainId id, int level) const;

  /// Returns the domains and devices of a machine. `address` may have a port.
  MachineLocation find(const std::string& host, const std::string& address, const std::string& machine_type,
                       const std::string& zone) const;

  /// Returns the field of the job's layout that no placement on these machine types can ever satisfy, with
  /// the reason. Returns nullopt if there is no such field or no layout.
  std::optional<InvalidField> unsatisfiable_field(const JobSpec& spec, const Catalog& catalog) const;
  /// Returns whether a machine of this type and zone that is rented in the future may belong to the domain.
  bool may_gain_machine(DomainId id, const std::string& machine_type, const std::string& zone) const;
  /// Returns whether a machine of this type and zone that is rented in the future may have the device.
  bool may_gain_device(const std::string& device, const std::string& machine_type,
                       const std::string& zone) const;

  /// Returns a text for operators that lists the levels, the domains and the devices, and what each pattern
  /// matches.
  std::string describe() const;

 private:
  struct Device {
    Pattern machines;         ///< that have the device
    std::uint32_t count = 0;  ///< on each machine
  };
  void read_domains(config_reader::ConfigNode& top);
  void read_devices(config_reader::ConfigNode& top);
  void check_tree(const std::map<std::string, config_reader::ConfigNode>& nodes);
  void check_overlaps(const std::string& file) const;
  /// Fills address_ranges_ and patterns_without_address_ from the domains.
  void index();
  std::optional<InvalidField> unsatisfiable_spread(const JobSpec& spec) const;
  std::optional<InvalidField> unsatisfiable_colocation(const JobSpec& spec, const Catalog& catalog) const;
  std::optional<InvalidField> unsatisfiable_devices(const JobSpec& spec) const;
  /// Returns how many tasks of the job fit into a domain at most, or nullopt if the number is unbounded.
  std::optional<std::uint64_t> capacity(DomainId id, const JobSpec& spec, const Catalog& catalog) const;
  /// Returns the domains without children in the subtree of `id`, which may be `id` itself.
  std::vector<DomainId> leaves(DomainId id) const;

  TopologyVersion version_;
  std::vector<std::string> levels_;
  std::vector<Domain> domains_;
  std::map<std::string, std::vector<Device>> devices_;
  /// A pattern with addresses, for the binary search in `find`.
  struct AddressRange {
    std::uint32_t first;
    std::uint32_t last;
    std::uint32_t last_so_far;  ///< highest last address of this range and all before it
    DomainId leaf;
    const Pattern* pattern;
  };
  std::vector<AddressRange> address_ranges_;  ///< sorted by first address
  std::vector<std::pair<DomainId, const Pattern*>> patterns_without_address_;
};

/// Parses an IPv4 address with or without a port, such as "10.1.0.7" or "10.1.0.7:8080". Returns nullopt if
/// the text is not one.
std::optional<std::uint32_t> parse_ip(const std::string& text);
/// Returns whether a name matches a glob pattern with * and ?.
bool glob(const std::string& pattern, const std::string& name);
/// Returns whether at least one name matches both glob patterns.
bool globs_overlap(const std::string& a, const std::string& b);

}  // namespace wrenusher::topology

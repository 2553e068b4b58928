#pragma once

#include <cstdint>
#include <string>

namespace wrenusher::membership {

/// The newest term known to this node. Only Leadership changes it; its parts read it.
struct TermState {
  bool leading = false;             ///< whether this node leads the term
  std::uint64_t fencing_token = 0;  ///< increases with each term
  std::string leader;               ///< name of the leading node; empty: unknown
};

}  // namespace wrenusher::membership

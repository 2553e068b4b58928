#pragma once

#include <cstdint>
#include <string>

namespace wrenusher::membership {

/// The newest term that this node knows of. Owned and changed by Leadership alone; its parts read it.
struct TermState {
  bool leading = false;             ///< this node leads it
  std::uint64_t fencing_token = 0;  ///< rises with each term
  std::string leader;               ///< name of the leading node; empty: not known
};

}  // namespace wrenusher::membership

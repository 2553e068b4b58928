#pragma once
// The limit on the process's open files, which also limits its sockets.

#include <cstdint>

namespace wrenusher::net {

/// Limits on open file descriptors, as the process needs them and as the system sets them.
struct OpenFileLimit {
  std::uint64_t needed = 0;  ///< maximum number of descriptors that the process opens
  std::uint64_t soft = 0;    ///< the limit in force; 0: the limit could not be read
  std::uint64_t hard = 0;    ///< the highest soft limit that the process may set itself
  bool sufficient() const { return soft >= needed; }
};

/// Raises the soft limit to what `sockets` connections and the process's other files need, or to the hard
/// limit where that is lower. Never lowers the soft limit. Must be called once, before the first connection.
OpenFileLimit raise_open_file_limit(int sockets);

/// Logs the limit at debug level, or as an error with instructions when the limit is too low.
void report_open_file_limit(const OpenFileLimit& limit);

}  // namespace wrenusher::net

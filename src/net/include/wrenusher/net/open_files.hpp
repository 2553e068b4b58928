#pragma once
// The process's limit of open files, which bounds its sockets.

#include <cstdint>

namespace wrenusher::net {

struct OpenFileLimit {
  std::uint64_t needed = 0;  ///< descriptors that the process may come to hold
  std::uint64_t soft = 0;    ///< the limit in force; 0: it could not be read
  std::uint64_t hard = 0;    ///< up to which the process may raise it by itself
  bool sufficient() const { return soft >= needed; }
};

/// Raises the soft limit to what `sockets` connections and the process's other files need, or as far as the
/// hard limit allows. Never lowers it. To be called once, before the first connection.
OpenFileLimit raise_open_file_limit(int sockets);

/// Logs the limit: an error with what to do where it does not suffice.
void report_open_file_limit(const OpenFileLimit& limit);

}  // namespace wrenusher::net

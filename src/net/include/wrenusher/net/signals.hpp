#pragma once
// The process's dispositions of signals.

namespace wrenusher::net {

/// Ignores SIGPIPE, whose default ends the process. A write to a connection that its peer has reset, or to a
/// pipe that nobody reads any more, then fails with EPIPE like any other failed write. Must be called before
/// the first connection and the first log line.
void ignore_broken_pipes();

}  // namespace wrenusher::net

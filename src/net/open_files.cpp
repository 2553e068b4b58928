#include "wrenusher/net/open_files.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::net {

namespace {
/// Descriptors other than sockets: standard streams, those of the event loop, and settings files while they
/// are reloaded.
constexpr std::uint64_t kNonSocketFiles = 64;
}  // namespace

OpenFileLimit raise_open_file_limit(int sockets) {
  OpenFileLimit out;
  out.needed = static_cast<std::uint64_t>(std::max(0, sockets)) + kNonSocketFiles;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return out;
  // RLIM_INFINITY is the largest rlim_t, so these comparisons also hold for an unlimited process.
  if (limit.rlim_cur < out.needed && limit.rlim_cur < limit.rlim_max) {
    rlimit raised = limit;
    raised.rlim_cur = std::min<rlim_t>(out.needed, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0) limit = raised;
  }
  out.soft = limit.rlim_cur;
  out.hard = limit.rlim_max;
  return out;
}

void report_open_file_limit(const OpenFileLimit& limit) {
  if (limit.sufficient()) {
    log::debug("open_files", "{soft} files may be open, {needed} are needed", log::with("soft", limit.soft),
               log::with("needed", limit.needed));
    return;
  }
  log::error(
      "open_files_too_few",
      "only {soft} files may be open, but max_sockets needs {needed}: connections beyond the limit will be "
      "refused. Raise the hard limit on open files, now {hard}, to {needed} or more "
      "(LimitNOFILE= in a systemd unit, ulimit -Hn in a shell, nofile in limits.conf) and restart, or "
      "lower limits.max_sockets",
      log::with("soft", limit.soft), log::with("needed", limit.needed), log::with("hard", limit.hard));
}

}  // namespace wrenusher::net

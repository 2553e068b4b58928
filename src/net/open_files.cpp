#include "wrenusher/net/open_files.hpp"

#include <sys/resource.h>

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::net {

namespace {
/// Descriptors beside sockets: standard streams, the event loop's own, settings that are read again.
constexpr std::uint64_t kOtherFiles = 64;
}  // namespace

OpenFileLimit raise_open_file_limit(int sockets) {
  OpenFileLimit out;
  out.needed = static_cast<std::uint64_t>(std::max(0, sockets)) + kOtherFiles;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return out;
  // RLIM_INFINITY is the largest value there is, so that it compares as no limit.
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
  log::error("open_files_too_few",
             "only {soft} files may be open, and {needed} are needed for max_sockets: connections will be "
             "refused beyond that. Raise the hard limit of open files, now {hard}, to {needed} at least "
             "(LimitNOFILE= in a systemd unit, ulimit -Hn in a shell, nofile in limits.conf) and restart, or "
             "lower limits.max_sockets",
             log::with("soft", limit.soft), log::with("needed", limit.needed), log::with("hard", limit.hard));
}

}  // namespace wrenusher::net

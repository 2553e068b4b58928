#include "wrenusher/net/signals.hpp"

#include <csignal>

namespace wrenusher::net {

void ignore_broken_pipes() {
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace wrenusher::net

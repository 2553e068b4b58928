// Tests of the daemon as a real process on real sockets, for what only a process knows: signals.

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include "wrenusher/protocol/messages.hpp"
#include "wrenusher/testbed/world.hpp"
#include "wrenusher/value/value.hpp"

namespace {

using std::chrono::milliseconds;

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// A socket that listens on a free port and accepts connections, but never responds.
class SilentServer {
 public:
  SilentServer() {
    sockaddr_in address = loopback(0);
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(listen(socket_, SOMAXCONN), 0);
  }
  ~SilentServer() { close(socket_); }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;
  int port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

 private:
  int socket_ = socket(AF_INET, SOCK_STREAM, 0);
};

/// Returns a port that was free a moment ago.
int free_port() {
  return SilentServer().port();
}

std::string endpoint(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// The daemon, alone, with a state service and a cloud that never respond. It writes its log to `log_fd`.
class Daemon {
 public:
  explicit Daemon(int log_fd) {
    const std::string settings = testing::TempDir() + "process_test_" + std::to_string(getpid()) + ".json";
    std::ofstream(settings)
        << R"({"host_name": "n1", "zone": "a", "client_listen": ")" << endpoint(client_port_)
        << R"(", "peer_listen": ")" << endpoint(free_port()) << R"(", "peers": [], "services": {"cloud": ")"
        << endpoint(silent_.port()) << R"(", "state": ")" << endpoint(silent_.port())
        << R"("}, "cluster": {"zones": ["a"], "teams": [{"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0,)"
        << R"( "gpus_max": 0}], "workers": {"report_s": 1, "lease_s": 10, "gang_wait_s": 20, "gang_peer_s": 3,)"
        << R"( "cancel_s": 30}, "state": {"rps": 200, "write_rps": 40, "value_kb": 16, "txn_ops": 16},)"
        << R"( "cloud": {"rps": 4, "list_lag_s": 4}, "limits": {"max_sockets": 600}}})";
    process_ = fork();
    if (process_ == 0) {
      dup2(log_fd, STDERR_FILENO);
      // A test runner may have changed the disposition, which a process inherits.
      std::signal(SIGPIPE, SIG_DFL);
      setenv("LOG_LEVEL", "debug", 1);
      execl(WRENUSHER_PROGRAM, "wrenusher", "--config", settings.c_str(), nullptr);
      _exit(127);
    }
  }
  ~Daemon() {
    if (running()) kill(process_, SIGKILL);
    if (!ended_) waitpid(process_, &status_, 0);
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  bool running() {
    if (!ended_) ended_ = waitpid(process_, &status_, WNOHANG) == process_;
    return !ended_;
  }
  /// Returns the signal that ended the process, or 0.
  int ended_by() const { return ended_ && WIFSIGNALED(status_) ? WTERMSIG(status_) : 0; }
  /// Connects as a user; waits until the daemon listens.
  int connect_user() const {
    const sockaddr_in address = loopback(client_port_);
    for (int attempt = 0; attempt < 100; ++attempt) {
      const int user = socket(AF_INET, SOCK_STREAM, 0);
      if (connect(user, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return user;
      close(user);
      std::this_thread::sleep_for(milliseconds(50));
    }
    return -1;
  }

 private:
  SilentServer silent_;
  int client_port_ = free_port();
  pid_t process_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

std::string post(const std::string& target, const wrenusher::value::Value& body) {
  const std::string bytes = encode(body);
  return "POST " + target + " HTTP/1.1\r\nHost: n1\r\nContent-Length: " + std::to_string(bytes.size()) +
         "\r\n\r\n" + bytes;
}

std::string submission() {
  using wrenusher::testbed::World;
  return post("/submissions", wrenusher::protocol::write_spec(World::job(1, 1, 1, 10)));
}

/// Returns the report of a worker without tasks.
std::string report() {
  using wrenusher::value::Value;
  return post("/hello", Value::Map{{"host", "m-000001"},
                                   {"addr", "127.0.0.1:1"},
                                   {"flavor", "small"},
                                   {"site", "a"},
                                   {"standby", false},
                                   {"tenure", std::uint64_t{1}},
                                   {"serial", std::uint64_t{1}},
                                   {"epoch", std::uint64_t{0}},
                                   {"units", Value::List{}}});
}

/// Returns whether bytes can be read from the socket.
bool has_response(int user) {
  char byte = 0;
  return recv(user, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Closes the connection with a reset instead of an orderly end.
void reset_connection(int user) {
  const linger immediately{1, 0};
  setsockopt(user, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
  close(user);
}

}  // namespace

// Guards against a controller that SIGPIPE ends when it responds on a connection that its client has reset.
TEST(ProcessTest, ResetConnectionWithRequestInServiceDoesNotEndController) {
  const int log = open("/dev/null", O_WRONLY);
  Daemon daemon(log);
  int user = daemon.connect_user();
  ASSERT_GE(user, 0);
  ASSERT_GT(send(user, submission().data(), submission().size(), MSG_NOSIGNAL), 0);
  std::this_thread::sleep_for(milliseconds(200));
  ASSERT_FALSE(has_response(user)) << "the request is not in service any more";
  reset_connection(user);
  // The daemon responds once it gives up on the state service; users wait 5 s for a response.
  for (int i = 0; i < 60 && daemon.running(); ++i) std::this_thread::sleep_for(milliseconds(100));
  EXPECT_TRUE(daemon.running()) << "ended by signal " << daemon.ended_by();
  user = daemon.connect_user();
  EXPECT_GE(user, 0);
  close(user);
  close(log);
}

// Guards against a controller that SIGPIPE ends when nobody reads its log any more.
TEST(ProcessTest, ClosedLogPipeDoesNotEndController) {
  int log[2];
  ASSERT_EQ(pipe2(log, O_CLOEXEC), 0);
  Daemon daemon(log[1]);
  close(log[1]);
  int user = daemon.connect_user();
  ASSERT_GE(user, 0);
  close(user);
  close(log[0]);
  // The daemon does not lead, so it redirects the report and logs that at debug level.
  user = daemon.connect_user();
  ASSERT_GT(send(user, report().data(), report().size(), MSG_NOSIGNAL), 0);
  for (int i = 0; i < 30 && daemon.running() && !has_response(user); ++i)
    std::this_thread::sleep_for(milliseconds(100));
  EXPECT_TRUE(has_response(user));
  close(user);
  EXPECT_TRUE(daemon.running()) << "ended by signal " << daemon.ended_by();
  user = daemon.connect_user();
  EXPECT_GE(user, 0);
  close(user);
}

#include "stand.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace stand {

using wrenusher::time::from_seconds;
using wrenusher::time::to_seconds;
using wrenusher::value::decode;
using wrenusher::value::encode;

namespace {

constexpr double kTick = 0.02;
constexpr std::size_t kPastKept = 10000;

Response reply(int status, Value body = {}) { return {status, body.is_null() ? std::string() : encode(body), 0}; }

/// Returns "127.0.0.1:port" with a port that is free now. The ports are below those that the kernel gives to outgoing
/// connections, so that no connection takes one while its controller is away.
std::string free_endpoint() {
  static int next = 14000 + static_cast<int>((static_cast<unsigned>(getpid()) * 2654435761U) % 16000);
  for (int i = 0; i < 18000; ++i) {
    if (++next >= 32000) next = 14000;
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(next));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(s, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    close(s);
    if (bound) return "127.0.0.1:" + std::to_string(next);
  }
  throw std::runtime_error("no free port");
}

std::string query(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return {};
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string part = rest.substr(0, end);
    if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

std::string unit_name(const std::string& ref, std::uint32_t number) { return ref + "/" + std::to_string(number); }

}  // namespace

bool option(const char* name) {
  const char* text = std::getenv(name);
  return text != nullptr && std::string(text) == "1";
}
bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

Value Job::describe() const {
  return Value::Map{{"ref", ref},           {"queue", queue},         {"owner", owner},
                    {"shape", shape},       {"urgency", urgency},     {"units", units},
                    {"cores", cores},       {"cards", 0.0},           {"memory_gb", memory_gb},
                    {"bundle", bundle},     {"image_gb", image_gb},   {"flavors", nullptr},
                    {"site", nullptr},      {"same_place", false},    {"scatter", false},
                    {"standby", true},      {"expected_s", expected_s < 0 ? run_s : expected_s},
                    {"snapshot_every_s", 0.0}, {"snapshot_s", 0.0},   {"due_s", nullptr}};
}

// ---------------------------------------------------------------- set-up, time, record

Stand::Stand(Site site, const std::string& folder)
    : site_(std::move(site)), folder_(folder), rt_(20000, 4000), started_(rt_.now()) {
  std::set_terminate([] { _exit(2); });  // the case could not run; the controllers end with this process
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 20000);
    setrlimit(RLIMIT_NOFILE, &files);
  }
  record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
  if (record_ == nullptr) throw std::runtime_error(folder_ + "/record.txt: cannot be written");
  temp_ = (std::filesystem::temp_directory_path() / "wrenusher-review-XXXXXX").string();
  if (mkdtemp(temp_.data()) == nullptr) throw std::runtime_error("no temporary folder");
  rps_tokens_ = site_.state_rps;
  write_tokens_ = site_.state_write_rps;
  cloud_tokens_ = 2 * site_.cloud_rps;
  const int n = site_.controllers;
  pids_.assign(static_cast<std::size_t>(n), 0);
  back_at_.assign(static_cast<std::size_t>(n), -1);
  relay_.assign(static_cast<std::size_t>(n), std::vector<std::string>(static_cast<std::size_t>(n)));
  for (int i = 0; i < n; ++i) {
    client_.push_back(free_endpoint());
    peer_.push_back(free_endpoint());
    state_.push_back(free_endpoint());
    cloud_.push_back(free_endpoint());
    for (int k = 0; k < n; ++k) relay_[i][k] = k == i ? "" : free_endpoint();
  }
  for (int i = 0; i < n; ++i) {
    listen(state_[i], [this, i](const Request& r, const Responder& a) { serve_state(i, r, a); });
    listen(cloud_[i], [this, i](const Request& r, const Responder& a) { serve_cloud(i, r, a); });
    for (int k = 0; k < n; ++k) {
      if (k == i) continue;
      listen(relay_[i][k], [this, i, k](const Request& r, const Responder& a) {
        if (links.peers.contains({std::min(i, k), std::max(i, k)})) return;
        rt_.call(peer_[k], r, from_seconds(4), [this, i, k, a](const CallResult& result) {
          if (links.peers.contains({std::min(i, k), std::max(i, k)})) return;
          a(result.answered ? result.response : Response{502, {}, 0});
        });
      });
    }
  }
  tick();
}

Stand::~Stand() {
  stopping_ = true;
  for (const pid_t p : pids_) {
    if (p > 0) {
      ::kill(p, SIGKILL);
      waitpid(p, nullptr, 0);
    }
  }
  if (record_ != nullptr) std::fclose(record_);
  std::error_code ignored;
  if (!option("KEEP")) std::filesystem::remove_all(temp_, ignored);
}

/// Listens at the endpoint, or at another one if the port was taken meanwhile.
void Stand::listen(std::string& endpoint, const wrenusher::net::UvRuntime::Handler& handler) {
  for (int i = 0;; ++i) {
    try {
      rt_.listen(endpoint, 20000, handler);
      return;
    } catch (const std::runtime_error&) {
      if (i == 20) throw;
      endpoint = free_endpoint();
    }
  }
}

double Stand::now() const { return to_seconds(rt_.now() - started_); }

void Stand::run(double seconds) {
  run_until([] { return false; }, seconds);
}

bool Stand::run_until(const std::function<bool()>& done, double seconds) {
  const double until = now() + seconds;
  while (!done()) {
    if (now() >= until) return false;
    uv_run(rt_.loop(), UV_RUN_ONCE);
  }
  return true;
}

void Stand::note(const char* format, ...) {
  std::fprintf(record_, "%9.3f  ", now());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_, format, args);
  va_end(args);
  std::fputc('\n', record_);
  std::fflush(record_);
}

// ---------------------------------------------------------------- controllers

std::string Stand::settings(int i) const {
  using nlohmann::json;
  const auto zone = [&](int k) { return site_.zones[static_cast<std::size_t>(k) % site_.zones.size()]; };
  json peers = json::array(), teams = json::array();
  for (int k = 0; k < site_.controllers; ++k) {
    if (k != i)
      peers.push_back({{"host_name", "worker-" + std::to_string(k)}, {"zone", zone(k)}, {"peer_addr", relay_[i][k]}});
  }
  for (const Team& t : site_.teams)
    teams.push_back({{"name", t.name}, {"cpus", t.cpus}, {"cpus_max", t.cpus_max}, {"gpus", 0.0}, {"gpus_max", 0.0}});
  json zones = site_.zones;
  const json all = {
      {"host_name", "worker-" + std::to_string(i)},
      {"zone", zone(i)},
      {"client_listen", client_[i]},
      {"peer_listen", peer_[i]},
      {"peers", peers},
      {"services", {{"cloud", cloud_[i]}, {"state", state_[i]}}},
      {"cluster",
       {{"size", site_.controllers},
        {"zones", zones},
        {"teams", teams},
        {"objectives", json::array()},
        {"workers",
         {{"report_s", site_.report_s},
          {"lease_s", site_.lease_s},
          {"gang_wait_s", site_.gang_wait_s},
          {"gang_peer_s", site_.gang_peer_s},
          {"cancel_s", site_.cancel_s}}},
        {"state",
         {{"rps", site_.state_rps},
          {"write_rps", site_.state_write_rps},
          {"value_kb", site_.value_kb},
          {"txn_ops", site_.txn_ops}}},
        {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
        {"limits",
         {{"core_share", site_.core_share}, {"memory_mb", site_.memory_mb}, {"max_sockets", site_.max_sockets}}},
        {"clock_error_ms", 5.0}}}};
  return all.dump(2) + "\n";
}

void Stand::start_controllers() {
  for (int i = 0; i < site_.controllers; ++i) start(i);
}

void Stand::start(int i) {
  const std::string file = temp_ + "/worker-" + std::to_string(i) + ".json";
  std::ofstream(file) << settings(i);
  const std::string log = temp_ + "/worker-" + std::to_string(i) + ".log";
  const char* program = std::getenv("WRENUSHER");
  const std::string run = program != nullptr ? program : "target/wrenusher";
  const pid_t p = fork();
  if (p < 0) throw std::runtime_error("fork failed");
  if (p == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    for (int fd = 3; fd < 20000; ++fd) close(fd);
    for (int number = 1; number < 32; ++number) signal(number, SIG_DFL);  // as a program is started on a machine
    execl(run.c_str(), run.c_str(), "--config", file.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  pids_[i] = p;
  back_at_[i] = -1;
  note("worker-%d started (process %d)", i, static_cast<int>(p));
}

void Stand::kill(int i) {
  if (pids_[i] <= 0) return;
  ::kill(pids_[i], SIGKILL);
  waitpid(pids_[i], nullptr, 0);
  pids_[i] = 0;
  back_at_[i] = now() + site_.restart_s;
  note("worker-%d killed", i);
}

void Stand::stop_process(int i, bool stop) {
  if (pids_[i] > 0) ::kill(pids_[i], stop ? SIGSTOP : SIGCONT);
  note("worker-%d %s", i, stop ? "stands still" : "goes on");
}

int Stand::leader() const {
  const Value* record = stored("leader");
  const std::string* node = record == nullptr ? nullptr : (*record)["node"].text();
  return node == nullptr ? -1 : std::atoi(node->c_str() + 7);
}

double Stand::rss_mb(int i) const {
  if (pids_[i] <= 0) return 0;
  std::ifstream in("/proc/" + std::to_string(pids_[i]) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

void Stand::check_memory() {
  if (site_.memory_mb <= 0) return;
  for (int i = 0; i < site_.controllers; ++i) {
    const double mb = rss_mb(i);
    if (mb <= site_.memory_mb) continue;
    note("worker-%d holds %.0f MB, the limit is %.0f MB: the platform ends it", i, mb, site_.memory_mb);
    ++ended_for_memory;
    kill(i);
  }
}

void Stand::reap_children() {
  for (int i = 0; i < site_.controllers; ++i) {
    int status = 0;
    if (pids_[i] > 0 && waitpid(pids_[i], &status, WNOHANG) == pids_[i]) {
      note("worker-%d ended by itself: %s %d", i, WIFSIGNALED(status) ? "signal" : "exit code",
           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      ++ended_by_itself;
      pids_[i] = 0;
      back_at_[i] = now() + site_.restart_s;
    }
    if (pids_[i] == 0 && back_at_[i] >= 0 && now() >= back_at_[i]) start(i);
  }
}

// ---------------------------------------------------------------- users

Stand::Answer Stand::ask(int node, const std::string& method, const std::string& path, Value body, double timeout) {
  auto out = std::make_shared<Answer>();
  auto finished = std::make_shared<bool>(false);
  out->sent = now();
  if (links.users.contains(node) || pids_[node] == 0) {
    run(links.users.contains(node) ? timeout : 0.01);
    return *out;
  }
  rt_.call(client_[node], {method, path, body.is_null() ? std::string() : encode(body)}, from_seconds(timeout),
           [this, out, finished](const CallResult& result) {
             *finished = true;
             out->answered = result.answered;
             out->got = now();
             if (!result.answered) return;
             out->status = result.response.status;
             if (const auto value = decode(result.response.body)) {
               out->body = *value;
               if ((*value)["status"].text() != nullptr) out->state = *(*value)["status"].text();
             }
           });
  run_until([&] { return *finished; }, timeout + 1);
  note("user: %s %s at worker-%d -> %d %s (%.0f ms)", method.c_str(), path.c_str(), node, out->status,
       out->state.c_str(), (out->got - out->sent) * 1000);
  return *out;
}

void Stand::ask_later(int node, const std::string& method, const std::string& path, Value body, double timeout,
                      std::function<void(const Answer&)> done) {
  Answer out;
  out.sent = now();
  if (links.users.contains(node) || pids_[node] == 0) {
    after(links.users.contains(node) ? timeout : 0.01, [out, done] { done(out); });
    return;
  }
  rt_.call(client_[node], {method, path, body.is_null() ? std::string() : encode(body)}, from_seconds(timeout),
           [this, out, done](const CallResult& result) mutable {
             out.answered = result.answered;
             out.got = now();
             if (result.answered) {
               out.status = result.response.status;
               if (const auto value = decode(result.response.body)) {
                 out.body = *value;
                 if ((*value)["status"].text() != nullptr) out.state = *(*value)["status"].text();
               }
             }
             done(out);
           });
}

std::map<std::string, std::set<std::uint32_t>> Stand::still_there() const {
  std::map<std::string, std::set<std::uint32_t>> out;
  for (const auto& [unit, hosts] : on_machine_) {
    if (!hosts.empty()) out[unit.first].insert(unit.second);
  }
  return out;
}

Stand::Answer Stand::submit(int node, const Job& job) {
  jobs_[job.ref] = job;
  return ask(node, "POST", "/submissions", job.describe());
}

Stand::Answer Stand::submit_until_accepted(const Job& job, int first_node) {
  const double until = now() + 60;
  Answer answer;
  for (int i = first_node; now() < until; ++i) {
    answer = submit(i % site_.controllers, job);
    if (answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422) break;
    run(1);
  }
  return answer;
}

std::size_t Stand::done_of(const std::string& ref) const {
  return static_cast<std::size_t>(
      std::count_if(results_.begin(), results_.end(), [&](const auto& unit) { return unit.first == ref; }));
}

/// Returns how many units of the job the state service has as assigned.
std::size_t Stand::committed_units(const std::string& ref) const {
  std::size_t units = 0;
  for (auto it = keys_.lower_bound("claims/"); it != keys_.end() && it->first.starts_with("claims/"); ++it) {
    const Value::List* rows = it->second.value.list();
    if (rows == nullptr) continue;
    for (const Value& row : *rows) {
      const Value::List* columns = row.list();
      if (columns == nullptr || columns->size() != 6 || (*columns)[0].text() == nullptr || *(*columns)[0].text() != ref)
        continue;
      for (const Value& assignment : *(*columns)[5].list()) {
        const Value::List& ranges = *(*assignment.list())[2].list();
        for (std::size_t i = 0; i + 1 < ranges.size(); i += 2)
          units += *ranges[i + 1].count() - *ranges[i].count() + 1;
      }
    }
  }
  return units;
}

const Value* Stand::stored(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second.value;
}

// ---------------------------------------------------------------- proxy

/// A connection of a worker to the proxy and the proxy's connection to the controller.
struct Stand::Pipe {
  Stand* stand = nullptr;
  uv_tcp_t outer{}, inner{};
  uv_connect_t connecting{};
  int node = 0;
  bool connected = false, closing = false, inner_open = false;
  int open_handles = 0;
  bool waits = false;  ///< a report was passed on and nothing has come back
  std::string early;   ///< bytes before the controller accepted

  static void write(uv_tcp_t* to, std::string bytes) {
    struct Out {
      uv_write_t request;
      std::string bytes;
    };
    auto* out = new Out{{}, std::move(bytes)};
    out->request.data = out;
    uv_buf_t buffer = uv_buf_init(out->bytes.data(), static_cast<unsigned>(out->bytes.size()));
    if (uv_write(&out->request, reinterpret_cast<uv_stream_t*>(to), &buffer, 1,
                 [](uv_write_t* r, int) { delete static_cast<Out*>(r->data); }) != 0)
      delete out;
  }
  static void allocate(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof bytes);
  }
  void close(bool reset) {
    if (closing) return;
    closing = true;
    stand->pipes_.erase(this);
    const auto closed = [](uv_handle_t* handle) {
      auto* self = static_cast<Pipe*>(handle->data);
      if (--self->open_handles == 0) delete self;
    };
    for (uv_tcp_t* tcp : {&outer, &inner}) {
      if (tcp == &inner && !inner_open) continue;
      if (reset && uv_tcp_close_reset(tcp, closed) == 0) continue;
      if (uv_is_closing(reinterpret_cast<uv_handle_t*>(tcp)) == 0) uv_close(reinterpret_cast<uv_handle_t*>(tcp), closed);
    }
  }
  void pass(ssize_t size, const uv_buf_t* buffer, bool inward) {
    if (closing || size == 0) return;
    if (size < 0) {
      close(false);
      return;
    }
    const std::string bytes(buffer->base, static_cast<std::size_t>(size));
    if (inward && !connected) {
      early += bytes;
      return;
    }
    waits = inward;
    write(inward ? &inner : &outer, bytes);
  }
};

void Stand::start_proxy() {
  signal(SIGPIPE, SIG_IGN);
  for (int i = 0; i < site_.controllers; ++i) {
    proxy_.push_back(free_endpoint());
    auto port = std::make_unique<Port>();
    port->stand = this;
    port->node = i;
    uv_tcp_init(rt_.loop(), &port->tcp);
    port->tcp.data = port.get();
    sockaddr_in at{};
    uv_ip4_addr("127.0.0.1", std::atoi(proxy_.back().c_str() + 10), &at);
    if (uv_tcp_bind(&port->tcp, reinterpret_cast<sockaddr*>(&at), 0) != 0 ||
        uv_listen(reinterpret_cast<uv_stream_t*>(&port->tcp), 1024, [](uv_stream_t* server, int status) {
          auto* listening = static_cast<Port*>(server->data);
          if (status == 0) listening->stand->accept(*listening);
        }) != 0)
      throw std::runtime_error("the proxy cannot listen");
    ports_.push_back(std::move(port));
  }
}

void Stand::accept(Port& port) {
  auto* pipe = new Pipe;
  pipe->stand = this;
  pipe->node = port.node;
  uv_tcp_init(rt_.loop(), &pipe->outer);
  pipe->outer.data = pipe;
  pipe->open_handles = 1;
  pipes_.insert(pipe);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(&port.tcp), reinterpret_cast<uv_stream_t*>(&pipe->outer)) != 0 ||
      resetting_.contains(port.node)) {
    pipe->close(true);
    return;
  }
  uv_tcp_nodelay(&pipe->outer, 1);
  uv_read_start(reinterpret_cast<uv_stream_t*>(&pipe->outer), Pipe::allocate,
                [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                  static_cast<Pipe*>(stream->data)->pass(size, buffer, true);
                });
  uv_tcp_init(rt_.loop(), &pipe->inner);
  pipe->inner.data = pipe;
  pipe->inner_open = true;
  ++pipe->open_handles;
  sockaddr_in at{};
  uv_ip4_addr("127.0.0.1", std::atoi(client_[pipe->node].c_str() + 10), &at);
  const int result = uv_tcp_connect(
      &pipe->connecting, &pipe->inner, reinterpret_cast<sockaddr*>(&at), [](uv_connect_t* request, int status) {
        auto* self = static_cast<Pipe*>(request->handle->data);
        if (self->closing) return;
        if (status != 0) {
          self->close(true);
          return;
        }
        self->connected = true;
        uv_tcp_nodelay(&self->inner, 1);
        uv_read_start(reinterpret_cast<uv_stream_t*>(&self->inner), Pipe::allocate,
                      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
                        static_cast<Pipe*>(stream->data)->pass(size, buffer, false);
                      });
        if (!self->early.empty()) {
          self->waits = true;
          Pipe::write(&self->inner, std::exchange(self->early, {}));
        }
      });
  if (result != 0) pipe->close(true);
}

int Stand::reports_waiting(int node) const {
  return static_cast<int>(std::count_if(pipes_.begin(), pipes_.end(),
                                        [&](const Pipe* pipe) { return pipe->node == node && pipe->waits; }));
}

void Stand::reset_workers(int node, bool on) {
  if (!on) {
    resetting_.erase(node);
    note("worker-%d: its link to the workers is whole again", node);
    return;
  }
  resetting_.insert(node);
  const std::set<Pipe*> all = pipes_;
  int reset = 0, served = 0;
  for (Pipe* pipe : all) {
    if (pipe->node != node) continue;
    ++reset;
    served += pipe->waits ? 1 : 0;
    pipe->close(true);
  }
  connections_reset += reset;
  reset_while_served += served;
  note("worker-%d loses the workers: the cut resets %d connections, %d of them with a report that is not answered yet",
       node, reset, served);
}

// ---------------------------------------------------------------- state service

void Stand::after(double seconds, std::function<void()> f) { rt_.after(from_seconds(seconds), std::move(f)); }

void Stand::serve_state(int node, const Request& r, const Responder& answer) {
  if (links.state.contains(node)) return;
  const bool change = r.method == "POST" && r.target == "/multi";
  if (change && links.late_writes > 0 && random() < links.late_writes) {
    after(2 + 10 * random(), [this, node, r] { serve_state_now(node, r, [](const Response&) {}); });
    return;
  }
  Responder used = answer;
  if (change && links.lost_answers > 0 && random() < links.lost_answers) used = [](const Response&) {};
  if (links.state_delay <= 0) {
    serve_state_now(node, r, used);
  } else {
    after(links.state_delay * random(), [this, node, r, used] {
      serve_state_now(node, r, [this, node, used](const Response& response) {
        if (!links.state.contains(node)) used(response);
      });
    });
  }
}

void Stand::serve_state_now(int node, const Request& r, const Responder& answer) {
  if (links.refused.contains(node)) {
    answer(reply(503));
    return;
  }
  if (rps_tokens_ < 1) {
    answer(reply(429));
    return;
  }
  rps_tokens_ -= 1;
  const auto body = r.body.empty() ? std::optional<Value>(Value()) : decode(r.body);
  if (r.method == "GET" && r.target.starts_with("/store/")) {
    const std::string key = r.target.substr(7);
    const auto it = keys_.find(key);
    if (it == keys_.end()) {
      answer(reply(404, Value::Map{{"ledger_rev", rev_}}));
      return;
    }
    Value::Map row{{"k", key}, {"value", it->second.value}, {"stamp", it->second.stamp}};
    if (it->second.hold != 0) row.emplace_back("tenancy", it->second.hold);
    answer(reply(200, std::move(row)));
  } else if (r.method == "GET" && r.target.starts_with("/store?")) {
    const std::string prefix = query(r.target, "starts"), from = query(r.target, "from");
    const std::size_t limit =
        std::clamp<std::size_t>(std::strtoull(query(r.target, "limit").c_str(), nullptr, 10), 1, 1000);
    Value::List rows;
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = from.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(std::max(from, prefix));
         it != keys_.end() && it->first.starts_with(prefix); ++it) {
      Value row = Value::Map{{"k", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}};
      bytes += row.json_size() + 1;
      if (rows.size() == limit || (!rows.empty() && bytes > 512 * 1024)) {
        more = true;
        break;
      }
      rows.push_back(std::move(row));
    }
    answer(reply(200, Value::Map{{"rows", std::move(rows)}, {"truncated", more}, {"ledger_rev", rev_}}));
  } else if (r.method == "GET" && r.target.starts_with("/follow?")) {
    const double hold = std::min(60000.0, std::atof(query(r.target, "hold_ms").c_str())) / 1000;
    watches_.push_back({node, query(r.target, "starts"), std::strtoull(query(r.target, "from").c_str(), nullptr, 10),
                        now() + hold, answer});
    answer_watches();
  } else if (r.method == "POST" && r.target == "/multi" && body) {
    transact(*body, answer);
  } else if (r.method == "POST" && r.target == "/holds" && body && (*body)["life_ms"].count()) {
    const double life = static_cast<double>(*(*body)["life_ms"].count()) / 1000;
    holds_[++last_hold_] = {life, now() + life};
    answer(reply(200, Value::Map{{"tenancy", last_hold_}}));
  } else if (r.target.starts_with("/holds/")) {
    const std::uint64_t id = std::strtoull(r.target.c_str() + 7, nullptr, 10);
    const auto it = holds_.find(id);
    if (it == holds_.end()) {
      answer(reply(404));
    } else if (r.method == "DELETE") {
      end_hold(id);
      answer(reply(200));
      answer_watches();
    } else {
      it->second.ends = now() + it->second.life;
      answer(reply(200, Value::Map{{"tenancy", id}}));
    }
  } else {
    answer(reply(400));
  }
}

void Stand::transact(const Value& body, const Responder& answer) {
  static const Value::List kNone;
  const Value::List& when = body["when"].list() != nullptr ? *body["when"].list() : kNone;
  const Value::List& apply = body["apply"].list() != nullptr ? *body["apply"].list() : kNone;
  const auto limit = static_cast<std::size_t>(site_.txn_ops);
  if (when.size() > 4 * limit || apply.size() > limit || body.json_size() > 64 * 1024) {
    note("state service: a transaction beyond the limits");
    answer(reply(400));
    return;
  }
  for (const Value& change : apply) {
    const auto hold = change["tenancy"].count();
    if (hold && !holds_.contains(*hold)) {
      answer(reply(400, Value::Map{{"error", "no such lease"}}));
      return;
    }
    if (change["value"].json_size() > static_cast<std::size_t>(site_.value_kb * 1024)) {
      note("state service: a value beyond the limit");
      answer(reply(400));
      return;
    }
  }
  if (!apply.empty()) {
    if (write_tokens_ < static_cast<double>(apply.size())) {
      answer(reply(429));
      return;
    }
    write_tokens_ -= static_cast<double>(apply.size());
  }
  Value::List failed;
  for (const Value& condition : when) {
    const std::string* key = condition["k"].text();
    const auto it = key == nullptr ? keys_.end() : keys_.find(*key);
    if ((it == keys_.end() ? 0 : it->second.stamp) != condition["stamp"].count().value_or(0))
      failed.emplace_back(key == nullptr ? "" : *key);
  }
  if (!failed.empty()) {
    answer(reply(409, Value::Map{{"failed", std::move(failed)}, {"ledger_rev", rev_}}));
    return;
  }
  if (!apply.empty()) ++rev_;
  for (const Value& change : apply) {
    if (const std::string* key = change["put"].text()) {
      keys_[*key] = {change["value"], rev_, change["tenancy"].count().value_or(0)};
      past_.push_back({rev_, *key, change["value"]});
    } else if (const std::string* gone = change["delete"].text()) {
      if (keys_.erase(*gone) > 0) past_.push_back({rev_, *gone, std::nullopt});
    }
  }
  while (past_.size() > kPastKept) {
    past_before_ = past_.front().stamp;
    past_.pop_front();
  }
  answer(reply(200, Value::Map{{"ledger_rev", rev_}}));
  answer_watches();
}

void Stand::end_hold(std::uint64_t id) {
  holds_.erase(id);
  bool changed = false;
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (it->second.hold != id) {
      ++it;
      continue;
    }
    if (!std::exchange(changed, true)) ++rev_;
    past_.push_back({rev_, it->first, std::nullopt});
    it = keys_.erase(it);
  }
}

void Stand::answer_watches() {
  auto waiting = std::exchange(watches_, {});
  for (Watch& watch : waiting) {
    if (links.state.contains(watch.from_node)) continue;  // the connection carries nothing any more
    if (links.refused.contains(watch.from_node)) {
      watches_.push_back(std::move(watch));
      continue;
    }
    if (watch.from < past_before_) {
      watch.answer(reply(410));
      continue;
    }
    Value::List events;
    const auto first = std::upper_bound(past_.begin(), past_.end(), watch.from,
                                        [](std::uint64_t from, const Past& past) { return from < past.stamp; });
    for (auto past = first; past != past_.end(); ++past) {
      if (!past->key.starts_with(watch.prefix)) continue;
      Value::Map event{{past->value ? "put" : "delete", past->key}, {"stamp", past->stamp}};
      if (past->value) event.emplace_back("value", *past->value);
      events.emplace_back(std::move(event));
    }
    if (events.empty() && now() < watch.until) {
      watches_.push_back(std::move(watch));
    } else {
      watch.answer(reply(200, Value::Map{{"ledger_rev", rev_}, {"events", std::move(events)}}));
    }
  }
}

// ---------------------------------------------------------------- cloud

void Stand::serve_cloud(int node, const Request& r, const Responder& answer) {
  if (links.cloud.contains(node)) return;
  ++cloud_asked[r.target.substr(0, r.target.find('?')) + " by worker-" + std::to_string(node)];
  if (links.cloud_trouble) {
    answer(reply(503, Value::Map{{"error", "trouble"}}));
    return;
  }
  if (cloud_tokens_ < 1) {
    answer(reply(429));
    return;
  }
  cloud_tokens_ -= 1;
  const auto body = r.body.empty() ? std::optional<Value>(Value()) : decode(r.body);
  if (r.method == "GET" && r.target == "/catalog") {
    Value::List flavors;
    for (const Flavor& f : site_.flavors) {
      Value::List sites;
      for (const std::string& s : f.sites) sites.emplace_back(s);
      flavors.emplace_back(Value::Map{{"name", f.name},
                                      {"cores", f.cores},
                                      {"cards", 0.0},
                                      {"memory_gb", f.memory_gb},
                                      {"cache_gb", f.cache_gb},
                                      {"pull_gb_per_s", f.pull_gb_per_s},
                                      {"rate", f.rate},
                                      {"low_price", f.low_price},
                                      {"boot_s", f.boot_s},
                                      {"sites", std::move(sites)}});
    }
    answer(reply(200, Value::Map{{"flavors", std::move(flavors)}}));
  } else if (r.method == "POST" && r.target == "/rentals" && body) {
    answer(reply(503, Value::Map{{"error", "no capacity"}}));  // all machines there are run already
  } else if (r.method == "POST" && r.target == "/rentals/return" && body) {
    if (const Value::List* hosts = (*body)["hosts"].list()) {
      for (const Value& host : *hosts) {
        Worker* w = host.text() == nullptr ? nullptr : find(*host.text());
        if (w == nullptr) continue;
        note("cloud: worker-%d returns %s", node, w->host.c_str());
        drop_tasks(*w);
        w->gone = true;
        rt_.close(w->addr);
      }
    }
    answer(reply(200, Value::Map{}));
  } else if (r.method == "GET" && r.target.starts_with("/rentals")) {
    const std::string from = query(r.target, "from");
    Value::List hosts;
    for (const auto& [host, w] : workers_) {
      if (w->gone || host <= from) continue;
      hosts.emplace_back(Value::Map{{"ref", host},
                                    {"addr", w->addr},
                                    {"flavor", w->flavor},
                                    {"site", w->site},
                                    {"standby", w->standby},
                                    {"status", "running"},
                                    {"held_s", now()}});
    }
    answer(reply(200, Value::Map{{"hosts", std::move(hosts)}, {"truncated", false}}));
  } else {
    answer(reply(400));
  }
}

// ---------------------------------------------------------------- workers

Worker& Stand::add_worker(const std::string& flavor, const std::string& site, bool standby) {
  char host[16];
  std::snprintf(host, sizeof host, "m-%06d", ++hosts_made_);
  auto w = std::make_unique<Worker>();
  w->host = host;
  w->addr = free_endpoint();
  w->flavor = flavor;
  w->site = site;
  w->standby = standby;
  w->lease_from = now();
  w->node = hosts_made_ % site_.controllers;
  w->next_report = now() + static_cast<double>(rt_.random()() % 1000) / 1000;
  listen(w->addr, [this, name = w->host](const Request& r, const Responder& a) { serve_worker(name, r, a); });
  return *(workers_[host] = std::move(w));
}

std::vector<Worker*> Stand::workers() {
  std::vector<Worker*> out;
  for (const auto& [host, w] : workers_) {
    if (!w->gone) out.push_back(w.get());
  }
  return out;
}

Worker* Stand::find(const std::string& host) {
  const auto it = workers_.find(host);
  return it == workers_.end() || it->second->gone ? nullptr : it->second.get();
}

void Stand::left(const Worker& w, const Task& t) {
  if (t.status == "pulling" || t.status == "ended") return;
  on_machine_[{t.ref, t.number}].erase(w.host);
  team_use_[jobs_[t.ref].owner] -= jobs_[t.ref].cores;
}

void Stand::drop_tasks(Worker& w) {
  for (const Task& t : w.tasks) left(w, t);
  w.tasks.clear();
}

void Stand::exit_task(Worker& w, Task& t, const std::string& cause) {
  left(w, t);
  if (cause == "done" && results_.insert({t.ref, t.number}).second) ++completed;
  t.status = "ended";
  t.cause = cause;
  t.since = now();
  w.next_report = std::min(w.next_report, now());
}

void Stand::start_task(Worker& w, const std::string& ref, std::uint32_t number, std::uint64_t attempt) {
  Task t{ref, number, attempt, "pulling", "", false, now(), 0};
  const auto job = jobs_.find(ref);
  const auto refuse = [&](const char* cause) {
    t.status = "ended";
    t.cause = cause;
    w.tasks.push_back(t);
  };
  w.next_report = std::min(w.next_report, now());
  if (job == jobs_.end() || number >= job->second.units) return refuse("no_such");
  const auto flavor = std::find_if(site_.flavors.begin(), site_.flavors.end(),
                                   [&](const Flavor& f) { return f.name == w.flavor; });
  double cores = flavor->cores, memory = flavor->memory_gb;
  for (const Task& other : w.tasks) {
    if (other.status == "ended") continue;
    if (other.ref == ref && other.number == number) return refuse("in_use");
    cores -= jobs_[other.ref].cores;
    memory -= jobs_[other.ref].memory_gb;
  }
  if (job->second.cores > cores + 1e-6 || job->second.memory_gb > memory + 1e-6) return refuse("no_room");
  w.images.try_emplace(job->second.bundle, now() + job->second.image_gb / flavor->pull_gb_per_s);
  w.tasks.push_back(t);
}

void Stand::execute(Worker& w, const Value& orders, int from, double report_sent, std::uint64_t epoch) {
  if (orders.list() == nullptr) return;
  for (const Value& order : *orders.list()) {
    const std::string* verb = order["verb"].text();
    const std::string* unit = order["unit"].text();
    if (verb == nullptr || unit == nullptr || unit->find('/') == std::string::npos) continue;
    const std::string ref = unit->substr(0, unit->find('/'));
    const auto number = static_cast<std::uint32_t>(std::atol(unit->c_str() + unit->find('/') + 1));
    const std::uint64_t attempt = order["try"].count().value_or(0);
    const auto it = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const Task& t) {
      return t.ref == ref && t.number == number && t.attempt == attempt;
    });
    if (*verb == "reap") {
      if (it != w.tasks.end() && it->status == "ended") w.tasks.erase(it);
    } else if (*verb == "halt") {
      if (it != w.tasks.end() && it->status != "ended") exit_task(w, *it, "stopped");
    } else if (*verb == "run") {
      runs.push_back({w.host, ref, number, attempt, epoch, from, report_sent, now(), it == w.tasks.end()});
      if (it == w.tasks.end()) start_task(w, ref, number, attempt);
    }
  }
}

void Stand::serve_worker(const std::string& host, const Request& r, const Responder& answer) {
  Worker* w = find(host);
  if (w == nullptr || links.deaf.contains(host)) return;
  if (now() < w->hung_until) {  // it goes on with what arrived meanwhile
    after(w->hung_until - now() + 0.01, [this, host, r, answer] { serve_worker(host, r, answer); });
    return;
  }
  if (r.method == "GET" && r.target == "/inspect") {
    answer(reply(200, describe(*w)));
    return;
  }
  const auto body = decode(r.body);
  const auto epoch = body ? (*body)["epoch"].count() : std::nullopt;
  const auto tenure = body ? (*body)["tenure"].count() : std::nullopt;
  if (!epoch || !tenure) {
    answer(reply(400));
    return;
  }
  const bool accepted = *epoch >= w->epoch && *tenure == w->tenure;
  if (*epoch > w->epoch) {
    w->epoch = *epoch;
    if (now() - w->token_changed > site_.lease_s / 2) {
      w->token_changed = now();
      w->next_report = std::min(w->next_report, now());
    }
  }
  if (accepted) execute(*w, (*body)["orders"], -1, now(), *epoch);
  answer(reply(accepted ? 200 : 409, describe(*w)));
}

Value Stand::describe(Worker& w) {
  Value::List units;
  units.reserve(w.tasks.size());
  for (const Task& t : w.tasks) {
    Value::Map unit{{"unit", unit_name(t.ref, t.number)}, {"try", t.attempt}, {"status", t.status}};
    if (t.status == "ended") unit.emplace_back("cause", t.cause);
    units.emplace_back(std::move(unit));
  }
  return Value::Map{{"host", w.host},       {"addr", w.addr},     {"flavor", w.flavor}, {"site", w.site},
                    {"standby", w.standby}, {"tenure", w.tenure}, {"serial", ++w.serial}, {"epoch", w.epoch},
                    {"warning_s", nullptr}, {"units", std::move(units)}};
}

void Stand::tick() {
  const double t = now();
  const double passed = t - refilled_;
  refilled_ = t;
  rps_tokens_ = std::min(site_.state_rps, rps_tokens_ + passed * site_.state_rps);
  write_tokens_ = std::min(site_.state_write_rps, write_tokens_ + passed * site_.state_write_rps);
  cloud_tokens_ = std::min(2 * site_.cloud_rps, cloud_tokens_ + passed * site_.cloud_rps);
  std::vector<std::uint64_t> ended;
  for (const auto& [id, hold] : holds_) {
    if (t >= hold.ends) ended.push_back(id);
  }
  for (const std::uint64_t id : ended) end_hold(id);
  answer_watches();
  for (const auto& [host, w] : workers_) {
    if (!w->gone && t >= w->hung_until) step(*w);
  }
  reap_children();
  check_memory();
  if (!stopping_) rt_.after(from_seconds(kTick), [this] { tick(); });
}

void Stand::step(Worker& w) {
  const double t = now();
  if (t - w.lease_from > site_.lease_s) {
    if (!w.tasks.empty()) {
      ++leases_lost;
      note("%s: its lease is over, %zu tasks are killed", w.host.c_str(), w.tasks.size());
    }
    drop_tasks(w);
    ++w.tenure;
    w.lease_from = w.next_report = t;
  }
  for (Task& task : w.tasks) {
    const Job& job = jobs_[task.ref];
    if (task.status == "pulling") {
      if (t < w.images[job.bundle]) continue;
      task.status = "running";
      task.since = t;
      task.ends_at = t + (results_.contains({task.ref, task.number}) ? 0 : job.run_s * (1 + job.vary * (2 * random() - 1)));
      ++starts;
      auto& hosts = on_machine_[{task.ref, task.number}];
      if (!hosts.empty()) {
        broken.push_back("ran_twice: " + unit_name(task.ref, task.number) + " on " + w.host + " and " + *hosts.begin());
        note("%s", broken.back().c_str());
      }
      hosts.insert(w.host);
      team_use_[job.owner] += job.cores;
      for (const Team& team : site_.teams) {
        if (team.name == job.owner && team.cpus_max > 0 && team_use_[job.owner] > team.cpus_max + 1e-6) {
          broken.push_back("quota: " + team.name);
          note("%s", broken.back().c_str());
        }
      }
      w.next_report = std::min(w.next_report, t);
      if (on_start) on_start(w, task);
    } else if (task.status == "running" && job.shape == "sweep" && t >= task.ends_at) {
      exit_task(w, task, "done");
    }
  }
  if (!w.in_flight && t >= w.next_report && t - w.last_sent >= 0.5) report(w);
}

void Stand::report(Worker& w) {
  const double sent = now();
  w.last_sent = sent;
  w.next_report = sent + site_.report_s * (0.75 + static_cast<double>(rt_.random()() % 500) / 1000);
  w.in_flight = true;
  const Value body = describe(w);
  largest_report = std::max(largest_report, body.json_size());
  const int node = w.node;
  const bool cut = links.workers.contains(node) || links.mute.contains(w.host);
  if (!cut && links.late_reports > 0 && random() < links.late_reports) {
    const int to = static_cast<int>(rt_.random()() % static_cast<unsigned>(site_.controllers));
    after(2 + 1.5 * site_.lease_s * random(), [this, to, bytes = encode(body)] {
      if (pids_[to] > 0) rt_.call(client_[to], {"POST", "/hello", bytes}, from_seconds(4), [](const CallResult&) {});
    });
  }
  if (cut || pids_[node] == 0) {
    const double wait = cut ? 4 : 0.01;
    rt_.after(from_seconds(wait), [this, host = w.host, tenure = w.tenure, sent, node] {
      on_answer(host, tenure, sent, node, CallResult{});
    });
    return;
  }
  rt_.call(proxy_.empty() ? client_[node] : proxy_[node], {"POST", "/hello", encode(body)}, from_seconds(4),
           [this, host = w.host, tenure = w.tenure, sent, node](const CallResult& result) {
             on_answer(host, tenure, sent, node, result);
           });
}

void Stand::on_answer(const std::string& host, std::uint64_t tenure, double sent, int node, const CallResult& result) {
  Worker* w = find(host);
  if (w == nullptr) return;
  w->in_flight = false;
  const double t = now();
  if (t < w->hung_until) return;
  if (links.deaf.contains(host)) {
    w->in_flight = true;
    after(std::max(0.0, sent + 4 - t), [this, host, tenure, sent, node] {
      if (!links.deaf.contains(host)) return on_answer(host, tenure, sent, node, CallResult{});
      Worker* deaf = find(host);
      if (deaf == nullptr) return;
      deaf->in_flight = false;
      deaf->node = (node + 1) % site_.controllers;
      deaf->next_report = now() + 1;
    });
    return;
  }
  const auto body = result.answered ? decode(result.response.body) : std::nullopt;
  if (result.answered && result.response.status == 200 && body) {
    const std::size_t size = body->json_size();
    largest_response = std::max(largest_response, size);
    if (max_response_to_worker == 0 || size <= max_response_to_worker) {
      const auto epoch = (*body)["epoch"].count();
      if (!epoch || *epoch < w->epoch || tenure != w->tenure) return;
      if (*epoch > w->epoch) {
        w->epoch = *epoch;
        if (t - w->token_changed > site_.lease_s / 2) {
          w->token_changed = t;
          w->next_report = std::min(w->next_report, t);
        }
      }
      w->lease_from = sent;
      execute(*w, (*body)["orders"], node, sent, *epoch);
      return;
    }
    ++oversized_responses;
    note("%s: a response of %zu bytes from worker-%d, more than the limit of %llu", host.c_str(), size, node,
         static_cast<unsigned long long>(max_response_to_worker));
  } else if (result.answered && result.response.status == 421) {
    const std::string* upstream = body ? (*body)["upstream"].text() : nullptr;
    const int to = upstream == nullptr ? -1 : std::atoi(upstream->c_str() + 7);
    if (to >= 0 && to < site_.controllers && to != node) {
      w->node = to;
      w->next_report = t;
      return;
    }
  } else if (result.answered) {
    ++refused_reports;
    note("%s: worker-%d answers a report with %d", host.c_str(), node, result.response.status);
  }
  w->node = (node + 1) % site_.controllers;
  w->next_report = t + 1;
}

}  // namespace stand

#include "stand.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <iostream>

#include "wrenusher/net/open_files.hpp"
#include "wrenusher/net/signals.hpp"

namespace stand {

namespace {

sockaddr_in parse(const Endpoint& endpoint) {
  sockaddr_in address{};
  const auto colon = endpoint.rfind(':');
  uv_ip4_addr(endpoint.substr(0, colon).c_str(), std::atoi(endpoint.c_str() + colon + 1), &address);
  return address;
}

}  // namespace

Endpoint free_address() {
  // Below the ports that the system gives to outgoing connections, from a place that differs between runs.
  static int port = 10000 + static_cast<int>((static_cast<unsigned>(getpid()) * 7919U) % 18000U);
  for (int tries = 0; tries < 20000; ++tries) {
    port = port >= 32000 ? 10000 : port + 1;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool is_free = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    if (fd >= 0) close(fd);
    if (is_free) return "127.0.0.1:" + std::to_string(port);
  }
  std::cerr << "no free port\n";
  std::exit(2);
}

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

double Record::seconds() const {
  return static_cast<double>(uv_hrtime() - start_) / 1e9;
}

void Record::line(const std::string& text) {
  out_ << number(seconds()) << ' ' << text << std::endl;
}

std::string text_of(const Value& value, const char* field) {
  const std::string* text = value[field].text();
  return text == nullptr ? std::string() : *text;
}

std::string status_of(const CallResult& result) {
  if (!result.answered) return "no answer";
  std::string out = std::to_string(result.response.status);
  if (const auto body = wrenusher::value::decode(result.response.body)) {
    for (const char* field : {"status", "code"}) {
      if (const std::string text = text_of(*body, field); !text.empty()) out += " " + text;
    }
  }
  return out;
}

Arguments arguments(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: case PROGRAM FOLDER RECORD\n";
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

// ---------------------------------------------------------------- sites

Site soleil_armor() {
  Site site;
  site.zones = {"brest", "rennes"};
  site.teams = nlohmann::json::array();
  for (int i = 0; i < 12; ++i)
    site.teams.push_back({{"name", std::string("guichet-") + (i < 10 ? "0" : "") + std::to_string(i)},
                          {"cpus", 128.0},
                          {"cpus_max", 384.0},
                          {"gpus", 0.0},
                          {"gpus_max", 0.0}});
  site.objectives = {{{"kind", "deadline"}, {"class", "releves"}, {"share", 0.8}, {"times", 1.0}},
                     {{"kind", "deadline"}, {"class", "correctifs"}, {"share", 0.82}, {"times", 1.0}},
                     {{"kind", "wait"}, {"class", "correctifs"}, {"within_s", 35.0}, {"share", 0.85}},
                     {{"kind", "guarantee"}, {"within_s", 30.0}, {"share", 0.93}}};
  site.flavors = {{"korrigan", 16, 0, 64, 30, 0.3, 0.74, 0.19, 20, {"rennes", "brest"}},
                  {"menhir", 64, 0, 256, 50, 0.3, 3.22, 0.93, 30, {"rennes"}}};
  return site;
}

Site ciel_armor() {
  Site site;
  site.zones = {"lorient", "quimper", "vannes"};
  site.teams = nlohmann::json::array();
  const auto add = [&](const char* name, double gpus, double gpus_max) {
    site.teams.push_back(
        {{"name", name}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", gpus}, {"gpus_max", gpus_max}});
  };
  add("equipe-nuages", 500, 5000);
  add("cartographie", 800, 10000);
  add("modelisation", 700, 7000);
  add("astreinte-ciel", 600, 7000);
  site.report_s = 4;
  site.lease_s = 26;
  site.gang_wait_s = 50;
  site.cancel_s = 46;
  site.state_rps = 80;
  site.state_write_rps = 25;
  site.value_kb = 8;
  site.cloud_rps = 6;
  site.list_lag_s = 10;
  site.max_sockets = 1500;
  site.memory_mb = 104;
  site.core_share = 0.12;
  site.clock_error_ms = 1000;
  site.flavors = {{"dolmen-48", 48, 4, 384, 60, 0.15, 11.68, 5.26, 40, {"lorient", "vannes", "quimper"}}};
  return site;
}

Site fragua_libre() {
  Site site;
  site.zones = {"medellin"};
  site.teams = {{{"name", "nucleo"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}};
  site.report_s = 3;
  site.lease_s = 24;
  site.cancel_s = 54;
  site.state_write_rps = 30;
  site.txn_ops = 24;
  site.cloud_rps = 3;
  site.list_lag_s = 10;
  site.max_sockets = 2500;
  site.memory_mb = 136;
  site.core_share = 0.12;
  site.flavors = {{"colibri", 8, 0, 16, 40, 0.6, 0.38, 0.12, 40, {"medellin"}},
                  {"condor", 64, 0, 512, 40, 0.3, 3.72, 1.15, 20, {"medellin"}}};
  return site;
}

// ---------------------------------------------------------------- relay

/// Two connected sockets. Bytes read on one are written to the other.
struct Relay::Link {
  struct Side {
    Link* link = nullptr;
    uv_tcp_t tcp{};
    bool connected = false;
    std::string unsent;
  };
  Relay* relay = nullptr;
  Endpoint to;
  Side near;
  Side far;
  uv_connect_t connect{};
  bool closing = false;
  int open_handles = 0;

  Side& other(Side& side) { return &side == &near ? far : near; }

  void close(bool reset) {
    if (closing) return;
    closing = true;
    relay->links_.erase(this);
    for (Side* side : {&near, &far}) {
      const auto on_closed = [](uv_handle_t* handle) {
        auto* closed = static_cast<Side*>(handle->data);
        if (--closed->link->open_handles == 0) delete closed->link;
      };
      auto* handle = reinterpret_cast<uv_handle_t*>(&side->tcp);
      if (reset && side->connected && !uv_is_closing(handle)) {
        if (uv_tcp_close_reset(&side->tcp, on_closed) == 0) continue;
      }
      uv_close(handle, on_closed);
    }
  }

  void read(Side& side) {
    if (closing || !side.connected) return;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&side.tcp),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          static char bytes[65536];
          *buffer = uv_buf_init(bytes, sizeof bytes);
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
          auto* from = static_cast<Side*>(stream->data);
          if (size == 0) return;
          if (size < 0) {
            from->link->close(size != UV_EOF);
            return;
          }
          from->link->write(from->link->other(*from),
                            std::string(buffer->base, static_cast<std::size_t>(size)));
        });
  }

  void write(Side& side, std::string bytes) {
    if (closing) return;
    if (!side.connected) {
      side.unsent += bytes;
      return;
    }
    struct Write {
      uv_write_t request{};
      std::string bytes;
    };
    auto* pending = new Write;
    pending->bytes = std::move(bytes);
    uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    pending->request.data = pending;
    if (uv_write(&pending->request, reinterpret_cast<uv_stream_t*>(&side.tcp), &buffer, 1,
                 [](uv_write_t* request, int) { delete static_cast<Write*>(request->data); }) != 0)
      delete pending;
  }

  void set_reading(bool on) {
    for (Side* side : {&near, &far}) {
      if (on) {
        read(*side);
      } else if (side->connected) {
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&side->tcp));
      }
    }
    if (on && !far.connected && !closing && open_handles == 2 && connect.handle == nullptr) start();
  }

  void start() {
    const sockaddr_in address = parse(to);
    connect.data = this;
    const int result = uv_tcp_connect(&connect, &far.tcp, reinterpret_cast<const sockaddr*>(&address),
                                      [](uv_connect_t* request, int status) {
                                        auto* link = static_cast<Link*>(request->data);
                                        if (link->closing) return;
                                        if (status != 0) {
                                          link->close(true);
                                          return;
                                        }
                                        link->far.connected = true;
                                        uv_tcp_nodelay(&link->far.tcp, 1);
                                        if (!link->far.unsent.empty())
                                          link->write(link->far, std::exchange(link->far.unsent, {}));
                                        if (!link->relay->holding_) link->set_reading(true);
                                      });
    if (result != 0) close(true);
  }
};

Relay::Relay(uv_loop_t* loop, Choose choose)
    : loop_(loop), choose_(std::move(choose)), address_(free_address()) {
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  const sockaddr_in address = parse(address_);
  if (uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&address), 0) != 0 ||
      uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 512, [](uv_stream_t* server, int status) {
        if (status == 0) static_cast<Relay*>(server->data)->accept();
      }) != 0) {
    std::cerr << "cannot listen on " << address_ << '\n';
    std::exit(2);
  }
}

void Relay::accept() {
  auto* link = new Link;
  link->relay = this;
  for (Link::Side* side : {&link->near, &link->far}) {
    side->link = link;
    uv_tcp_init(loop_, &side->tcp);
    side->tcp.data = side;
    ++link->open_handles;
  }
  links_.insert(link);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener_),
                reinterpret_cast<uv_stream_t*>(&link->near.tcp)) != 0) {
    link->close(false);
    return;
  }
  link->near.connected = true;
  uv_tcp_nodelay(&link->near.tcp, 1);
  link->to = choose_();
  if (link->to.empty()) {
    link->close(true);
    return;
  }
  if (holding_) return;  // connected once the link works again
  link->start();
}

void Relay::hold(bool on) {
  holding_ = on;
  const auto links = links_;
  for (Link* link : links) link->set_reading(!on);
}

void Relay::reset(const Endpoint& to) {
  const auto links = links_;
  for (Link* link : links) {
    if (to.empty() || link->to == to) link->close(true);
  }
}

int Relay::open(const Endpoint& to) const {
  return static_cast<int>(
      std::count_if(links_.begin(), links_.end(), [&](const Link* link) { return link->to == to; }));
}

// ---------------------------------------------------------------- balancer

Balancer::Balancer(World& world, std::vector<Endpoint> nodes)
    : world_(world), relay_(world.runtime.loop(), [this] { return choose(); }) {
  for (Endpoint& address : nodes) nodes_.push_back({std::move(address)});
  for (std::size_t i = 0; i < nodes_.size(); ++i) probe(i);
}

void Balancer::probe(std::size_t i) {
  world_.call(nodes_[i].address, "GET", "/ready", {}, 1, [this, i](const CallResult& result) {
    record_probe(i, result.answered && result.response.status == 200);
    world_.after(1, [this, i] { probe(i); });
  });
}

void Balancer::record_probe(std::size_t i, bool good) {
  Node& node = nodes_[i];
  const Instant now = world_.now();
  node.probes.push_back(good);
  if (node.probes.size() > 6) node.probes.erase(node.probes.begin());
  const auto last_two = [&](bool what) {
    const std::size_t n = node.probes.size();
    return n >= 2 && node.probes[n - 1] == what && node.probes[n - 2] == what;
  };
  if (node.healthy) {
    if (!last_two(false) && std::count(node.probes.begin(), node.probes.end(), false) < 3) return;
    node.healthy = false;
    node.pause =
        now - node.removed < from_seconds(120) ? std::min(node.pause * 2, from_seconds(60)) : from_seconds(3);
    node.removed = now;
    node.removed_until = now + node.pause;
    node.probes.clear();
    world_.record.line("balancer: " + world_.name(static_cast<int>(i)) + " is unhealthy");
    node.reset_due = true;
    world_.after(5, [this, i] {
      if (nodes_[i].healthy || !nodes_[i].reset_due) return;
      nodes_[i].reset_due = false;
      relay_.reset(nodes_[i].address);
    });
  } else if (good && (!node.ever_healthy || (last_two(true) && now >= node.removed_until))) {
    node.healthy = node.ever_healthy = true;
    node.reset_due = false;
    node.probes.clear();
    world_.record.line("balancer: " + world_.name(static_cast<int>(i)) + " is healthy");
  }
}

Endpoint Balancer::choose() const {
  const Node* best = nullptr;
  for (const Node& node : nodes_) {
    if (node.healthy && (best == nullptr || relay_.open(node.address) < relay_.open(best->address)))
      best = &node;
  }
  return best == nullptr ? Endpoint() : best->address;
}

UserConnection::UserConnection(World& world, const Endpoint& to) : world_(world), to_(to) {
  // The runtime keeps its connections by the text of the address: leading zeros of the port make this user's
  // own.
  static int users = 0;
  const auto colon = to_.rfind(':');
  to_.insert(colon + 1, std::string(static_cast<std::size_t>(++users), '0'));
}

void UserConnection::send(const std::string& method, const std::string& target, const std::string& body,
                          double timeout_s, CallHandler done) {
  world_.call(to_, method, target, body, timeout_s, std::move(done));
}

// ---------------------------------------------------------------- world

World::World(std::string program, std::string folder, const std::string& record_file, Site chosen_site)
    : record(record_file),
      site(std::move(chosen_site)),
      program_(std::move(program)),
      folder_(std::move(folder)) {
  wrenusher::net::ignore_broken_pipes();
  wrenusher::net::raise_open_file_limit(8000);
  wrenusher::testbed::KvLimits limits{site.state_rps, site.state_write_rps, site.value_kb, site.txn_ops};
  state_ = std::make_unique<wrenusher::testbed::KvService>(
      *this, limits, std::make_unique<wrenusher::testbed::MemoryStorage>());
  constexpr int kControllers = 3;
  pids_.resize(kControllers);
  for (int i = 0; i < kControllers; ++i) {
    client_.push_back(free_address());
    peer_.push_back(free_address());
    const Endpoint state_address = free_address();
    runtime.listen(state_address, 10000, [this, i](const Request& request, const Responder& respond) {
      state_->serve(name(i), request, respond);
    });
    state_links_.push_back(
        std::make_unique<Relay>(runtime.loop(), [state_address] { return state_address; }));
    cloud_.push_back(free_address());
    runtime.listen(cloud_.back(), 10000, [this, i](const Request& request, const Responder& respond) {
      if (cloud) {
        cloud(i, request, respond);
      } else {
        respond({503, {}, 0});
      }
    });
  }
  for (int i = 0; i < kControllers; ++i) {
    for (int k = 0; k < kControllers; ++k) {
      if (k == i) continue;
      peer_links_[{i, k}] =
          std::make_unique<Relay>(runtime.loop(), [this, k] { return peer_[static_cast<std::size_t>(k)]; });
    }
  }
  write_settings();
}

World::~World() {
  for (std::size_t i = 0; i < pids_.size(); ++i) signal_controller(static_cast<int>(i), SIGKILL);
}

void World::write_settings() {
  using nlohmann::json;
  const auto zone = [this](int i) { return site.zones[static_cast<std::size_t>(i) % site.zones.size()]; };
  for (int i = 0; i < static_cast<int>(pids_.size()); ++i) {
    json peers = json::array();
    for (int k = 0; k < static_cast<int>(pids_.size()); ++k) {
      if (k != i)
        peers.push_back(
            {{"host_name", name(k)}, {"zone", zone(k)}, {"peer_addr", peer_link(i, k).address()}});
    }
    const json settings = {
        {"host_name", name(i)},
        {"zone", zone(i)},
        {"client_listen", client(i)},
        {"peer_listen", peer_[static_cast<std::size_t>(i)]},
        {"peers", peers},
        {"services", {{"cloud", cloud_[static_cast<std::size_t>(i)]}, {"state", state_link(i).address()}}},
        {"cluster",
         {{"size", pids_.size()},
          {"zones", site.zones},
          {"teams", site.teams},
          {"objectives", site.objectives},
          {"workers",
           {{"report_s", site.report_s},
            {"lease_s", site.lease_s},
            {"gang_wait_s", site.gang_wait_s},
            {"gang_peer_s", site.gang_peer_s},
            {"cancel_s", site.cancel_s}}},
          {"state",
           {{"rps", site.state_rps},
            {"write_rps", site.state_write_rps},
            {"value_kb", site.value_kb},
            {"txn_ops", site.txn_ops}}},
          {"cloud", {{"rps", site.cloud_rps}, {"list_lag_s", site.list_lag_s}}},
          {"limits",
           {{"core_share", site.core_share},
            {"memory_mb", site.memory_mb},
            {"max_sockets", site.max_sockets}}},
          {"clock_error_ms", site.clock_error_ms}}}};
    std::ofstream(folder_ + "/" + name(i) + ".json") << settings.dump(2) << '\n';
  }
}

void World::start_controller(int i) {
  const std::string config = folder_ + "/" + name(i) + ".json";
  const std::string log = folder_ + "/" + name(i) + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    for (int other = 3; other < 4096; ++other) close(other);
    const char* level = std::getenv("CASE_LOG");
    setenv("LOG_LEVEL", level != nullptr ? level : "info", 1);
    execl(program_.c_str(), program_.c_str(), "--config", config.c_str(), nullptr);
    _exit(127);
  }
  pids_[static_cast<std::size_t>(i)] = pid;
  record.line(name(i) + " is started");
}

void World::signal_controller(int i, int signal) {
  pid_t& pid = pids_[static_cast<std::size_t>(i)];
  if (pid <= 0) return;
  kill(pid, signal);
  if (signal != SIGKILL) return;
  waitpid(pid, nullptr, 0);
  pid = 0;
}

int World::leader() const {
  const auto* entry = state_->find("leader");
  if (entry == nullptr) return -1;
  const std::string node = text_of(entry->value, "node");
  for (int i = 0; i < static_cast<int>(pids_.size()); ++i) {
    if (node == name(i)) return i;
  }
  return -1;
}

int World::run() {
  // A controller that ends by itself is noticed here.
  struct Watcher {
    World* world;
    void operator()() const {
      for (std::size_t i = 0; i < world->pids_.size(); ++i) {
        int status = 0;
        pid_t& pid = world->pids_[i];
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
          pid = 0;
          world->record.line(world->name(static_cast<int>(i)) + " has ended by itself, wait status " +
                             std::to_string(status));
        }
      }
      world->after(0.2, *this);
    }
  };
  after(0.2, Watcher{this});
  runtime.run();
  return code_;
}

void World::finish(int code) {
  code_ = code;
  for (std::size_t i = 0; i < pids_.size(); ++i) signal_controller(static_cast<int>(i), SIGKILL);
  runtime.stop();
}

}  // namespace stand

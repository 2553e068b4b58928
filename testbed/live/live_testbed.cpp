#include "wrenusher/testbed/live_testbed.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "wrenusher/testbed/answers.hpp"
#include "wrenusher/testbed/controller_settings.hpp"
#include "wrenusher/testbed/live_child.hpp"

namespace wrenusher::testbed {

namespace {

constexpr Micros kUserRequestTimeout = from_seconds(5);
constexpr int kMaxControllers = 9;

std::unique_ptr<DurableStorage> make_storage(const TestbedOptions& o) {
  if (o.data.empty()) return std::make_unique<MemoryStorage>();
  return open_sqlite(o.data + "/state");
}

std::vector<Endpoint> client_ports(const TestbedOptions& o) {
  std::vector<Endpoint> out;
  for (int i = 0; i < o.controllers; ++i) out.push_back(loopback(o.port + kClientPort + i));
  return out;
}

}  // namespace

LiveTestbed::LiveTestbed(net::UvRuntime& runtime, TestbedOptions options)
    : runtime_(runtime),
      options_(std::move(options)),
      folder_(options_.data),
      checker_(options_.site.settings, options_.site.topology),
      transport_(runtime, options_.port + kMachinePort),
      kv_service_(transport_, limits_of(options_.site.settings), make_storage(options_)),
      machines_(transport_, options_.site, checker_, options_.speed),
      cloud_(transport_, options_.site, machines_),
      balancer_(transport_, client_ports(options_)),
      users_(transport_, balancer_, machines_, checker_) {
  if (options_.controllers < 1 || options_.controllers > kMaxControllers)
    throw TestbedError("--controllers: must be between 1 and " + std::to_string(kMaxControllers));
  if (access(options_.program.c_str(), X_OK) != 0)
    throw TestbedError(options_.program +
                       ": there is no program to run; build it, or give its path with --wrenusher");
  transport_.links.zone_of = [this](const std::string& name) -> std::string {
    const auto& zones = options_.site.settings.zones;
    for (int i = 0; i < options_.controllers; ++i) {
      if (name == controller_name(i)) return zones[static_cast<std::size_t>(i) % zones.size()];
    }
    return machines_.zone_of(name);
  };
  open_ports();
  std::vector<std::pair<std::string, Endpoint>> nodes;
  for (int i = 0; i < options_.controllers; ++i) {
    nodes.emplace_back(controller_name(i), client(i));
    transport_.name(client(i), controller_name(i));
  }
  machines_.controllers(std::move(nodes));
  // Job descriptions that users uploaded to an earlier testbed on this folder remain available to workers.
  for (const auto& [key, e] : kv_service_.keys()) {
    if (!key.starts_with("job/")) continue;
    if (const auto spec = read_spec(e.value["spec"])) {
      machines_.describe({*spec, {}, false});
      checker_.submitted(*spec);
    }
  }
  cloud_.provide_now();
  machines_.start();
  write_operators_files();
  for (int i = 0; i < options_.controllers; ++i) {
    const std::string file = folder_.path() + "/" + controller_name(i) + ".json";
    std::ofstream out(file);
    out << controller_settings(options_, i);
    if (!out.flush()) throw TestbedError(file + ": cannot be written");
    children_.push_back(std::make_unique<Child>());
    children_.back()->testbed = this;
    children_.back()->number = i;
    start_child(i);
  }
  balancer_.start();
}

LiveTestbed::~LiveTestbed() {
  for (const auto& c : children_) {
    if (c->running) uv_process_kill(&c->process, SIGKILL);
  }
}

Endpoint LiveTestbed::client(int controller) const {
  return loopback(options_.port + kClientPort + controller);
}

std::string LiveTestbed::log_of(int controller) const {
  return folder_.path() + "/" + controller_name(controller) + ".log";
}

/// Opens separate ports for each controller to the state service, the cloud and its peers. The port
/// identifies the sender, so a single link can be cut.
void LiveTestbed::open_ports() {
  try {
    transport_.serve_at(client_endpoint(), "front", "user",
                        [this](const std::string&, const Request& request, const Responder& respond) {
                          serve_user(request, respond);
                        });
    transport_.serve_at(control(), "control", "",
                        [this](const std::string&, const Request& request, const Responder& respond) {
                          serve_control(request, respond);
                        });
    for (int i = 0; i < options_.controllers; ++i) {
      const std::string name = controller_name(i);
      transport_.serve_at(loopback(options_.port + kKvPort + i), "state", name,
                          [this](const std::string& from, const Request& request, const Responder& respond) {
                            kv_service_.serve(from, request, respond);
                          });
      transport_.serve_at(loopback(options_.port + kCloudPort + i), "cloud", name,
                          [this](const std::string& from, const Request& request, const Responder& respond) {
                            cloud_.serve(from, request, respond);
                          });
      for (int k = 0; k < options_.controllers; ++k) {
        if (k == i) continue;
        transport_.serve_at(loopback(options_.port + kRelayPort + 10 * i + k), controller_name(k), name,
                            [this, k](const std::string&, const Request& request, const Responder& respond) {
                              runtime_.call(
                                  loopback(options_.port + kPeerPort + k), request, from_seconds(4),
                                  [respond](const CallResult& result) {
                                    respond(result.answered ? result.response : Response{502, {}, 0});
                                  });
                            });
      }
    }
  } catch (const std::runtime_error& e) {
    throw TestbedError(std::string(e.what()) +
                       "; another testbed may be running there; choose another --port");
  }
}

// ---------------------------------------------------------------- children

int run_child(char** args) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() == 1) return 1;  // the testbed has exited already
  execv(args[0], args);
  return 1;
}

void LiveTestbed::start_child(int i) {
  Child& c = *children_[static_cast<std::size_t>(i)];
  const std::string config = folder_.path() + "/" + controller_name(i) + ".json";
  const int log = open(log_of(i).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) throw TestbedError(log_of(i) + ": cannot be written");
  // The controller is started through this executable, see run_child: the kernel then kills it when the
  // testbed exits, also after a crash.
  std::string self = "/proc/self/exe";
  std::string as_child = kChildFlag;
  std::string program = options_.program;
  std::string flag = "--config";
  std::string file = config;
  std::vector<char*> args{self.data(), as_child.data(), program.data(), flag.data(), file.data()};
  std::string tunables_flag = "--tunables";
  std::string tunables = tunables_path();
  if (!tunables_text().empty()) args.insert(args.end(), {tunables_flag.data(), tunables.data()});
  args.push_back(nullptr);
  uv_stdio_container_t stdio[3] = {};
  stdio[0].flags = UV_IGNORE;
  stdio[1].flags = UV_INHERIT_FD;
  stdio[1].data.fd = log;
  stdio[2] = stdio[1];
  uv_process_options_t process_options{};
  process_options.file = self.c_str();
  process_options.args = args.data();
  process_options.stdio = stdio;
  process_options.stdio_count = 3;
  process_options.exit_cb = [](uv_process_t* p, std::int64_t, int) {
    auto* child = static_cast<Child*>(p->data);
    uv_close(reinterpret_cast<uv_handle_t*>(p), [](uv_handle_t* h) {
      auto* exited = static_cast<Child*>(h->data);
      exited->testbed->child_exited(*exited);
    });
    child->running = false;
  };
  c.process = {};
  c.process.data = &c;
  const int rc = uv_spawn(runtime_.loop(), &c.process, &process_options);
  ::close(log);
  if (rc != 0) throw TestbedError(program + ": cannot be started: " + uv_strerror(rc));
  c.running = true;
}

std::optional<int> LiveTestbed::pid(int controller) const {
  const Child& c = *children_[static_cast<std::size_t>(controller)];
  if (!c.running) return std::nullopt;
  return c.process.pid;
}

std::string LiveTestbed::tunables_path() const {
  return folder_.path() + "/tunables.yaml";
}

/// Returns the text of the tunables file; empty if the controllers get none.
std::string LiveTestbed::tunables_text() const {
  return options_.tunables + (options_.site.topology_text.empty() ? "" : "topology: topology.yaml\n");
}

/// Writes the topology and the tunables, which may be changed while the testbed runs. They are written before
/// any controller starts: a controller that starts during the write reads no tunables and keeps the defaults.
void LiveTestbed::write_operators_files() {
  if (!options_.site.topology_text.empty() && !config_reader::read_file(topology_path()))
    write_topology(options_.site.topology_text);
  if (tunables_text().empty()) return;
  std::ofstream out(tunables_path());
  out << tunables_text();
  if (!out.flush()) throw TestbedError(tunables_path() + ": cannot be written");
}

std::string LiveTestbed::topology_path() const {
  return folder_.path() + "/topology.yaml";
}

void LiveTestbed::write_topology(const std::string& text) {
  // Written to a temporary file and renamed, since controllers may read the file at any time.
  const std::string next = topology_path() + ".next";
  std::ofstream out(next);
  out << text;
  if (!out.flush()) throw TestbedError(next + ": cannot be written");
  out.close();
  std::filesystem::rename(next, topology_path());
}

void LiveTestbed::child_exited(Child& child) {
  ++exit_count_;
  if (!stopping_) {
    runtime_.after(std::exchange(child.restart_delay, kRestartDelay), [this, i = child.number] {
      if (!stopping_) start_child(i);
    });
    return;
  }
  const bool any_running =
      std::any_of(children_.begin(), children_.end(), [](const auto& x) { return x->running; });
  if (!any_running && on_stopped_) std::exchange(on_stopped_, nullptr)();
}

void LiveTestbed::stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  bool any_running = false;
  for (const auto& c : children_) {
    if (!c->running) continue;
    any_running = true;
    uv_process_kill(&c->process, SIGKILL);
  }
  if (!any_running && on_stopped_) std::exchange(on_stopped_, nullptr)();
}

// ---------------------------------------------------------------- status

std::string LiveTestbed::leader() const {
  const KvEntry* e = kv_service_.find("leader");
  const std::string* node = e == nullptr ? nullptr : e->value["node"].text();
  return node == nullptr ? "" : *node;
}

std::uint64_t LiveTestbed::terms() const {
  const KvEntry* e = kv_service_.find("epoch");
  return e == nullptr ? 0 : e->value["epoch"].count().value_or(0);
}

Value LiveTestbed::status() const {
  Value::List controllers;
  for (const auto& c : children_)
    controllers.emplace_back(
        Value::Map{{"name", controller_name(c->number)}, {"running", c->running}, {"at", client(c->number)}});
  Value::List broken;
  for (const std::string& note : checker_.notes()) broken.emplace_back(note);
  std::map<std::string, int> states;
  for (const auto& [ref, job] : users_.jobs())
    ++states[job.refused != 0 ? "refused" : job.state.empty() ? "sent" : job.state];
  Value::Map jobs;
  for (const auto& [state, n] : states) jobs.emplace_back(state, n);
  return Value::Map{{"site", options_.site.name},
                    {"leader", leader()},
                    {"terms", terms()},
                    {"controllers", std::move(controllers)},
                    {"machines", static_cast<std::uint64_t>(machines_.up().size())},
                    {"jobs", std::move(jobs)},
                    {"keys", static_cast<std::uint64_t>(kv_service_.count(""))},
                    {"state_trouble", kv_service_.storage_error()},
                    {"broken_rules", std::move(broken)}};
}

// ---------------------------------------------------------------- users from outside

/// Serves requests of clients outside the testbed. The checker verifies the responses like those to the
/// emulated users.
void LiveTestbed::serve_user(const Request& request, const Responder& respond) {
  if (request.method == "POST" && request.target == "/submissions") {
    // The description of a submitted job is made available to the workers, which fetch it from the testbed.
    const auto v = decode(request.body);
    if (const auto spec = v ? read_spec(*v) : std::nullopt) {
      machines_.describe({*spec, {}, false});
      checker_.submitted(*spec);
    }
  }
  if (request.target.ends_with("/withdraw"))
    checker_.asked_cancel(request.target.substr(13, request.target.size() - 22));
  balancer_.send(request, kUserRequestTimeout,
                 [this, request, respond, sent_at = runtime_.now()](const CallResult& result) {
                   check_response(request, result, sent_at);
                   respond(result.answered ? result.response : Response{503, {}, 1});
                 });
}

void LiveTestbed::check_response(const Request& request, const runtime::CallResult& result, Instant sent_at) {
  if (!result.answered || !request.target.starts_with("/submissions")) return;
  const auto v = decode(result.response.body);
  const std::string state = v && (*v)["status"].text() != nullptr ? *(*v)["status"].text() : "";
  if (request.method == "POST" && request.target == "/submissions") {
    const auto body = decode(request.body);
    if (body && (*body)["ref"].text() != nullptr)
      checker_.answered_submit(runtime_.now(), *(*body)["ref"].text(), result.response.status);
  } else if (request.target.ends_with("/withdraw")) {
    checker_.answered_cancel(runtime_.now(), request.target.substr(13, request.target.size() - 22),
                             result.response.status, state, sent_at);
  } else if (request.target.size() > 13) {
    checker_.answered_poll(runtime_.now(), request.target.substr(13), result.response.status, state, sent_at);
  }
}

}  // namespace wrenusher::testbed

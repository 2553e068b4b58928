#include "wrenusher/testbed/live_testbed.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "wrenusher/testbed/answers.hpp"

namespace wrenusher::testbed {

namespace {

constexpr Micros kRestartDelay = from_seconds(1);
constexpr Micros kUserRequestTimeout = from_seconds(5);
// Offsets from the testbed's first port. The first two ports are the balancer's and the control interface's;
// then come blocks of ten with one port for each controller.
constexpr int kClientPort = 10;
constexpr int kPeerPort = 20;
constexpr int kKvPort = 30;
constexpr int kCloudPort = 40;
constexpr int kRelayPort = 50;  // a block of ten for each controller, one port for each of its peers
constexpr int kMachinePort = 200;
constexpr int kMaxControllers = 9;

std::string controller_name(int i) {
  return "c" + std::to_string(i);
}

std::unique_ptr<DurableStorage> make_storage(const TestbedOptions& o) {
  if (o.data.empty()) return std::make_unique<MemoryStorage>();
  return open_sqlite(o.data + "/state");
}

std::vector<Endpoint> client_ports(const TestbedOptions& o) {
  std::vector<Endpoint> out;
  for (int i = 0; i < o.controllers; ++i) out.push_back(loopback(o.port + kClientPort + i));
  return out;
}

std::string join_words(const std::vector<std::string>& words) {
  std::string out;
  for (const std::string& w : words) out += (out.empty() ? "" : " ") + w;
  return out;
}

}  // namespace

Folder::Folder(const std::string& requested_path) : path_(requested_path), keep_(!requested_path.empty()) {
  if (keep_) {
    std::error_code error;
    std::filesystem::create_directories(path_, error);
    if (error) throw TestbedError(path_ + ": cannot be created: " + error.message());
    return;
  }
  path_ = (std::filesystem::temp_directory_path() / "wrenusher-testbed-XXXXXX").string();
  if (mkdtemp(path_.data()) == nullptr) throw TestbedError(path_ + ": cannot create a temporary folder");
}

Folder::~Folder() {
  std::error_code ignored;
  if (!keep_) std::filesystem::remove_all(path_, ignored);
}

struct LiveTestbed::Child {
  LiveTestbed* testbed = nullptr;
  int number = 0;
  uv_process_t process{};
  bool running = false;
  Micros restart_delay = kRestartDelay;  ///< applies to the next exit only
};

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
    out << settings_json(i);
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

std::string LiveTestbed::settings_json(int i) const {
  using nlohmann::json;
  const Settings& s = options_.site.settings;
  const auto zone = [&](int k) { return s.zones[static_cast<std::size_t>(k) % s.zones.size()]; };
  json peers = json::array();
  for (int k = 0; k < options_.controllers; ++k) {
    if (k != i)
      peers.push_back({{"host_name", controller_name(k)},
                       {"zone", zone(k)},
                       {"peer_addr", loopback(options_.port + kRelayPort + 10 * i + k)}});
  }
  json teams = json::array();
  for (const auto& t : s.teams)
    teams.push_back({{"name", t.name},
                     {"cpus", t.cores},
                     {"cpus_max", t.cores_max},
                     {"gpus", t.gpus},
                     {"gpus_max", t.gpus_max}});
  json objectives = json::array();
  for (const auto& o : s.objectives) {
    json objective = {{"kind", o.kind}, {"class", o.job_class}, {"share", 0.9}, {"times", o.deadline_factor}};
    if (o.within.count() > 0) objective["within_s"] = to_seconds(o.within);
    objectives.push_back(std::move(objective));
  }
  const json all = {{"host_name", controller_name(i)},
                    {"zone", zone(i)},
                    {"client_listen", client(i)},
                    {"peer_listen", loopback(options_.port + kPeerPort + i)},
                    {"peers", peers},
                    {"services",
                     {{"cloud", loopback(options_.port + kCloudPort + i)},
                      {"state", loopback(options_.port + kKvPort + i)}}},
                    {"cluster",
                     {{"size", options_.controllers},
                      {"zones", s.zones},
                      {"teams", teams},
                      {"objectives", objectives},
                      {"workers",
                       {{"report_s", to_seconds(s.report_interval)},
                        {"lease_s", to_seconds(s.worker_lease)},
                        {"gang_wait_s", to_seconds(s.gang_start_timeout)},
                        {"gang_peer_s", to_seconds(s.gang_peer_timeout)},
                        {"cancel_s", to_seconds(s.cancel_deadline)}}},
                      {"state",
                       {{"rps", s.state_rps},
                        {"write_rps", s.state_write_rps},
                        {"value_kb", s.value_kb},
                        {"txn_ops", s.txn_ops}}},
                      {"cloud", {{"rps", s.cloud_rps}, {"list_lag_s", to_seconds(s.list_lag)}}},
                      {"limits", {{"max_sockets", s.max_sockets}}}}}};
  return all.dump(2) + "\n";
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

// ---------------------------------------------------------------- commands

int LiveTestbed::controller_index(const std::string& name) const {
  const std::string node = name == "leader" ? leader() : name;
  for (int i = 0; i < options_.controllers; ++i) {
    if (node == controller_name(i)) return i;
  }
  return -1;
}

std::string LiveTestbed::submit(const std::string& queue) {
  const auto& classes = options_.site.classes;
  const auto c =
      std::find_if(classes.begin(), classes.end(), [&](const JobClass& x) { return x.name == queue; });
  if (c == classes.end()) {
    std::string names;
    for (const JobClass& x : classes) names += (names.empty() ? "" : ", ") + x.name;
    throw TestbedError("no class '" + queue + "' at this site (there are: " + names + ")");
  }
  SimulatedJob j =
      draw_job(options_.site, *c,
               static_cast<int>(runtime_.wall_time().time_since_epoch() / from_seconds(1) % 1000000) * 100 +
                   ++submitted_jobs_,
               runtime_.random());
  users_.submit(j);
  return j.spec.job_id;
}

std::string LiveTestbed::perform(const std::vector<std::string>& words) {
  const auto word = [&](std::size_t i) -> const std::string& {
    if (i >= words.size())
      throw TestbedError("'" + join_words(words) + "': an argument is missing at the end");
    return words[i];
  };
  const auto duration = [&](std::size_t i, const char* default_text) {
    const std::string& text = i < words.size() ? words[i] : default_text;
    const auto d = parse_duration(text);
    if (!d) throw TestbedError("'" + text + "' is not a duration with a unit, like 10s");
    return *d;
  };
  const std::string& verb = word(0);
  const auto machine = [&]() -> const std::string& {
    const auto up = machines_.up();
    if (std::find(up.begin(), up.end(), word(1)) == up.end())
      throw TestbedError("no machine " + word(1) + " is up");
    return words[1];
  };
  if (verb == "kill") {
    const int c = controller_index(word(1));
    if (c < 0 || !children_[static_cast<std::size_t>(c)]->running)
      throw TestbedError("no controller " + word(1) + " is running");
    Child& child = *children_[static_cast<std::size_t>(c)];
    child.restart_delay = duration(2, "1s");
    uv_process_kill(&child.process, SIGKILL);
    char delay_text[32];
    std::snprintf(delay_text, sizeof delay_text, "%g s", to_seconds(child.restart_delay));
    return controller_name(c) + " is killed and restarts after " + delay_text;
  }
  if (verb == "cut") {
    const LinkCut cut = words.size() > 3 && words[3] == "reset" ? LinkCut::reset : LinkCut::hold;
    if (word(2) == "all") {
      std::vector<std::string> others{"state", "cloud", "user", ""};
      for (int i = 0; i < options_.controllers; ++i) others.push_back(controller_name(i));
      for (const std::string& m : machines_.up()) others.push_back(m);
      for (const std::string& o : others) {
        if (o != words[1]) transport_.links.cut(words[1], o, cut);
      }
    } else if (word(1) == "zone") {
      transport_.links.cut_zone(words[2], cut);
    } else {
      transport_.links.cut(words[1], words[2], cut);
    }
    return words[1] + " and " + words[2] + " are disconnected from each other until 'heal'";
  }
  if (verb == "heal") {
    transport_.heal();
    kv_service_.outage(false);
    cloud_.outage(false);
    for (int i = 0; i < options_.controllers; ++i) kv_service_.refuse(controller_name(i), false);
    return "all links, the state service and the cloud are restored";
  }
  if (verb == "outage") {
    const Micros d = duration(2, "10s");
    if (word(1) == "state") {
      kv_service_.outage(true);
      runtime_.after(d, [this] { kv_service_.outage(false); });
    } else if (words[1] == "cloud") {
      cloud_.outage(true);
      runtime_.after(d, [this] { cloud_.outage(false); });
    } else if (const int c = controller_index(words[1]); c >= 0) {
      kv_service_.refuse(controller_name(c), true);
      runtime_.after(d, [this, c] { kv_service_.refuse(controller_name(c), false); });
    } else {
      throw TestbedError("outage: must be 'state', 'cloud' or a controller, not '" + words[1] + "'");
    }
    return words[1] + " has an outage";
  }
  if (verb == "take") {
    machines_.reclaim(machine(), duration(2, "20s"));
    return words[1] + " will be reclaimed if it is a spot machine";
  }
  if (verb == "die") {
    machines_.die(machine());
    return words[1] + " has stopped with all its tasks";
  }
  if (verb == "hang") {
    machines_.hang(machine(), duration(2, "10s"));
    return words[1] + " hangs";
  }
  if (verb == "submit") {
    const int n = words.size() > 2 ? std::atoi(words[2].c_str()) : 1;
    if (n < 1 || n > 1000)
      throw TestbedError("submit: the number of jobs must be between 1 and 1000, not '" + words[2] + "'");
    std::string job_ids;
    for (int i = 0; i < n; ++i) job_ids += (job_ids.empty() ? "" : " ") + submit(word(1));
    return "submitted " + job_ids;
  }
  if (verb == "withdraw") {
    if (!users_.jobs().contains(word(1)))
      throw TestbedError("no job " + words[1] + " was submitted by this testbed");
    users_.cancel(words[1]);
    return "requested withdrawal of " + words[1];
  }
  if (verb == "jobs") {
    std::string out;
    for (const auto& [ref, job] : users_.jobs())
      out += ref + "  " + machines_.job(ref)->spec.job_class + "  " +
             (job.refused != 0    ? "refused"
              : job.state.empty() ? "sent"
                                  : job.state) +
             "\n";
    return out.empty() ? "no job was submitted by this testbed yet" : out.substr(0, out.size() - 1);
  }
  throw TestbedError("'" + verb +
                     "' is none of kill, cut, heal, outage, take, die, hang, submit, withdraw, jobs");
}

void LiveTestbed::serve_control(const Request& request, const Responder& respond) {
  if (request.method == "GET" && request.target == "/status") {
    respond(reply(200, status()));
    return;
  }
  const auto v = decode(request.body);
  const Value::List* list = v ? (*v)["words"].list() : nullptr;
  if (request.method != "POST" || request.target != "/act" || list == nullptr || list->empty()) {
    respond(malformed("expected GET /status, or POST /act with a list of words"));
    return;
  }
  std::vector<std::string> words;
  for (const Value& w : *list) words.push_back(w.text() != nullptr ? *w.text() : "");
  try {
    respond(reply(200, Value::Map{{"said", perform(words)}}));
  } catch (const TestbedError& e) {
    respond(malformed(e.what()));
  }
}

}  // namespace wrenusher::testbed

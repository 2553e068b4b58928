// wrenusher-testbed: runs a testbed on loopback with real controllers, experiments in simulated time, and a
// demonstration.

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "scale_commands.hpp"
#include "wrenusher/net/open_files.hpp"
#include "wrenusher/testbed/answers.hpp"
#include "wrenusher/testbed/cell_processes.hpp"
#include "wrenusher/testbed/day.hpp"
#include "wrenusher/testbed/live_testbed.hpp"
#include "wrenusher/testbed/verdict.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
namespace testbed = wrenusher::testbed;
using wrenusher::net::UvRuntime;

constexpr int kBadInput = 2;
constexpr int kFailed = 1;
constexpr int kDefaultPort = 7400;

testbed::Site read_site(const std::string& file) {
  return file.empty() ? testbed::parse_site(testbed::small_site_yaml(), "built-in site")
                      : testbed::load_site(file);
}

/// Calls `on_signal` once, at the first SIGINT, SIGTERM or SIGHUP.
class SignalWatcher {
 public:
  SignalWatcher(UvRuntime& runtime, std::function<void()> on_signal) : on_signal_(std::move(on_signal)) {
    const int numbers[] = {SIGINT, SIGTERM, SIGHUP};
    for (int i = 0; i < 3; ++i) {
      uv_signal_init(runtime.loop(), &handles_[i]);
      handles_[i].data = this;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* h, int) {
            if (auto callback = std::exchange(static_cast<SignalWatcher*>(h->data)->on_signal_, nullptr))
              callback();
          },
          numbers[i]);
    }
  }

 private:
  uv_signal_t handles_[3]{};
  std::function<void()> on_signal_;
};

// ---------------------------------------------------------------- up

int up(const testbed::TestbedOptions& options) {
  wrenusher::net::raise_open_file_limit(testbed::kTestbedSockets);
  UvRuntime runtime(testbed::kTestbedSockets, testbed::kTestbedPool);
  testbed::LiveTestbed live_testbed(runtime, options);
  SignalWatcher signals(runtime, [&] {
    std::cout << "stopping" << std::endl;
    live_testbed.stop([&] { runtime.stop(); });
  });
  struct PrintWhenReady {
    UvRuntime* uv_runtime;
    testbed::LiveTestbed* live_testbed;
    void operator()() const {
      if (!live_testbed->ready()) {
        uv_runtime->after(from_millis(100), *this);
        return;
      }
      std::cout << "testbed '" << live_testbed->options().site.name
                << "' is up, leader: " << live_testbed->leader() << "\n"
                << "  users    http://" << live_testbed->client_endpoint()
                << "  (client requests in CBOR as in PROTOCOL, through the balancer)\n"
                << "  control  http://" << live_testbed->control() << "\n";
      for (int i = 0; i < live_testbed->options().controllers; ++i)
        std::cout << "  c" << i << "       http://" << live_testbed->client(i) << "  log "
                  << live_testbed->log_of(i) << "\n";
      std::cout << "try: wrenusher-testbed submit "
                << (live_testbed->options().site.classes.empty()
                        ? "CLASS"
                        : live_testbed->options().site.classes.front().name)
                << (live_testbed->options().port == kDefaultPort
                        ? ""
                        : " --port " + std::to_string(live_testbed->options().port))
                << "\nstop with Ctrl-C" << std::endl;
    }
  };
  PrintWhenReady{&runtime, &live_testbed}();
  runtime.run();
  return 0;
}

// ---------------------------------------------------------------- demo

/// Runs a mixed workload in real time: arrays, a gang, a service, withdrawals and a refused job. The leader
/// is killed partway through.
class Demo {
 public:
  Demo(UvRuntime& runtime, testbed::LiveTestbed& live_testbed)
      : runtime_(runtime), live_testbed_(live_testbed) {}

  void start() {
    started_at_ = runtime_.now();
    wait_for_leader();
  }
  int result() const { return result_; }

 private:
  static constexpr Micros kMaxDuration = from_seconds(100);

  void print(const std::string& text) {
    std::printf("%5.1f s  %s\n", to_seconds(runtime_.now() - started_at_), text.c_str());
    std::fflush(stdout);
  }

  void wait_for_leader() {
    if (!live_testbed_.ready()) {
      if (runtime_.now() - started_at_ > from_seconds(20)) {
        print("no leader after 20 s; see " + live_testbed_.log_of(0));
        finish(1);
        return;
      }
      runtime_.after(from_millis(100), [this] { wait_for_leader(); });
      return;
    }
    print(live_testbed_.leader() + " is the leader");
    runtime_.after(from_seconds(2), [this] { submit(); });
  }

  void submit() {
    std::vector<std::string> builds;
    for (int i = 0; i < 6; ++i) builds.push_back(live_testbed_.submit("builds"));
    for (int i = 0; i < 4; ++i) live_testbed_.submit("fixes");
    live_testbed_.submit("training");
    service_ = live_testbed_.submit("watch");
    testbed::SimulatedJob refused_job = testbed::draw_job(
        live_testbed_.options().site, live_testbed_.options().site.classes.front(), 1, runtime_.random());
    refused_job.spec.job_id = "req-1";
    refused_job.spec.team = "nobody";
    live_testbed_.submit(refused_job);
    print("submitted 6 builds, 4 fixes, a gang, a service, and a job of a team that does not exist");
    runtime_.after(from_seconds(4), [this, job_id = builds.back()] {
      live_testbed_.cancel(job_id);
      print("withdrew " + job_id);
    });
    runtime_.after(from_seconds(10), [this] {
      for (int i = 0; i < 3; ++i) live_testbed_.submit("fixes");
      print("submitted 3 more fixes; " + live_testbed_.perform({"kill", "leader", "8s"}));
    });
    runtime_.after(from_seconds(30), [this] {
      live_testbed_.cancel(service_);
      print("withdrew the service " + service_);
    });
    runtime_.after(from_seconds(32), [this] { wait_for_end(); });
    print_progress();
  }

  void print_progress() {
    if (finished_) return;
    const auto s = live_testbed_.status();
    std::string jobs;
    for (const auto& [state, n] : *s["jobs"].map())
      jobs += " " + std::to_string(n.count().value_or(0)) + " " + state;
    print((live_testbed_.leader().empty() ? std::string("none") : live_testbed_.leader()) +
          " is the leader, " + std::to_string(live_testbed_.machines().up().size()) +
          " machines, jobs:" + jobs);
    runtime_.after(from_seconds(4), [this] { print_progress(); });
  }

  void wait_for_end() {
    const testbed::Verdict v =
        testbed::judge(live_testbed_.users(), live_testbed_.machines(), live_testbed_.checker());
    if (v.lost > 0 && v.broken.empty() && runtime_.now() - started_at_ < kMaxDuration) {
      runtime_.after(from_millis(500), [this] { wait_for_end(); });
      return;
    }
    finished_ = true;
    std::cout << '\n'
              << testbed::table(v) << live_testbed_.exit_count() << " controller exits, "
              << live_testbed_.terms() << " terms of leadership\n";
    finish(v.good ? 0 : kFailed);
  }

  void finish(int result) {
    finished_ = true;
    result_ = result;
    live_testbed_.stop([this] { runtime_.stop(); });
  }

  UvRuntime& runtime_;
  testbed::LiveTestbed& live_testbed_;
  Instant started_at_{};
  std::string service_;
  bool finished_ = false;
  int result_ = kFailed;
};

int demo(testbed::TestbedOptions options) {
  options.site = read_site("");
  options.data.clear();
  wrenusher::net::raise_open_file_limit(testbed::kTestbedSockets);
  UvRuntime runtime(testbed::kTestbedSockets, testbed::kTestbedPool);
  testbed::LiveTestbed live_testbed(runtime, options);
  Demo d(runtime, live_testbed);
  bool interrupted = false;
  SignalWatcher signals(runtime, [&] {
    interrupted = true;
    live_testbed.stop([&] { runtime.stop(); });
  });
  d.start();
  runtime.run();
  return interrupted ? kFailed : d.result();
}

// ---------------------------------------------------------------- requests to a running testbed

int send_request(int port, const Request& request, const std::function<int(const Value&)>& show) {
  UvRuntime runtime(64);
  int result = kFailed;
  const Endpoint at = testbed::loopback(port + 1);
  runtime.call(at, request, from_seconds(10), [&](const CallResult& o) {
    const auto v = o.answered ? decode(o.response.body) : std::nullopt;
    if (!v) {
      std::cerr << "wrenusher-testbed: no lab answers at " << at
                << "; start one with 'wrenusher-testbed up', or give its --port\n";
    } else if (o.response.status != 200) {
      std::cerr << "wrenusher-testbed: "
                << ((*v)["error"].text() != nullptr ? *(*v)["error"].text() : "refused") << '\n';
      result = kBadInput;
    } else {
      result = show(*v);
    }
    runtime.stop();
  });
  runtime.run();
  return result;
}

int run_command(int port, const std::vector<std::string>& words) {
  Value::List list;
  for (const std::string& w : words) list.emplace_back(w);
  return send_request(port, {"POST", "/act", encode(Value::Map{{"words", std::move(list)}})},
                      [](const Value& v) {
                        std::cout << (v["said"].text() != nullptr ? *v["said"].text() : "") << '\n';
                        return 0;
                      });
}

int status(int port) {
  return send_request(port, {"GET", "/status", {}}, [](const Value& v) {
    const auto text = [&](const char* name) {
      return v[name].text() != nullptr ? *v[name].text() : std::string();
    };
    std::cout << "site " << text("site") << ": " << (text("leader").empty() ? "none" : text("leader"))
              << " is the leader, term " << v["terms"].count().value_or(0) << ", "
              << v["machines"].count().value_or(0) << " machines up, " << v["keys"].count().value_or(0)
              << " keys\n";
    for (const Value& c : *v["controllers"].list())
      std::cout << "  " << *c["name"].text() << "  " << *c["at"].text()
                << (c["running"].boolean().value_or(false) ? "" : "  not running") << '\n';
    for (const auto& [state, n] : *v["jobs"].map())
      std::cout << "  jobs " << state << ": " << n.count().value_or(0) << '\n';
    if (!text("state_trouble").empty())
      std::cout << "the state service cannot store changes: " << text("state_trouble") << '\n';
    for (const Value& b : *v["broken_rules"].list()) std::cout << "BROKEN " << *b.text() << '\n';
    return v["broken_rules"].list()->empty() ? 0 : kFailed;
  });
}

// ---------------------------------------------------------------- experiments

std::vector<testbed::DayResult> play_days(const testbed::Site& site, int seeds, int first) {
  const bool show_progress = isatty(STDERR_FILENO) != 0;
  std::vector<testbed::DayResult> days;
  for (int i = 0; i < seeds; ++i) {
    if (show_progress) {
      const int done = 30 * i / seeds;
      std::cerr << "\r[" << std::string(static_cast<std::size_t>(done), '#')
                << std::string(static_cast<std::size_t>(30 - done), ' ') << "] " << i << " of " << seeds
                << std::flush;
    }
    days.push_back(testbed::play_day(site, static_cast<std::uint64_t>(first + i)));
  }
  if (show_progress) std::cerr << "\r\033[K";
  return days;
}

int day(const std::string& file, int seeds, int first, const std::string& json, const std::string& standby) {
  testbed::Site site = read_site(file);
  site.settings.tunables.warm_standby = standby != "off";
  const std::vector<testbed::DayResult> days = play_days(site, seeds, first);
  if (standby == "both") {
    // Plays the same days again without the warm standby.
    testbed::Site cold = site;
    cold.settings.tunables.warm_standby = false;
    const std::vector<testbed::DayResult> without = play_days(cold, seeds, first);
    std::cout << "without a standby:\n"
              << testbed::day_table(cold, without) << "\nchange from without to with a standby:\n"
              << testbed::comparison_table(testbed::compare_days(without, days)) << "\nwith a standby:\n";
  }
  if (json == "-") {
    std::cout << testbed::day_json(site, days).dump(1) << '\n';
  } else if (!json.empty()) {
    std::ofstream out(json);
    out << testbed::day_json(site, days).dump(1) << '\n';
    if (!out.flush()) throw testbed::SiteError(json + ": cannot be written");
  }
  if (json != "-") std::cout << testbed::day_table(site, days);
  const bool broken = std::any_of(days.begin(), days.end(), [](const auto& d) { return !d.broken.empty(); });
  return broken ? kFailed : 0;
}

int compare(const std::string& a, const std::string& b) {
  const testbed::Comparison c = testbed::compare_days(testbed::read_days(testbed::read_text(a), a),
                                                      testbed::read_days(testbed::read_text(b), b));
  if (c.pairs == 0) throw testbed::SiteError(a + " and " + b + ": no days with the same seed");
  std::cout << testbed::comparison_table(c);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == testbed::kChildFlag) return testbed::run_child(argv + 2);
  if (argc == 4 && std::string(argv[1]) == testbed::kCellFlag) {
    spdlog::set_level(spdlog::level::off);
    return testbed::run_cell(argv[2], argv[3]);
  }
  CLI::App app{
      "wrenusher-testbed: a testbed for wrenusher. Starts everything that the service talks to on this "
      "machine, "
      "or plays "
      "days in simulated time."};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("wrenusher-testbed ") + WRENUSHER_VERSION);
  testbed::TestbedOptions options;
  std::error_code ignored;
  options.program =
      (std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path() / "wrenusher").string();
  options.port = kDefaultPort;
  std::string site;
  int machines = -1;

  auto* c_up = app.add_subcommand("up", "start a testbed and keep it running until Ctrl-C");
  auto* c_demo = app.add_subcommand("demo",
                                    "run a mixed workload for under two minutes and kill the leader partway; "
                                    "exit code 0 if nothing is lost");
  for (auto* c : {c_up, c_demo}) {
    c->add_option("--wrenusher", options.program,
                  "path of the controller's executable (wrenusher in this program's folder)");
    c->add_option("--controllers", options.controllers, "number of controllers (3)")->check(CLI::Range(1, 9));
    c->add_option("--port", options.port, "first port to use (7400)")->check(CLI::Range(1024, 60000));
  }
  c_up->add_option("--site", site, "site file (YAML); default: a small built-in site");
  c_up->add_option("--machines", machines, "machines that are up from the start")->check(CLI::Range(0, 500));
  c_up->add_option("--speed", options.speed, "factor by which machines boot, fetch and work faster (1)")
      ->check(CLI::Range(0.1, 100.0));
  c_up->add_option(
      "--data", options.data,
      "folder in which the state service stores its keys; default: nothing is kept after the testbed stops");

  std::string file;
  std::string json;
  int seeds = 1;
  int first = 1;
  std::string standby = "on";
  auto* c_day = app.add_subcommand("day", "play a site's day in simulated time and check the rules");
  c_day->add_option("FILE", file, "site file (YAML); default: a small built-in site");
  c_day->add_option("--seeds", seeds, "number of days, each with its own seed (1)")
      ->check(CLI::Range(1, 10000));
  c_day->add_option("--first", first, "the first seed (1)")->check(CLI::Range(1, 1000000));
  c_day
      ->add_option(
          "--standby", standby,
          "on (default), off, or both: play the same days without and with a standby and compare them")
      ->check(CLI::IsMember({"on", "off", "both"}));
  c_day->add_option("--json", json,
                    "also write all figures of all days to this file; '-' prints them instead of the table");

  std::string file_a;
  std::string file_b;
  auto* c_compare = app.add_subcommand(
      "compare", "pair two results of 'day --json' by seed and show which differences exceed the spread");
  c_compare->add_option("A", file_a, "before")->required();
  c_compare->add_option("B", file_b, "after")->required();

  const testbed::ScaleCommands scale_commands(app, options.program, kDefaultPort);

  auto* c_status =
      app.add_subcommand("status", "show the state of a running testbed; exit code 1 if a rule was broken");
  const std::vector<std::pair<const char*, const char*>> commands = {
      {"kill", "kill c0|leader [1s]: a controller is killed and restarts after that time"},
      {"cut",
       "cut A B [hold|reset]: disconnect two parties (c0, state, cloud, user, m-3), 'c0 all', or 'zone' and "
       "its name"},
      {"heal", "heal: restore all links, the state service and the cloud"},
      {"outage",
       "outage state|cloud|c0 [10s]: of the state service, of the cloud, or of the state service for one "
       "controller"},
      {"take", "take m-3 [20s]: reclaim a spot machine after a notice"},
      {"die", "die m-3: a machine stops with all its tasks"},
      {"hang", "hang m-3 [10s]: a machine stops responding for that time"},
      {"submit", "submit CLASS [N]: submit N jobs (1) of a class of the site"},
      {"withdraw", "withdraw REF: withdraw a job"},
      {"jobs", "list the jobs submitted so far and the states last reported to their users"}};
  std::vector<std::string> words;
  std::vector<CLI::App*> command_apps;
  for (const auto& [name, help] : commands) {
    auto* c = app.add_subcommand(name, help);
    c->add_option("words", words, "arguments of the command");
    command_apps.push_back(c);
  }
  for (auto* c : command_apps) c->add_option("--port", options.port, "first port of the testbed (7400)");
  c_status->add_option("--port", options.port, "first port of the testbed (7400)");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  }
  // Controllers in simulated time log like the daemon; the output is off unless LOG_LEVEL is set.
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level != nullptr && *level != '\0' ? spdlog::level::from_str(level) : spdlog::level::off);
  try {
    if (*c_up) {
      options.site = read_site(site);
      if (machines >= 0) options.site.machines = machines;
      return up(options);
    }
    if (*c_demo) return demo(options);
    if (*c_day) return day(file, seeds, first, json, standby);
    if (const auto code = scale_commands.run()) return *code;
    if (*c_compare) return compare(file_a, file_b);
    if (*c_status) return status(options.port);
    for (auto* c : command_apps) {
      if (!*c) continue;
      words.insert(words.begin(), c->get_name());
      return run_command(options.port, words);
    }
  } catch (const testbed::StorageDamaged& e) {
    std::cerr << "wrenusher-testbed: " << e.what() << '\n';
    return kFailed;
  } catch (const std::exception& e) {
    // For example, a bad site file, a port in use or a missing program; printed as one line.
    std::cerr << "wrenusher-testbed: " << e.what() << '\n';
    return kBadInput;
  }
  return 0;
}

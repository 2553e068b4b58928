// wrenusher-testbed: a lab on loopback with real controllers, experiments in simulated time, and a
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
constexpr int kPort = 7400;

testbed::Site site_of(const std::string& file) {
  return file.empty() ? testbed::parse_site(testbed::small_site_yaml(), "built-in site")
                      : testbed::load_site(file);
}

/// Calls `f` once at the first SIGINT, SIGTERM or SIGHUP.
class Signals {
 public:
  Signals(UvRuntime& runtime, std::function<void()> f) : f_(std::move(f)) {
    const int numbers[] = {SIGINT, SIGTERM, SIGHUP};
    for (int i = 0; i < 3; ++i) {
      uv_signal_init(runtime.loop(), &handles_[i]);
      handles_[i].data = this;
      uv_signal_start(
          &handles_[i],
          [](uv_signal_t* h, int) {
            if (auto once = std::exchange(static_cast<Signals*>(h->data)->f_, nullptr)) once();
          },
          numbers[i]);
    }
  }

 private:
  uv_signal_t handles_[3]{};
  std::function<void()> f_;
};

// ---------------------------------------------------------------- up

int up(const testbed::TestbedOptions& options) {
  wrenusher::net::raise_open_file_limit(testbed::kTestbedSockets);
  UvRuntime runtime(testbed::kTestbedSockets, testbed::kTestbedPool);
  testbed::LiveTestbed l(runtime, options);
  Signals signals(runtime, [&] {
    std::cout << "stopping" << std::endl;
    l.stop([&] { runtime.stop(); });
  });
  struct Wait {
    UvRuntime* rt;
    testbed::LiveTestbed* l;
    void operator()() const {
      if (!l->ready()) {
        rt->after(from_millis(100), *this);
        return;
      }
      std::cout << "lab '" << l->options().site.name << "' is up, " << l->leader() << " leads\n"
                << "  users    http://" << l->client_endpoint()
                << "  (PROTOCOL's requests in CBOR, through the balancer)\n"
                << "  control  http://" << l->control() << "\n";
      for (int i = 0; i < l->options().controllers; ++i)
        std::cout << "  c" << i << "       http://" << l->client(i) << "  log " << l->log_of(i) << "\n";
      std::cout << "try: wrenusher-testbed submit "
                << (l->options().site.classes.empty() ? "CLASS" : l->options().site.classes.front().name)
                << (l->options().port == kPort ? "" : " --port " + std::to_string(l->options().port))
                << "\nstop with Ctrl-C" << std::endl;
    }
  };
  Wait{&runtime, &l}();
  runtime.run();
  return 0;
}

// ---------------------------------------------------------------- demo

/// A mixed day in real time: arrays, a gang, a service, a withdrawal, a refused job; the leader killed in the
/// middle.
class Demo {
 public:
  Demo(UvRuntime& runtime, testbed::LiveTestbed& l) : runtime_(runtime), l_(l) {}

  void start() {
    began_ = runtime_.now();
    wait();
  }
  int result() const { return result_; }

 private:
  static constexpr Micros kLong = from_seconds(100);

  void say(const std::string& what) {
    std::printf("%5.1f s  %s\n", to_seconds(runtime_.now() - began_), what.c_str());
    std::fflush(stdout);
  }

  void wait() {
    if (!l_.ready()) {
      if (runtime_.now() - began_ > from_seconds(20)) {
        say("no controller leads after 20 s; see " + l_.log_of(0));
        finish(1);
        return;
      }
      runtime_.after(from_millis(100), [this] { wait(); });
      return;
    }
    say(l_.leader() + " leads");
    runtime_.after(from_seconds(2), [this] { submit(); });
  }

  void submit() {
    std::vector<std::string> builds;
    for (int i = 0; i < 6; ++i) builds.push_back(l_.submit("builds"));
    for (int i = 0; i < 4; ++i) l_.submit("fixes");
    l_.submit("training");
    service_ = l_.submit("watch");
    testbed::SimulatedJob never =
        testbed::draw_job(l_.options().site, l_.options().site.classes.front(), 1, runtime_.random());
    never.spec.job_id = "req-1";
    never.spec.team = "nobody";
    l_.submit(never);
    say("submitted 6 builds, 4 fixes, a gang, a service, and a job of a team that does not exist");
    runtime_.after(from_seconds(4), [this, job_id = builds.back()] {
      l_.cancel(job_id);
      say("withdrew " + job_id);
    });
    runtime_.after(from_seconds(10), [this] {
      for (int i = 0; i < 3; ++i) l_.submit("fixes");
      say("submitted 3 fixes more; " + l_.perform({"kill", "leader", "8s"}));
    });
    runtime_.after(from_seconds(30), [this] {
      l_.cancel(service_);
      say("withdrew the service " + service_);
    });
    runtime_.after(from_seconds(32), [this] { watch(); });
    progress();
  }

  void progress() {
    if (over_) return;
    const auto s = l_.status();
    std::string jobs;
    for (const auto& [state, n] : *s["jobs"].map())
      jobs += " " + std::to_string(n.count().value_or(0)) + " " + state;
    say((l_.leader().empty() ? std::string("nobody") : l_.leader()) + " leads, " +
        std::to_string(l_.machines().up().size()) + " machines, jobs:" + jobs);
    runtime_.after(from_seconds(4), [this] { progress(); });
  }

  void watch() {
    const testbed::Verdict v = testbed::judge(l_.users(), l_.machines(), l_.checker());
    if (v.lost > 0 && v.broken.empty() && runtime_.now() - began_ < kLong) {
      runtime_.after(from_millis(500), [this] { watch(); });
      return;
    }
    over_ = true;
    std::cout << '\n'
              << testbed::table(v) << l_.exit_count() << " controller ended, " << l_.terms()
              << " terms of leadership\n";
    finish(v.good ? 0 : kFailed);
  }

  void finish(int result) {
    over_ = true;
    result_ = result;
    l_.stop([this] { runtime_.stop(); });
  }

  UvRuntime& runtime_;
  testbed::LiveTestbed& l_;
  Instant began_{};
  std::string service_;
  bool over_ = false;
  int result_ = kFailed;
};

int demo(testbed::TestbedOptions options) {
  options.site = site_of("");
  options.data.clear();
  wrenusher::net::raise_open_file_limit(testbed::kTestbedSockets);
  UvRuntime runtime(testbed::kTestbedSockets, testbed::kTestbedPool);
  testbed::LiveTestbed l(runtime, options);
  Demo d(runtime, l);
  bool interrupted = false;
  Signals signals(runtime, [&] {
    interrupted = true;
    l.stop([&] { runtime.stop(); });
  });
  d.start();
  runtime.run();
  return interrupted ? kFailed : d.result();
}

// ---------------------------------------------------------------- asking a running lab

int ask(int port, const Request& request, const std::function<int(const Value&)>& show) {
  UvRuntime runtime(64);
  int result = kFailed;
  const Endpoint at = testbed::loopback(port + 1);
  runtime.call(at, request, from_seconds(10), [&](const CallResult& o) {
    const auto v = o.answered ? decode(o.response.body) : std::nullopt;
    if (!v) {
      std::cerr << "wrenusher-testbed: no lab answers at " << at
                << "; start one with 'wrenusher-testbed up', or name its --port\n";
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

int act(int port, const std::vector<std::string>& words) {
  Value::List list;
  for (const std::string& w : words) list.emplace_back(w);
  return ask(port, {"POST", "/act", encode(Value::Map{{"words", std::move(list)}})}, [](const Value& v) {
    std::cout << (v["said"].text() != nullptr ? *v["said"].text() : "") << '\n';
    return 0;
  });
}

int status(int port) {
  return ask(port, {"GET", "/status", {}}, [](const Value& v) {
    const auto text = [&](const char* name) {
      return v[name].text() != nullptr ? *v[name].text() : std::string();
    };
    std::cout << "site " << text("site") << ": " << (text("leader").empty() ? "nobody" : text("leader"))
              << " leads, term " << v["terms"].count().value_or(0) << ", "
              << v["machines"].count().value_or(0) << " machines up, " << v["keys"].count().value_or(0)
              << " keys\n";
    for (const Value& c : *v["controllers"].list())
      std::cout << "  " << *c["name"].text() << "  " << *c["at"].text()
                << (c["running"].boolean().value_or(false) ? "" : "  not running") << '\n';
    for (const auto& [state, n] : *v["jobs"].map())
      std::cout << "  jobs " << state << ": " << n.count().value_or(0) << '\n';
    if (!text("state_trouble").empty())
      std::cout << "the state service keeps nothing: " << text("state_trouble") << '\n';
    for (const Value& b : *v["broken_rules"].list()) std::cout << "BROKEN " << *b.text() << '\n';
    return v["broken_rules"].list()->empty() ? 0 : kFailed;
  });
}

// ---------------------------------------------------------------- experiments

std::vector<testbed::DayResult> play(const testbed::Site& site, int seeds, int first) {
  const bool bar = isatty(STDERR_FILENO) != 0;
  std::vector<testbed::DayResult> days;
  for (int i = 0; i < seeds; ++i) {
    if (bar) {
      const int done = 30 * i / seeds;
      std::cerr << "\r[" << std::string(static_cast<std::size_t>(done), '#')
                << std::string(static_cast<std::size_t>(30 - done), ' ') << "] " << i << " of " << seeds
                << std::flush;
    }
    days.push_back(testbed::play_day(site, static_cast<std::uint64_t>(first + i)));
  }
  if (bar) std::cerr << "\r\033[K";
  return days;
}

int day(const std::string& file, int seeds, int first, const std::string& json, const std::string& standby) {
  testbed::Site site = site_of(file);
  site.settings.tunables.warm_standby = standby != "off";
  const std::vector<testbed::DayResult> days = play(site, seeds, first);
  if (standby == "both") {
    // The same days with and without what a standby holds ready.
    testbed::Site cold = site;
    cold.settings.tunables.warm_standby = false;
    const std::vector<testbed::DayResult> without = play(cold, seeds, first);
    std::cout << "without a standby:\n"
              << testbed::day_table(cold, without) << "\nfrom without to with:\n"
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
  if (c.pairs == 0) throw testbed::SiteError(a + " and " + b + ": no two days have the same seed");
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
      "wrenusher-testbed: a lab for wrenusher. Starts everything that the service talks to on this machine, "
      "or plays "
      "days in simulated time."};
  app.require_subcommand(1);
  app.set_version_flag("--version", std::string("wrenusher-testbed ") + WRENUSHER_VERSION);
  testbed::TestbedOptions options;
  std::error_code ignored;
  options.program =
      (std::filesystem::read_symlink("/proc/self/exe", ignored).parent_path() / "wrenusher").string();
  options.port = kPort;
  std::string site;
  int machines = -1;

  auto* c_up = app.add_subcommand("up", "start a lab and keep it running until Ctrl-C");
  auto* c_demo = app.add_subcommand("demo",
                                    "a mixed day of under two minutes with the leader killed in the middle; "
                                    "exit code 0 if nothing is lost");
  for (auto* c : {c_up, c_demo}) {
    c->add_option("--wrenusher", options.program, "the program to run (beside this one)");
    c->add_option("--controllers", options.controllers, "how many controllers (3)")->check(CLI::Range(1, 9));
    c->add_option("--port", options.port, "first of the ports used (7400)")->check(CLI::Range(1024, 60000));
  }
  c_up->add_option("--site", site, "site file (YAML); a small built-in one otherwise");
  c_up->add_option("--machines", machines, "machines that are up from the start")->check(CLI::Range(0, 500));
  c_up->add_option("--speed", options.speed, "how many times as fast machines boot, fetch and work (1)")
      ->check(CLI::Range(0.1, 100.0));
  c_up->add_option("--data", options.data,
                   "folder in which the state service keeps its keys; nothing outlives the lab otherwise");

  std::string file;
  std::string json;
  int seeds = 1;
  int first = 1;
  std::string standby = "on";
  auto* c_day = app.add_subcommand("day", "play a site's day in simulated time, with the rules' checker on");
  c_day->add_option("FILE", file, "site file (YAML); a small built-in one otherwise");
  c_day->add_option("--seeds", seeds, "how many days, each with another seed (1)")
      ->check(CLI::Range(1, 10000));
  c_day->add_option("--first", first, "the first seed (1)")->check(CLI::Range(1, 1000000));
  c_day
      ->add_option("--standby", standby, "on (default), off, or both: the same days without and with, paired")
      ->check(CLI::IsMember({"on", "off", "both"}));
  c_day->add_option(
      "--json", json,
      "also write all figures of all days to this file; -: to standard output, in place of the table");

  std::string file_a;
  std::string file_b;
  auto* c_compare = app.add_subcommand(
      "compare", "pair two results of 'day --json' by seed and say what moved beyond the spread");
  c_compare->add_option("A", file_a, "before")->required();
  c_compare->add_option("B", file_b, "after")->required();

  const testbed::ScaleCommands scale_commands(app, options.program, kPort);

  auto* c_status =
      app.add_subcommand("status", "what a running lab is doing; exit code 1 once a rule is broken");
  const std::vector<std::pair<const char*, const char*>> acts = {
      {"kill", "kill c0|leader [1s]: a controller ends, and is started again after that time"},
      {"cut",
       "cut A B [hold|reset]: two parties (c0, state, cloud, user, m-3), 'all', or 'zone' and its name"},
      {"heal", "heal: all links, the state service and the cloud are whole again"},
      {"outage", "outage state|cloud|c0 [10s]: of all, or of the state service for one controller"},
      {"take", "take m-3 [20s]: a spot machine is taken back after a notice"},
      {"die", "die m-3: a machine stops with all that is on it"},
      {"hang", "hang m-3 [10s]"},
      {"submit", "submit CLASS [N]: jobs of a class of the site"},
      {"withdraw", "withdraw REF"},
      {"jobs", "the jobs submitted so far and what their users were told"}};
  std::vector<std::string> words;
  std::vector<CLI::App*> c_acts;
  for (const auto& [name, help] : acts) {
    auto* c = app.add_subcommand(name, help);
    c->add_option("words", words, "see above");
    c_acts.push_back(c);
  }
  for (auto* c : c_acts) c->add_option("--port", options.port, "first port of the lab (7400)");
  c_status->add_option("--port", options.port, "first port of the lab (7400)");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadInput;
  }
  // The controllers in simulated time log as the daemon does, to be seen only when asked for.
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level != nullptr && *level != '\0' ? spdlog::level::from_str(level) : spdlog::level::off);
  try {
    if (*c_up) {
      options.site = site_of(site);
      if (machines >= 0) options.site.machines = machines;
      return up(options);
    }
    if (*c_demo) return demo(options);
    if (*c_day) return day(file, seeds, first, json, standby);
    if (const auto code = scale_commands.run()) return *code;
    if (*c_compare) return compare(file_a, file_b);
    if (*c_status) return status(options.port);
    for (auto* c : c_acts) {
      if (!*c) continue;
      words.insert(words.begin(), c->get_name());
      return act(options.port, words);
    }
  } catch (const testbed::StorageDamaged& e) {
    std::cerr << "wrenusher-testbed: " << e.what() << '\n';
    return kFailed;
  } catch (const std::exception& e) {  // a site file, a port, a missing program: one line
    std::cerr << "wrenusher-testbed: " << e.what() << '\n';
    return kBadInput;
  }
  return 0;
}

// The commands of the live testbed's control interface: faults, jobs and their list.

#include <signal.h>
#include <uv.h>

#include <algorithm>
#include <array>

#include "wrenusher/testbed/answers.hpp"
#include "wrenusher/testbed/controller_settings.hpp"
#include "wrenusher/testbed/live_child.hpp"
#include "wrenusher/testbed/live_testbed.hpp"

namespace wrenusher::testbed {

namespace {

constexpr int kMaxJobsPerCommand = 1000;

std::string join(const std::vector<std::string>& words, const char* separator) {
  std::string out;
  for (const std::string& word : words) out += (out.empty() ? "" : separator) + word;
  return out;
}

}  // namespace

/// The words of a command, for example "kill c0 3s". Its functions throw TestbedError.
class LiveTestbed::CommandWords {
 public:
  explicit CommandWords(const std::vector<std::string>& words) : words_(words) {}

  const std::string& at(std::size_t index) const {
    if (!has(index)) throw TestbedError("'" + join(words_, " ") + "': an argument is missing at the end");
    return words_[index];
  }
  bool has(std::size_t index) const { return index < words_.size(); }
  /// Returns the word as a duration, or `default_text` if there is no such word.
  Micros duration(std::size_t index, const char* default_text) const {
    const std::string text = has(index) ? words_[index] : default_text;
    const auto duration = parse_duration(text);
    if (!duration) throw TestbedError("'" + text + "' is not a duration with a unit, like 10s");
    return *duration;
  }

 private:
  const std::vector<std::string>& words_;
};

int LiveTestbed::controller_index(const std::string& name) const {
  const std::string node = name == "leader" ? leader() : name;
  for (int i = 0; i < options_.controllers; ++i) {
    if (node == controller_name(i)) return i;
  }
  return -1;
}

/// Returns the name of the machine in the command's second word.
const std::string& LiveTestbed::machine_in(const CommandWords& words) const {
  const auto up = machines_.up();
  const std::string& machine = words.at(1);
  if (std::find(up.begin(), up.end(), machine) == up.end())
    throw TestbedError("no machine " + machine + " is up");
  return machine;
}

std::string LiveTestbed::perform_kill(const CommandWords& words) {
  const int controller = controller_index(words.at(1));
  if (controller < 0 || !children_[static_cast<std::size_t>(controller)]->running)
    throw TestbedError("no controller " + words.at(1) + " is running");
  Child& child = *children_[static_cast<std::size_t>(controller)];
  child.restart_delay = words.duration(2, "1s");
  uv_process_kill(&child.process, SIGKILL);
  std::array<char, 32> delay_text{};
  std::snprintf(delay_text.data(), delay_text.size(), "%g s", to_seconds(child.restart_delay));
  return controller_name(controller) + " is killed and restarts after " + delay_text.data();
}

std::string LiveTestbed::perform_cut(const CommandWords& words) {
  const LinkCut cut = words.has(3) && words.at(3) == "reset" ? LinkCut::reset : LinkCut::hold;
  if (words.at(2) == "all") {
    cut_from_all(words.at(1), cut);
  } else if (words.at(1) == "zone") {
    transport_.links.cut_zone(words.at(2), cut);
  } else {
    transport_.links.cut(words.at(1), words.at(2), cut);
  }
  return words.at(1) + " and " + words.at(2) + " are disconnected from each other until 'heal'";
}

void LiveTestbed::cut_from_all(const std::string& name, LinkCut cut) {
  std::vector<std::string> others{"state", "cloud", "user", ""};
  for (int i = 0; i < options_.controllers; ++i) others.push_back(controller_name(i));
  for (const std::string& machine : machines_.up()) others.push_back(machine);
  for (const std::string& other : others) {
    if (other != name) transport_.links.cut(name, other, cut);
  }
}

std::string LiveTestbed::perform_heal(const CommandWords& /*words*/) {
  transport_.heal();
  kv_service_.outage(false);
  cloud_.outage(false);
  for (int i = 0; i < options_.controllers; ++i) kv_service_.refuse(controller_name(i), false);
  return "all links, the state service and the cloud are restored";
}

std::string LiveTestbed::perform_outage(const CommandWords& words) {
  const Micros duration = words.duration(2, "10s");
  const std::string& target = words.at(1);
  if (target == "state") {
    kv_service_.outage(true);
    runtime_.after(duration, [this] { kv_service_.outage(false); });
  } else if (target == "cloud") {
    cloud_.outage(true);
    runtime_.after(duration, [this] { cloud_.outage(false); });
  } else if (const int controller = controller_index(target); controller >= 0) {
    kv_service_.refuse(controller_name(controller), true);
    runtime_.after(duration, [this, controller] { kv_service_.refuse(controller_name(controller), false); });
  } else {
    throw TestbedError("outage: must be 'state', 'cloud' or a controller, not '" + target + "'");
  }
  return target + " has an outage";
}

std::string LiveTestbed::perform_take(const CommandWords& words) {
  const std::string& machine = machine_in(words);
  machines_.reclaim(machine, words.duration(2, "20s"));
  return machine + " will be reclaimed if it is a spot machine";
}

std::string LiveTestbed::perform_die(const CommandWords& words) {
  const std::string& machine = machine_in(words);
  machines_.die(machine);
  return machine + " has stopped with all its tasks";
}

std::string LiveTestbed::perform_hang(const CommandWords& words) {
  const std::string& machine = machine_in(words);
  machines_.hang(machine, words.duration(2, "10s"));
  return machine + " hangs";
}

std::string LiveTestbed::perform_submit(const CommandWords& words) {
  const int count = words.has(2) ? std::atoi(words.at(2).c_str()) : 1;
  if (count < 1 || count > kMaxJobsPerCommand)
    throw TestbedError("submit: the number of jobs must be between 1 and " +
                       std::to_string(kMaxJobsPerCommand) + ", not '" + words.at(2) + "'");
  std::vector<std::string> job_ids;
  for (int i = 0; i < count; ++i) job_ids.push_back(submit(words.at(1)));
  return "submitted " + join(job_ids, " ");
}

std::string LiveTestbed::perform_withdraw(const CommandWords& words) {
  const std::string& job_id = words.at(1);
  if (!users_.jobs().contains(job_id))
    throw TestbedError("no job " + job_id + " was submitted by this testbed");
  users_.cancel(job_id);
  return "requested withdrawal of " + job_id;
}

std::string LiveTestbed::perform_jobs(const CommandWords& /*words*/) {
  std::vector<std::string> lines;
  for (const auto& [job_id, job] : users_.jobs()) {
    const std::string state = job.refused != 0 ? "refused" : job.state.empty() ? "sent" : job.state;
    lines.push_back(job_id + "  " + machines_.job(job_id)->spec.job_class + "  " + state);
  }
  return lines.empty() ? "no job was submitted by this testbed yet" : join(lines, "\n");
}

std::string LiveTestbed::perform(const std::vector<std::string>& words) {
  struct Command {
    const char* verb;
    std::string (LiveTestbed::*perform)(const CommandWords&);
  };
  static constexpr std::array kCommands = {
      Command{"kill", &LiveTestbed::perform_kill},         Command{"cut", &LiveTestbed::perform_cut},
      Command{"heal", &LiveTestbed::perform_heal},         Command{"outage", &LiveTestbed::perform_outage},
      Command{"take", &LiveTestbed::perform_take},         Command{"die", &LiveTestbed::perform_die},
      Command{"hang", &LiveTestbed::perform_hang},         Command{"submit", &LiveTestbed::perform_submit},
      Command{"withdraw", &LiveTestbed::perform_withdraw}, Command{"jobs", &LiveTestbed::perform_jobs},
  };
  const CommandWords command_words(words);
  const std::string& verb = command_words.at(0);
  std::vector<std::string> verbs;
  for (const Command& command : kCommands) {
    if (verb == command.verb) return (this->*command.perform)(command_words);
    verbs.emplace_back(command.verb);
  }
  throw TestbedError("'" + verb + "' is none of " + join(verbs, ", "));
}

std::string LiveTestbed::submit(const std::string& queue) {
  const auto& classes = options_.site.classes;
  const auto job_class = std::find_if(classes.begin(), classes.end(),
                                      [&](const JobClass& candidate) { return candidate.name == queue; });
  if (job_class == classes.end()) {
    std::vector<std::string> names;
    for (const JobClass& known : classes) names.push_back(known.name);
    throw TestbedError("no class '" + queue + "' at this site (there are: " + join(names, ", ") + ")");
  }
  const SimulatedJob job =
      draw_job(options_.site, *job_class,
               static_cast<int>(runtime_.wall_time().time_since_epoch() / from_seconds(1) % 1000000) * 100 +
                   ++submitted_jobs_,
               runtime_.random());
  users_.submit(job);
  return job.spec.job_id;
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

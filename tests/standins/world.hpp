#pragma once
// A simulated world for whole controllers: clock, network, state service, cloud, workers and users. One
// thread, one queue of events, one seed: a day repeats exactly.

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

#include "standins/checker.hpp"
#include "wrenusher/controller/controller.hpp"

namespace standins {

using wrenusher::controller::Controller;

/// What a broken link does with what is sent over it.
enum class Cut { none, hold, reset };

class World {
  Settings base_;  // before the checker, which refers to it

 public:
  /// `scale`: how many times the cloud's usual capacity there is.
  explicit World(std::uint64_t seed, Settings settings = small_site(), int scale = 1);
  ~World();

  static Settings small_site();
  static JobSpec job(int number, std::uint32_t units, double cores, double run_s);

  void run(Micros how_long);
  void at(Micros delay, std::function<void()> f);
  Instant now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }

  // Users
  void submit(const JobSpec& spec);
  void withdraw(const std::string& ref);
  /// The last state that a user was told.
  std::string told(const std::string& ref) const;
  /// One request to one controller, answered within the given time or not at all.
  void tell(int controller, const Request& request, const Done& done);
  std::optional<Response> ask(int controller, const Request& request, Micros within = from_seconds(5));

  // Troubles
  void crash(int controller, Micros back_after);
  /// The controller stands still: its timers and all that comes to it wait.
  void stall(int controller, Micros how_long);
  void cut(const std::string& a, const std::string& b, Cut how);  ///< both ways, until healed
  void isolate(const std::string& who, Cut how, const std::set<std::string>& but = {});
  void cut_zone(const std::string& zone, Cut how);  ///< with all that is and comes up in it, until healed
  void heal();
  void state_outage(bool on);
  void state_refuses(int controller, bool on);
  void cloud_outage(bool on) { cloud_down_ = on; }
  void die(const std::string& host);
  void hang(const std::string& host, Micros how_long);
  void take(const std::string& host, Micros notice);
  std::vector<std::string> hosts(const std::string& zone = "") const;
  void fails_everywhere(const std::string& ref) { mistaken_.insert(ref); }
  void fails_on(const std::string& host) { faulty_.insert(host); }

  Checker checker;
  std::size_t live() const;
  /// The controller that is certain to lead, or -1.
  int leader() const;
  /// Requests that reached the state service, by who sent them.
  std::map<std::string, std::uint64_t> state_requests;
  /// How many keys with the prefix the state service holds.
  std::size_t keys(const std::string& prefix) const;

 private:
  struct Node;
  class NodeRuntime;
  struct Task;
  struct Machine;
  struct Store;
  friend class NodeRuntime;
  using Handler = std::function<void(const std::string& from, const Request&, Answer)>;

  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout, Done done);
  std::string zone_of(const std::string& name) const;
  Cut link(const std::string& a, const std::string& b) const;
  /// Carries something over a link: now, when the link is whole again, or never.
  void carry(const std::string& a, const std::string& b, std::function<void()> deliver);
  Micros delay();
  void start_node(int i);
  void serve_state(const std::string& from, const Request& r, const Answer& answer);
  void expire_holds();
  void wake_follows();
  void serve_cloud(const Request& r, const Answer& answer);
  void add_machine(const std::string& flavor, const std::string& site, bool standby, Micros boot);
  void remove_machine(const std::string& host);
  void report(const std::string& host);
  void execute(Machine& m, const Value& orders);
  Value describe(Machine& m);
  void user_poll(const std::string& ref, int left_after_end);
  void answer_user(const std::string& target, const Request& r, const Done& done);
  void step_machines();
  void exit_task(Machine& m, Task& t, const std::string& cause);
  Machine* machine(const std::string& host);

  Instant now_{};
  std::uint64_t events_made_ = 0;
  struct Event {
    Instant at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> f;
    bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::mt19937_64 random_;
  std::map<Endpoint, std::string> names_;
  std::map<Endpoint, Handler> handlers_;
  std::map<std::pair<std::string, std::string>, Cut> cuts_;
  std::string cut_zone_;
  Cut zone_cut_ = Cut::none;
  std::vector<std::pair<std::pair<std::string, std::string>, std::function<void()>>> held_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> graveyard_;
  std::unique_ptr<Store> store_;
  bool cloud_down_ = false;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, std::vector<std::string>> bookings_;
  std::deque<std::pair<Instant, Value>> lists_;
  int machines_made_ = 0;
  int scale_ = 1;
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, std::string> told_;
  std::set<std::string> mistaken_;
  std::set<std::string> faulty_;
  std::set<std::pair<std::string, std::uint32_t>> results_;
};

}  // namespace standins

#pragma once
// Package testbed_sim: runs real controllers and the models of the testbed in simulated time. It has one
// thread, one event queue and one seed, so that a day repeats exactly. The package owns the clock, the
// network between the parties and the controllers' processes; it may depend on the models and on the
// controller.

#include <queue>
#include <tuple>

#include "wrenusher/controller/controller.hpp"
#include "wrenusher/testbed/cloud.hpp"
#include "wrenusher/testbed/kv_service.hpp"
#include "wrenusher/testbed/message_digest.hpp"
#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

/// A simulated clock and network. A message takes 0.2 to 4 ms, one in 100 takes up to 300 ms, and one
/// response in 200 is lost.
class SimTransport : public Transport {
 public:
  explicit SimTransport(std::uint64_t seed) : random_(seed) {}

  Instant now() const override { return now_; }
  void at(Micros delay, std::function<void()> f) override;
  std::mt19937_64& random() override { return random_; }
  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
            CallHandler done) override;
  std::optional<Endpoint> serve(const std::string& who, Handler handler) override;
  /// Registers the handler of an endpoint. `link_type` is the type of the messages that are sent there; a
  /// message to a client endpoint from any party other than the users counts as a worker message.
  void serve_at(const Endpoint& at, const std::string& who, LinkType link_type, Handler handler);
  /// Registers the handler of a worker's endpoint.
  void serve_at(const Endpoint& at, const std::string& who, Handler handler) {
    serve_at(at, who, LinkType::worker, std::move(handler));
  }
  void unserve(const Endpoint& at) override { handlers_.erase(at); }

  /// Runs all events of the next `how_long` of simulated time.
  void run(Micros how_long);
  /// Restores all links and delivers the messages that were held back.
  void heal();
  Links links;
  /// A second, late delivery of requests. The copy arrives after a random delay between `least` and `most`,
  /// even over a link that is cut, and its response is discarded.
  struct LateCopies {
    double share = 0;  ///< of the requests that match `paths`
    Micros least{};
    Micros most{};
    std::vector<std::string> paths;  ///< prefixes of the request paths; empty: all requests
  };
  void copy_late(LateCopies copies) { late_copies_ = std::move(copies); }
  /// Sets the share of the transactions with the state service that get no response and are carried out once,
  /// 2 to 12 s later.
  void write_late(double share) { late_writes_ = share; }
  /// Loss of responses of the state service. The request is carried out at once, but its response is lost and
  /// the sender's timeout expires. A request that was not carried out (429, 503, 400) is still answered.
  struct AnswerLoss {
    double share = 1;               ///< of the requests that match
    std::vector<std::string> keys;  ///< prefixes of the keys put, deleted or read; empty: any key
    bool reads = false;             ///< true: only reads and comparisons; false: only changes
    std::string who;                ///< sender of the request; empty: any
    int skip = 0;                   ///< number of matching requests that are answered first
    int most = 1 << 30;             ///< maximum number of responses lost
    /// Called at the simulated time of each loss, with the name of the sender.
    std::function<void(const std::string& who)> then;
  };
  /// Starts losing responses and returns the number that answer_again() takes to end the loss.
  int drop_answers(AnswerLoss loss);
  void answer_again(int number) { answer_loss_.erase(number); }
  int dropped_answers() const { return dropped_answers_; }
  /// Digests of every message sent and every response given, whether delivered or not.
  MessageDigests digests;

 private:
  Micros delay();
  LinkType link_type_of(const std::string& from, const Endpoint& to) const;
  /// Passes the request to the handler of `to` and adds its response to the digests. Returns false if `to`
  /// has no handler.
  bool serve_request(const std::string& from, const Endpoint& to, const Request& request,
                     const Responder& answer);
  /// The keys in a request to the state service, and whether the request only reads them.
  struct StateQuery {
    bool reads = false;
    std::vector<std::string> keys;
    bool prefix = false;  ///< true: the keys are prefixes
  };
  static std::optional<StateQuery> state_query_of(const Request& r);
  bool drops_answer(const std::string& who, const StateQuery& state_query);
  /// Delivers a message over a link: after the usual delay if the link is intact, at heal() if the link holds
  /// messages, and never if the link resets.
  void deliver(LinkCut link, std::function<void()> deliver);

  Instant now_{};
  std::uint64_t events_made_ = 0;
  struct Event {
    Instant at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> action;
    bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::mt19937_64 random_;
  std::map<Endpoint, std::string> endpoint_names_;
  std::map<Endpoint, LinkType> link_types_;
  std::map<Endpoint, Handler> handlers_;
  std::vector<std::function<void()>> held_messages_;
  LateCopies late_copies_;
  double late_writes_ = 0;
  std::map<int, AnswerLoss> answer_loss_;
  int answer_losses_made_ = 0;
  int dropped_answers_ = 0;
  int addresses_ = 0;
};

/// A simulated site: controllers, state service, cloud, machines, load balancer and users, with a checker of
/// the rules.
class World {
  Site site_;  // declared before the checker, which refers to it

 public:
  /// `seed` determines all random choices; `scale` multiplies the capacity of the cloud.
  explicit World(std::uint64_t seed, Settings settings = small_site(), int scale = 1);
  World(std::uint64_t seed, Site site, int scale = 1);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Returns the settings of a small site with two zones and two teams.
  static Settings small_site();
  /// Returns a site with three controllers and two machine types.
  static Site default_site(Settings settings);
  /// Returns the specification of an array job; the number determines its id, team and image.
  static JobSpec job(int number, std::uint32_t units, double cores, double run_s);

  void run(Micros how_long) { transport_.run(how_long); }
  void at(Micros delay, std::function<void()> f) { transport_.at(delay, std::move(f)); }
  Instant now() const { return transport_.now(); }
  double uniform(double a, double b) { return transport_.uniform(a, b); }
  int pick(int n) { return transport_.pick(n); }
  std::mt19937_64& random() { return transport_.random(); }

  // Users
  void submit(const JobSpec& spec) { users_.submit({spec, {}, false}); }
  void submit(const SimulatedJob& job) { users_.submit(job); }
  void cancel(const std::string& job_id) { users_.cancel(job_id); }
  /// Returns the last state of the job that its user received, or an empty string.
  std::string told(const std::string& job_id) const { return users_.is_told(job_id); }
  /// Sends one request to one controller as a user; `within` is the timeout.
  void send_commands(int controller, const Request& request, const CallHandler& done,
                     Micros within = from_seconds(2));
  /// Sends one request to one controller and runs the simulation until the response arrives or `within` has
  /// passed. Returns nothing if no response arrived.
  std::optional<Response> ask(int controller, const Request& request, Micros within = from_seconds(5));

  // Faults
  /// Ends the controller's process and starts a new one after `back_after`.
  void crash(int controller, Micros back_after);
  /// Pauses the controller: its timers and all messages to it wait until `how_long` has passed.
  void stall(int controller, Micros how_long);
  void cut(const std::string& a, const std::string& b, LinkCut how) { transport_.links.cut(a, b, how); }
  void cut_one_way(const std::string& from, const std::string& to, LinkCut how) {
    transport_.links.cut_one_way(from, to, how);
  }
  /// Cuts the links between `who` and all other parties except those in `but`.
  void isolate(const std::string& who, LinkCut how, const std::set<std::string>& but = {});
  /// Cuts the controller's links to the state service and to the other controllers, and no others.
  void leave_alone(int controller, LinkCut how);
  /// Cuts the direction from the controllers to the host: the worker's reports arrive, but neither responses
  /// nor commands reach the worker.
  void drop_inbound(const std::string& host, LinkCut how);
  /// Cuts the host's requests to the controllers; the worker still answers the controllers' requests.
  void drop_replies(const std::string& host, LinkCut how);
  void copy_late(SimTransport::LateCopies copies) { transport_.copy_late(std::move(copies)); }
  void write_late(double share) { transport_.write_late(share); }
  /// Starts losing responses of the state service; answer_again() ends the loss with the returned number.
  int lose_answers(SimTransport::AnswerLoss loss) { return transport_.drop_answers(std::move(loss)); }
  void answer_again(int number) { transport_.answer_again(number); }
  int lost_answers() const { return transport_.dropped_answers(); }
  /// Restarts the worker under the same name, without tasks and with its counters at their initial values.
  void restart_worker(const std::string& host) { machines_.restart_worker(host); }
  /// Multiplies the rate of the users' queries.
  void query_storm(double factor) { users_.ask_more_often(factor); }
  /// Multiplies the boot time of new machines by `factor`; the share `never` of them never boots.
  void boots(double factor, double never) { cloud_.boots(factor, never); }
  void cut_zone(const std::string& zone, LinkCut how) { transport_.links.cut_zone(zone, how); }
  void heal() { transport_.heal(); }
  void state_outage(bool on) { kv_service_.outage(on); }
  /// The state service responds with 503 to this controller only.
  void state_refuses(int controller, bool on) { kv_service_.refuse("c" + std::to_string(controller), on); }
  /// Delays every response of the state service by `by`.
  void state_slow(Micros by) { kv_service_.slow(by); }
  /// Discards the change history of the state service: a watch from an earlier revision has to read the
  /// records again.
  void state_forgets() { kv_service_.forget_past(); }
  void cloud_outage(bool on) { cloud_.outage(on); }
  void die(const std::string& host) { machines_.die(host); }
  void hang(const std::string& host, Micros how_long) { machines_.hang(host, how_long); }
  /// Cancels up to `count` running jobs with a long remaining runtime, each at a random time within the next
  /// 0.2 s, and at once makes up to 8 of the machines that run their tasks hang for `hang_for`.
  void cancel_many(int count, Micros hang_for);
  /// Reclaims the machine, as the cloud does with spot machines, after `notice`.
  void take(const std::string& host, Micros notice) { machines_.reclaim(host, notice); }
  /// Cuts off a domain of the topology, including machines that boot in the domain later.
  void cut_domain(const std::string& domain, LinkCut how);
  /// Ends all running machines of the domain.
  void kill_domain(const std::string& domain);
  /// Returns the running machines of the domain.
  std::vector<std::string> hosts_in(const std::string& domain) const;
  /// Replaces the operators' topology, which the controllers read from now on.
  void edit_topology(const std::string& text) { site_.topology_text = text; }
  std::vector<std::string> hosts(const std::string& zone = "") const { return machines_.up(zone); }
  std::vector<std::pair<std::string, std::uint32_t>> tasks_on(const std::string& host) const {
    return machines_.tasks_on(host);
  }
  /// Makes the tasks of the job fail on every machine.
  void fails_everywhere(const std::string& job_id) { machines_.mistaken(job_id); }
  /// Makes tasks fail on the machine.
  void fails_on(const std::string& host) { machines_.faulty(host); }
  /// Starts the fault now; the fault ends by itself.
  void inject_fault(const FaultSpec& fault);

  Checker checker;
  /// Returns the number of accepted jobs that are neither done nor withdrawn according to the users.
  std::size_t live() const { return users_.live(); }
  /// Returns the number of the controller whose leadership lease is valid, or -1.
  int leader() const;
  /// Returns the number of requests from `who` that reached the state service.
  std::uint64_t state_requests(const std::string& who) const;
  /// Returns the number of keys with the prefix in the state service.
  std::size_t keys(const std::string& prefix) const { return kv_service_.count(prefix); }

  const Site& site() const { return site_; }
  const Users& users() const { return users_; }
  /// Returns the digests of all messages and stored values so far.
  Digests digests() const { return transport_.digests.summaries(); }
  const KvService& kv_service() const { return kv_service_; }
  Machines& machines() { return machines_; }
  const Cloud& cloud() const { return cloud_; }
  /// A completed failover and the start of its term.
  struct Failover {
    Instant began{};
    events::FailoverTimes parts;
  };
  const std::vector<Failover>& failovers() const { return failovers_; }
  /// Returns how much of a leader's state the controller has loaded; cold while the controller does not run.
  events::Readiness ready(int controller) const;
  /// Returns the number of leadership terms so far.
  std::uint64_t terms() const;

 private:
  struct Node;
  class NodeRuntime;
  void start_node(int i);
  void observe();
  bool in_domain(const std::string& host, const std::string& domain) const;
  int controller_number(const std::string& target);

  SimTransport transport_;
  KvService kv_service_;
  Machines machines_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> crashed_nodes_;
  std::vector<Failover> failovers_;
};

}  // namespace wrenusher::testbed

#pragma once
// Package lab sim: whole controllers and the models of the lab in simulated time. One thread, one queue of
// events, one seed: a day repeats exactly. It owns the clock, the network between the parties and the
// controllers' processes; it may depend on the models and on the controller.

#include <queue>
#include <tuple>

#include "wrenusher/controller/controller.hpp"
#include "wrenusher/testbed/cloud.hpp"
#include "wrenusher/testbed/kv_service.hpp"
#include "wrenusher/testbed/message_digest.hpp"
#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

/// Simulated time and a simulated network: messages take a while, now and then long; an answer in 200 is
/// lost.
class SimTransport : public Transport {
 public:
  explicit SimTransport(std::uint64_t seed) : random_(seed) {}

  Instant now() const override { return now_; }
  void at(Micros delay, std::function<void()> f) override;
  std::mt19937_64& random() override { return random_; }
  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
            CallHandler done) override;
  std::optional<Endpoint> serve(const std::string& who, Handler handler) override;
  /// `transport`: of what is sent there. What others than users send to a client endpoint is the workers'.
  void serve_at(const Endpoint& at, const std::string& who, LinkType link_type, Handler handler);
  /// As a worker, which needs no transport said.
  void serve_at(const Endpoint& at, const std::string& who, Handler handler) {
    serve_at(at, who, LinkType::worker, std::move(handler));
  }
  void unserve(const Endpoint& at) override { handlers_.erase(at); }

  /// Runs all events until then.
  void run(Micros how_long);
  /// The links are whole again, and what was held is delivered.
  void heal();
  Links links;
  /// Of requests whose path begins so, this share is delivered once more after a time between the two: cuts
  /// or not, and the answer goes to nobody.
  struct LateCopies {
    double share = 0;
    Micros least{};
    Micros most{};
    std::vector<std::string> paths;  ///< empty: all
  };
  void copy_late(LateCopies c) { late_copies_ = std::move(c); }
  /// This share of the transactions to the state service gets no answer, and is carried out once after a time
  /// between 2 and 12 s.
  void write_late(double share) { late_writes_ = share; }
  /// Transactions that are carried out at once, and of which only the answer is lost: whoever asked waits for
  /// it in vain. What was not carried out (429, 503, 400) is answered. Other requests to the state service
  /// likewise, where `reads` says so.
  struct AnswerLoss {
    double share = 1;               ///< of those that match
    std::vector<std::string> keys;  ///< a key that is put, deleted or read begins so; empty: any
    bool reads = false;             ///< of reads and comparisons, and not of what changes something
    std::string who;                ///< that asked; empty: any
    int skip = 0;                   ///< so many that match are answered before
    int most = 1 << 30;             ///< and so many lost at the most
    /// What happens in the same moment; told who asked.
    std::function<void(const std::string& who)> then;
  };
  /// The number by which this is ended.
  int drop_answers(AnswerLoss l);
  void answer_again(int number) { answer_loss_.erase(number); }
  int dropped_answers() const { return dropped_answers_; }
  /// Every message that is sent and every response that is given, delivered or not.
  MessageDigests digests;

 private:
  Micros delay();
  LinkType link_type_of(const std::string& from, const Endpoint& to) const;
  /// Has the request carried out by whoever serves there, and its response noted in the digest; false
  /// where nobody serves.
  bool serve_request(const std::string& from, const Endpoint& to, const Request& request,
                     const Responder& answer);
  /// The keys that a request to the state service is about, and whether it only reads them.
  struct StateQuery {
    bool reads = false;
    std::vector<std::string> keys;
    bool prefix = false;  ///< all keys that begin so, and not these keys alone
  };
  static std::optional<StateQuery> state_query_of(const Request& r);
  bool drops_answer(const std::string& who, const StateQuery& asked);
  /// Carries something over a link: now, when the link is whole again, or never.
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
  std::map<Endpoint, std::string> names_;
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

class World {
  Site site_;  // before the checker, which refers to it

 public:
  /// `scale`: how many times the cloud's usual capacity there is.
  explicit World(std::uint64_t seed, Settings settings = small_site(), int scale = 1);
  World(std::uint64_t seed, Site site, int scale = 1);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  static Settings small_site();
  /// Three controllers, two types of machine.
  static Site default_site(Settings settings);
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
  std::string told(const std::string& job_id) const { return users_.is_told(job_id); }
  /// One request to one controller, answered within the given time or not at all.
  void send_commands(int controller, const Request& request, const CallHandler& done,
                     Micros within = from_seconds(2));
  std::optional<Response> ask(int controller, const Request& request, Micros within = from_seconds(5));

  // Troubles
  void crash(int controller, Micros back_after);
  /// The controller stands still: its timers and all that comes to it wait.
  void stall(int controller, Micros how_long);
  void cut(const std::string& a, const std::string& b, LinkCut how) { transport_.links.cut(a, b, how); }
  void cut_one_way(const std::string& from, const std::string& to, LinkCut how) {
    transport_.links.cut_one_way(from, to, how);
  }
  void isolate(const std::string& who, LinkCut how, const std::set<std::string>& but = {});
  /// It loses the state service and the other controllers, and nothing else.
  void leave_alone(int controller, LinkCut how);
  /// Its reports arrive, but neither answers nor orders reach it.
  void drop_inbound(const std::string& host, LinkCut how);
  /// It reaches no controller, and answers what controllers ask of it.
  void drop_replies(const std::string& host, LinkCut how);
  void copy_late(SimTransport::LateCopies c) { transport_.copy_late(std::move(c)); }
  void write_late(double share) { transport_.write_late(share); }
  int lose_answers(SimTransport::AnswerLoss l) { return transport_.drop_answers(std::move(l)); }
  void answer_again(int number) { transport_.answer_again(number); }
  int lost_answers() const { return transport_.dropped_answers(); }
  /// The machine begins anew under its name: nothing is on it, and it counts from the start.
  void restart_worker(const std::string& host) { machines_.restart_worker(host); }
  /// Users ask so many times as often.
  void query_storm(double factor) { users_.ask_more_often(factor); }
  /// New machines take so many times as long to boot, and this share of them never comes up.
  void boots(double factor, double never) { cloud_.boots(factor, never); }
  void cut_zone(const std::string& zone, LinkCut how) { transport_.links.cut_zone(zone, how); }
  void heal() { transport_.heal(); }
  void state_outage(bool on) { kv_service_.outage(on); }
  void state_refuses(int controller, bool on) { kv_service_.refuse("c" + std::to_string(controller), on); }
  void state_slow(Micros by) { kv_service_.slow(by); }
  /// Whoever follows from before now has to read the records anew.
  void state_forgets() { kv_service_.forget_past(); }
  void cloud_outage(bool on) { cloud_.outage(on); }
  void die(const std::string& host) { machines_.die(host); }
  void hang(const std::string& host, Micros how_long) { machines_.hang(host, how_long); }
  void cancel_many(int count, Micros hang_for);
  void take(const std::string& host, Micros notice) { machines_.reclaim(host, notice); }
  /// A domain of the topology with all that is and comes up in it.
  void cut_domain(const std::string& domain, LinkCut how);
  void kill_domain(const std::string& domain);
  /// Machines that are up in the domain.
  std::vector<std::string> hosts_in(const std::string& domain) const;
  /// What the controllers read as the operators' topology from now on.
  void edit_topology(const std::string& text) { site_.topology_text = text; }
  std::vector<std::string> hosts(const std::string& zone = "") const { return machines_.up(zone); }
  std::vector<std::pair<std::string, std::uint32_t>> tasks_on(const std::string& host) const {
    return machines_.tasks_on(host);
  }
  void fails_everywhere(const std::string& job_id) { machines_.mistaken(job_id); }
  void fails_on(const std::string& host) { machines_.faulty(host); }
  /// Strikes now; ends by itself.
  void inject_fault(const FaultSpec& t);

  Checker checker;
  std::size_t live() const { return users_.live(); }
  /// The controller that is certain to lead, or -1.
  int leader() const;
  /// Requests that reached the state service, by who sent them.
  std::uint64_t state_requests(const std::string& who) const;
  /// How many keys with the prefix the state service holds.
  std::size_t keys(const std::string& prefix) const { return kv_service_.count(prefix); }

  const Site& site() const { return site_; }
  const Users& users() const { return users_; }
  /// Of all messages and stored values so far.
  Digests digests() const { return transport_.digests.summaries(); }
  const KvService& kv_service() const { return kv_service_; }
  Machines& machines() { return machines_; }
  const Cloud& cloud() const { return cloud_; }
  /// A takeover that is over, and when its term began.
  struct Failover {
    Instant began{};
    events::FailoverTimes parts;
  };
  const std::vector<Failover>& failovers() const { return failovers_; }
  /// How much of what a leader knows the controller has; cold while it does not run.
  events::Readiness ready(int controller) const;
  /// Terms of leadership so far.
  std::uint64_t terms() const;

 private:
  struct Node;
  class NodeRuntime;
  void start_node(int i);
  void observe();
  bool in_domain(const std::string& host, const std::string& domain) const;
  int controller(const std::string& whom);

  SimTransport transport_;
  KvService kv_service_;
  Machines machines_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> graveyard_;
  std::vector<Failover> failovers_;
};

}  // namespace wrenusher::testbed

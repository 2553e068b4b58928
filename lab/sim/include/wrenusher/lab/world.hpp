#pragma once
// Package lab sim: whole controllers and the models of the lab in simulated time. One thread, one queue of
// events, one seed: a day repeats exactly. It owns the clock, the network between the parties and the
// controllers' processes; it may depend on the models and on the controller.

#include <queue>
#include <tuple>

#include "wrenusher/controller/controller.hpp"
#include "wrenusher/lab/cloud.hpp"
#include "wrenusher/lab/message_digest.hpp"
#include "wrenusher/lab/state_service.hpp"
#include "wrenusher/lab/users.hpp"

namespace wrenusher::lab {

/// Simulated time and a simulated network: messages take a while, now and then long; an answer in 200 is
/// lost.
class SimWires : public Wires {
 public:
  explicit SimWires(std::uint64_t seed) : random_(seed) {}

  Instant now() const override { return now_; }
  void at(Micros delay, std::function<void()> f) override;
  std::mt19937_64& random() override { return random_; }
  void send(const std::string& from, const Endpoint& to, Request request, Micros timeout, Done done) override;
  std::optional<Endpoint> serve(const std::string& who, Handler handler) override;
  /// `transport`: of what is sent there. What others than users send to a client endpoint is the workers'.
  void serve_at(const Endpoint& at, const std::string& who, Transport transport, Handler handler);
  /// As a worker, which needs no transport said.
  void serve_at(const Endpoint& at, const std::string& who, Handler handler) {
    serve_at(at, who, Transport::worker, std::move(handler));
  }
  void unserve(const Endpoint& at) override { handlers_.erase(at); }

  /// Runs all events until then.
  void run(Micros how_long);
  /// The links are whole again, and what was held is delivered.
  void heal();
  Links links;
  /// Of requests whose path begins so, this share is delivered once more after a time between the two: cuts
  /// or not, and the answer goes to nobody.
  struct Copies {
    double share = 0;
    Micros least{};
    Micros most{};
    std::vector<std::string> paths;  ///< empty: all
  };
  void copy_late(Copies c) { copies_ = std::move(c); }
  /// This share of the transactions to the state service gets no answer, and is carried out once after a time
  /// between 2 and 12 s.
  void write_late(double share) { late_writes_ = share; }
  /// Transactions that are carried out at once, and of which only the answer is lost: whoever asked waits for
  /// it in vain. What was not carried out (429, 503, 400) is answered. Other requests to the state service
  /// likewise, where `reads` says so.
  struct LostAnswers {
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
  int lose_answers(LostAnswers l);
  void answer_again(int number) { losing_.erase(number); }
  int lost_answers() const { return lost_answers_; }
  /// Every message that is sent and every response that is given, delivered or not.
  MessageDigests digests;

 private:
  Micros delay();
  Transport transport_of(const std::string& from, const Endpoint& to) const;
  /// Has the request carried out by whoever serves there, and its response noted in the digest; false
  /// where nobody serves.
  bool deliver(const std::string& from, const Endpoint& to, const Request& request, const Answer& answer);
  /// The keys that a request to the state service is about, and whether it only reads them.
  struct Asked {
    bool reads = false;
    std::vector<std::string> keys;
    bool prefix = false;  ///< all keys that begin so, and not these keys alone
  };
  static std::optional<Asked> asked_of(const Request& r);
  bool loses_answer(const std::string& who, const Asked& asked);
  /// Carries something over a link: now, when the link is whole again, or never.
  void carry(Cut link, std::function<void()> deliver);

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
  std::map<Endpoint, Transport> transports_;
  std::map<Endpoint, Handler> handlers_;
  std::vector<std::function<void()>> held_;
  Copies copies_;
  double late_writes_ = 0;
  std::map<int, LostAnswers> losing_;
  int losing_made_ = 0;
  int lost_answers_ = 0;
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

  void run(Micros how_long) { wires_.run(how_long); }
  void at(Micros delay, std::function<void()> f) { wires_.at(delay, std::move(f)); }
  Instant now() const { return wires_.now(); }
  double uniform(double a, double b) { return wires_.uniform(a, b); }
  int pick(int n) { return wires_.pick(n); }
  std::mt19937_64& random() { return wires_.random(); }

  // Users
  void submit(const JobSpec& spec) { users_.submit({spec, {}, false}); }
  void submit(const JobTruth& job) { users_.submit(job); }
  void withdraw(const std::string& ref) { users_.withdraw(ref); }
  std::string told(const std::string& ref) const { return users_.told(ref); }
  /// One request to one controller, answered within the given time or not at all.
  void tell(int controller, const Request& request, const Done& done, Micros within = from_seconds(2));
  std::optional<Response> ask(int controller, const Request& request, Micros within = from_seconds(5));

  // Troubles
  void crash(int controller, Micros back_after);
  /// The controller stands still: its timers and all that comes to it wait.
  void stall(int controller, Micros how_long);
  void cut(const std::string& a, const std::string& b, Cut how) { wires_.links.cut(a, b, how); }
  void cut_one_way(const std::string& from, const std::string& to, Cut how) {
    wires_.links.cut_one_way(from, to, how);
  }
  void isolate(const std::string& who, Cut how, const std::set<std::string>& but = {});
  /// It loses the state service and the other controllers, and nothing else.
  void leave_alone(int controller, Cut how);
  /// Its reports arrive, but neither answers nor orders reach it.
  void deafen(const std::string& host, Cut how);
  /// It reaches no controller, and answers what controllers ask of it.
  void mute(const std::string& host, Cut how);
  void copy_late(SimWires::Copies c) { wires_.copy_late(std::move(c)); }
  void write_late(double share) { wires_.write_late(share); }
  int lose_answers(SimWires::LostAnswers l) { return wires_.lose_answers(std::move(l)); }
  void answer_again(int number) { wires_.answer_again(number); }
  int lost_answers() const { return wires_.lost_answers(); }
  /// The machine begins anew under its name: nothing is on it, and it counts from the start.
  void reborn(const std::string& host) { machines_.reborn(host); }
  /// Users ask so many times as often.
  void storm(double factor) { users_.ask_more_often(factor); }
  /// New machines take so many times as long to boot, and this share of them never comes up.
  void boots(double factor, double never) { cloud_.boots(factor, never); }
  void cut_zone(const std::string& zone, Cut how) { wires_.links.cut_zone(zone, how); }
  void heal() { wires_.heal(); }
  void state_outage(bool on) { state_.outage(on); }
  void state_refuses(int controller, bool on) { state_.refuse("c" + std::to_string(controller), on); }
  void state_slow(Micros by) { state_.slow(by); }
  /// Whoever follows from before now has to read the records anew.
  void state_forgets() { state_.forget_past(); }
  void cloud_outage(bool on) { cloud_.outage(on); }
  void die(const std::string& host) { machines_.die(host); }
  void hang(const std::string& host, Micros how_long) { machines_.hang(host, how_long); }
  void cancel_many(int count, Micros hang_for);
  void take(const std::string& host, Micros notice) { machines_.take(host, notice); }
  /// A domain of the topology with all that is and comes up in it.
  void cut_domain(const std::string& domain, Cut how);
  void kill_domain(const std::string& domain);
  /// Machines that are up in the domain.
  std::vector<std::string> hosts_in(const std::string& domain) const;
  /// What the controllers read as the operators' topology from now on.
  void edit_topology(const std::string& text) { site_.topology_text = text; }
  std::vector<std::string> hosts(const std::string& zone = "") const { return machines_.up(zone); }
  std::vector<std::pair<std::string, std::uint32_t>> units_on(const std::string& host) const {
    return machines_.units_on(host);
  }
  void fails_everywhere(const std::string& ref) { machines_.mistaken(ref); }
  void fails_on(const std::string& host) { machines_.faulty(host); }
  /// Strikes now; ends by itself.
  void strike(const TroubleSpec& t);

  Checker checker;
  std::size_t live() const { return users_.live(); }
  /// The controller that is certain to lead, or -1.
  int leader() const;
  /// Requests that reached the state service, by who sent them.
  std::uint64_t state_requests(const std::string& who) const;
  /// How many keys with the prefix the state service holds.
  std::size_t keys(const std::string& prefix) const { return state_.count(prefix); }

  const Site& site() const { return site_; }
  const Users& users() const { return users_; }
  /// Of all messages and stored values so far.
  Digests digests() const { return wires_.digests.summaries(); }
  const StateService& state() const { return state_; }
  Machines& machines() { return machines_; }
  const Cloud& cloud() const { return cloud_; }
  /// A takeover that is over, and when its term began.
  struct Takeover {
    Instant began{};
    mail::TakenOver parts;
  };
  const std::vector<Takeover>& takeovers() const { return takeovers_; }
  /// How much of what a leader knows the controller has; cold while it does not run.
  mail::Readiness ready(int controller) const;
  /// Terms of leadership so far.
  std::uint64_t terms() const;

 private:
  struct Node;
  class NodeRuntime;
  void start_node(int i);
  void watch();
  bool in_domain(const std::string& host, const std::string& domain) const;
  int controller(const std::string& whom);

  SimWires wires_;
  StateService state_;
  Machines machines_;
  Cloud cloud_;
  Balancer balancer_;
  Users users_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Node>> graveyard_;
  std::vector<Takeover> takeovers_;
};

}  // namespace wrenusher::lab

#pragma once
// Package provisioner: rents machines for the backlog and returns what is idle, silent, slow to boot or
// faulty. It owns what the leader knows of the cloud: the types, the machines rented, the bookings under way,
// what was refused. It may depend on base, settings, protocol, store, mail, planner and accounts.

#include <deque>
#include <functional>
#include <set>

#include "wrenusher/accounts/accounts.hpp"
#include "wrenusher/mail/mail.hpp"
#include "wrenusher/settings/settings.hpp"
#include "wrenusher/store/store.hpp"

namespace wrenusher::provisioner {

using namespace base;
using namespace settings;
using namespace protocol;
using namespace store;
using namespace mail;

class Provisioner {
 public:
  Provisioner(Runtime& rt, const Settings& settings, Store& store);
  void start();

  void on_term(const TermChanged& t);
  void on_certainty(const Certainty& c) { certain_until_ = c.until; }
  void on_workload(const std::shared_ptr<const Workload>& w);
  void on_inherited(const std::shared_ptr<const Inheritance>& all);
  void on_quiet(const HostQuiet& q);
  void on_suspect(const HostCondemned& c);

  Sink<CatalogSeen> catalog_seen;
  Sink<HostCondemned> condemned;
  Sink<HostGone> gone;
  Sink<CapacitySeen> capacity;
  Sink<HostListed> listed;
  Sink<std::shared_ptr<const RentalHints>> hints;

 private:
  struct Machine {
    std::string flavor;
    std::string site;
    bool standby = false;
    bool up = false;  ///< its worker has reported in this term
    bool returning = false;
    bool draining = false;  ///< gets no new tasks and goes back once the last has ended
    bool running = false;   ///< listed as running
    bool listed = false;
    bool carries = false;  ///< a named device: stays though it idles
    Amount booked = 0;
    Amount working = 0;
    Amount lasting = 0;
    Instant rented{};
    Instant expected{};  ///< to report by then
    Instant idle_since{};
  };
  /// One kind of machine: type, zone, and spot or ordinary.
  struct Kind {
    std::string flavor;
    std::string site;
    bool standby = false;
    auto operator<=>(const Kind&) const = default;
  };
  struct Booking {
    std::string name;
    Kind kind;
    std::uint32_t count = 0;
    int tries = 0;
  };

  struct Call {
    bool acts = false;  ///< rents or returns, which only a leader may that is certain to lead
    std::function<void()> send;
  };

  /// What was last rented for a job's layout.
  struct LayoutTry {
    std::uint32_t tasks = 0;
    Instant not_before{};
    Micros pause{};
  };

  static bool reaches(const Workload::Demand& d, const Kind& kind);
  bool may_rent(const Workload::Demand& d) const;
  void rented_for(const Workload::Demand& d);
  void tick();
  void pump();
  void cloud(Request request, bool first, std::function<void(const Outcome&)> done);
  void ask_catalog();
  void read_catalog_record();
  void take_catalog(const Value& v);
  void write_catalog(const Value& v);
  void ask_list(const std::string& from);
  void take_rental(const Rental& r);
  void book(const Kind& kind, std::uint32_t count);
  void send_rental(const Booking& b);
  void give_back(const std::string& host, const char* why);
  Machine& know(const std::string& host);
  Micros patience(const std::string& flavor) const;
  bool certain() const { return term_.leading && rt_.now() < certain_until_; }
  void send_return();
  void review();
  void plan_rentals();
  bool refused(const Kind& kind) const;
  void tell_capacity();
  void tell_hints();
  void see_heirs();
  void account();
  Micros found_within() const;
  void give_back_silent(const std::string& host, const char* why);
  void see_zones(const Workload& w);
  Micros idle_return(const Machine& m) const;

  Runtime& rt_;
  const Settings& settings_;
  Store& store_;
  TermChanged term_;
  Instant certain_until_{};
  std::shared_ptr<const Catalog> catalog_;
  std::string catalog_written_;
  Pace pace_;
  /// Waiting calls to the cloud; what frees stuck work stands in front.
  std::deque<Call> calls_;
  bool pumping_ = false;
  int troubles_ = 0;
  Instant cloud_not_before_{};
  Instant next_list_{};
  Instant next_catalog_{};
  Instant rent_not_before_{};
  Instant ordinary_not_before_{};
  Instant term_began_{};
  bool listing_ = false;
  bool returning_ = false;
  std::uint64_t bookings_made_ = 0;
  std::map<std::string, Booking> open_bookings_;
  std::map<Kind, Instant> refused_until_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::deque<Instant>> silences_;  ///< by zone: when machines were found silent
  std::map<std::string, Instant> lost_until_;            ///< zones of which no machine is heard
  std::map<std::string, LayoutTry> layouts_;             ///< by job
  std::set<std::string> to_return_;
  std::set<std::string> gone_;   ///< given back in this term
  std::set<std::string> heirs_;  ///< machines that the last leader had, not heard in this term yet
  std::size_t heirs_most_ = 0;
  accounts::Money money_;
  std::shared_ptr<const Workload> load_;
};

}  // namespace wrenusher::provisioner

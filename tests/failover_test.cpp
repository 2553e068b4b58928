// Takeovers with several machines and the rules' checker on: how soon the next leader works, with what it
// knows, and that no rule breaks however the failures fall.

#include <gtest/gtest.h>

#include "verdict_assertions.hpp"

using namespace wrenusher::testbed;
using namespace wrenusher::protocol;
using wrenusher::events::Readiness;

namespace {

std::string name_of(int controller) {
  return "c" + std::to_string(controller);
}

/// Runs until the condition holds; the time that took, or the most.
Micros until(World& w, Micros most, const std::function<bool()>& holds) {
  const Instant from = w.now();
  while (!holds() && w.now() - from < most) w.run(from_millis(5));
  return w.now() - from;
}

/// Work for all the time around a takeover: short tasks that end and wait, a gang, a service.
void load(World& w, double last_s) {
  for (int i = 0; i * 3 < last_s; ++i) {
    JobSpec s = World::job(i, 2 + static_cast<std::uint32_t>(w.pick(8)), 4, w.uniform(5, 20));
    if (i % 4 == 3) s.resources.cores = to_amount(16);
    if (i % 5 == 4) s.checkpoint_interval = from_seconds(5), s.checkpoint_time = from_seconds(2);
    w.at(from_seconds(3 * i), [&w, s] { w.submit(s); });
  }
  JobSpec gang = World::job(900, 4, 8, 20);
  gang.type = JobType::gang;
  gang.single_zone = true;
  w.at(from_seconds(30), [&w, gang] { w.submit(gang); });
  JobSpec service = World::job(901, 3, 2, 0);
  service.type = JobType::service;
  service.spread_zones = true;
  w.at(from_seconds(5), [&w, service] { w.submit(service); });
  w.at(from_seconds(last_s + 60), [&w, service] { w.cancel(service.job_id); });
}

/// Something that goes wrong around a takeover; `leader` is the one that leads when it begins.
struct Hard {
  const char* name;
  std::function<void(World& w, int leader)> strike;
};

void end(World& w, int controller) {
  w.crash(controller, from_seconds(20));
}
int other(int leader, int n = 1) {
  return (leader + n) % 3;
}
/// Does something as soon as the next term has begun.
void in_next_term(World& w, std::function<void()> f) {
  const std::uint64_t now = w.terms();
  auto look = std::make_shared<std::function<void()>>();
  *look = [&w, f = std::move(f), now, weak = std::weak_ptr(look)] {
    if (w.terms() > now) {
      f();
    } else if (const auto again = weak.lock()) {
      w.at(from_millis(5), [again] { (*again)(); });
    }
  };
  (*look)();
}
void heal_after(World& w, double s) {
  w.at(from_seconds(s), [&w] { w.heal(); });
}

std::vector<Hard> hard_cases() {
  return {
      {"a commit under way of which nobody knows",
       [](World& w, int l) {
         w.cut_one_way("state", name_of(l), LinkCut::reset);
         w.at(from_millis(400), [&w, l] { end(w, l); });
         heal_after(w, 20);
       }},
      {"what a dead leader had sent to the state service comes late",
       [](World& w, int l) {
         w.cut_one_way(name_of(l), "state", LinkCut::hold);
         w.at(from_seconds(1), [&w, l] { end(w, l); });
         heal_after(w, 9);
       }},
      {"two takeovers in a row, the second within the first's check",
       [](World& w, int l) {
         in_next_term(w, [&w] {
           w.at(from_millis(10), [&w] {
             for (int i = 0; i < 3; ++i)
               if (w.leader() == i) end(w, i);
           });
         });
         end(w, l);
       }},
      {"the warmest ends with the leader",
       [](World& w, int l) {
         end(w, l);
         end(w, std::min(other(l), other(l, 2)));
       }},
      {"a standby is cut off from the leader alone",
       [](World& w, int l) {
         w.cut(name_of(l), name_of(other(l)), LinkCut::hold);
         w.at(from_seconds(8), [&w, l] { end(w, l); });
         heal_after(w, 30);
       }},
      {"a standby does not hear the leader, which hears it",
       [](World& w, int l) {
         w.cut_one_way(name_of(l), name_of(other(l)), LinkCut::reset);
         w.at(from_seconds(8), [&w, l] { end(w, l); });
         heal_after(w, 30);
       }},
      {"the leader does not hear a standby",
       [](World& w, int l) {
         w.cut_one_way(name_of(other(l)), name_of(l), LinkCut::hold);
         w.at(from_seconds(8), [&w, l] { end(w, l); });
         heal_after(w, 30);
       }},
      {"a standby is cut off from the state service, and hears no answers of it",
       [](World& w, int l) {
         w.cut(name_of(other(l)), "state", LinkCut::hold);
         w.cut_one_way("state", name_of(other(l, 2)), LinkCut::hold);
         w.at(from_seconds(5), [&w, l] { end(w, l); });
         heal_after(w, 12);
       }},
      {"the standbys are cut off from the workers",
       [](World& w, int l) {
         for (const std::string& h : w.hosts()) {
           w.cut(name_of(other(l)), h, LinkCut::hold);
           w.cut_one_way(name_of(other(l, 2)), h, LinkCut::reset);
         }
         w.at(from_seconds(2), [&w, l] { end(w, l); });
         heal_after(w, 20);
       }},
      {"a standby stood still for longer than a hold and believes itself warm",
       [](World& w, int l) {
         w.stall(other(l), from_seconds(9));
         w.at(from_seconds(8), [&w, l] { end(w, l); });
       }},
      {"the leader stands still and goes on", [](World& w, int l) { w.stall(l, from_seconds(7)); }},
      {"the state service is away during the check",
       [](World& w, int l) {
         in_next_term(w, [&w] {
           w.state_outage(true);
           w.at(from_seconds(6), [&w] { w.state_outage(false); });
         });
         end(w, l);
       }},
      {"the state service is slow during the check",
       [](World& w, int l) {
         w.state_slow(from_millis(600));
         w.at(from_seconds(15), [&w] { w.state_slow(Micros{0}); });
         end(w, l);
       }},
      {"the state service refuses the new leader alone",
       [](World& w, int l) {
         in_next_term(w, [&w] {
           for (int i = 0; i < 3; ++i) {
             if (w.leader() != i) continue;
             w.state_refuses(i, true);
             w.at(from_seconds(8), [&w, i] { w.state_refuses(i, false); });
           }
         });
         end(w, l);
       }},
      {"all begin anew at once",
       [](World& w, int) {
         for (int i = 0; i < 3; ++i) w.crash(i, from_seconds(3));
       }},
      {"all begin anew one after the other while a zone is cut off",
       [](World& w, int) {
         w.cut_zone("b", LinkCut::hold);
         heal_after(w, 25);
         for (int i = 0; i < 3; ++i) w.at(from_seconds(6 * i), [&w, i] { w.crash(i, from_seconds(3)); });
       }},
      {"spot machines are taken just before",
       [](World& w, int l) {
         for (const std::string& h : w.hosts()) w.take(h, from_seconds(w.uniform(0, 3)));
         w.at(from_seconds(1), [&w, l] { end(w, l); });
       }},
      {"machines hang that the hints call well",
       [](World& w, int l) {
         w.at(from_millis(300), [&w] {
           for (const std::string& h : w.hosts()) {
             if (w.pick(2) == 0) w.hang(h, from_seconds(w.uniform(3, 25)));
           }
         });
         end(w, l);
       }},
      {"machines come up that only the dead leader knew of",
       [](World& w, int l) {
         for (int i = 1; i < 3; ++i) w.cut(name_of(l), name_of(other(l, i)), LinkCut::reset);
         for (int i = 500; i < 512; ++i) w.submit(World::job(i, 6, 8, 10));
         w.at(from_seconds(2), [&w, l] { end(w, l); });
         heal_after(w, 20);
       }},
      {"a second token within half a lease",
       [](World& w, int l) {
         end(w, l);
         in_next_term(w, [&w] {
           w.at(from_millis(700), [&w] {
             for (int i = 0; i < 3; ++i)
               if (w.leader() == i) w.stall(i, from_seconds(6));
           });
         });
       }},
      {"the new leader is short of processor",
       [](World& w, int l) {
         in_next_term(w, [&w] {
           for (int k = 0; k < 8; ++k) {
             w.at(from_millis(400 * k), [&w] {
               for (int i = 0; i < 3; ++i)
                 if (w.leader() == i) w.stall(i, from_millis(300));
             });
           }
         });
         end(w, l);
       }},
      {"users cancel what runs while nobody leads",
       [](World& w, int l) {
         end(w, l);
         for (int i = 0; i < 20; i += 3)
           w.at(from_millis(200 * i), [&w, i] { w.cancel(World::job(i, 1, 1, 1).job_id); });
       }},
  };
}

/// Few machines, all of one type and kept, so that what they hold is known.
Site steady_site(bool standby) {
  Site s = parse_site(small_site_yaml(), "site.yaml");
  s.types.resize(1);
  s.types[0].spot = 0;
  s.types[0].ordinary = 12;
  s.machines = 12;
  s.settings.tunables.idle_return = from_seconds(3600);
  s.settings.tunables.warm_standby = standby;
  return s;
}

struct Orders {
  std::size_t all = 0;
  std::size_t had_image = 0;
};

/// A job leaves its image on some machines, the leader ends, and a second one that needs the image comes.
Orders orders_after_takeover(bool standby) {
  World w(11, steady_site(standby));
  w.run(from_seconds(15));
  // Those that come first by name are kept busy, so that the image comes to others.
  JobSpec filler = World::job(5, 8, 16, 40);
  filler.image = "zero";
  w.submit(filler);
  w.run(from_seconds(8));
  JobSpec first = World::job(1, 12, 4, 10);
  first.image = "one";
  first.image_gb = 12;
  w.submit(first);
  w.run(from_seconds(80));
  const int leader = w.leader();
  Orders seen;
  w.crash(leader, from_seconds(60));
  until(w, from_seconds(15), [&] { return w.leader() >= 0; });
  w.run(from_seconds(4));
  w.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool has_image) {
    ++seen.all;
    seen.had_image += has_image ? 1 : 0;
  };
  JobSpec second = World::job(3, 6, 4, 10);
  second.image = "one";
  second.image_gb = 12;
  w.submit(second);
  w.run(from_seconds(30));
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
  return seen;
}

}  // namespace

TEST(Takeover, HardCasesBreakNoRuleAndLoseNoJob) {
  for (const Hard& h : hard_cases()) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      World w(seed * 7);
      load(w, 90);
      w.run(from_seconds(45));
      ASSERT_GE(w.leader(), 0);
      h.strike(w, w.leader());
      w.run(from_seconds(420));
      EXPECT_TRUE(w.checker.broken().empty()) << h.name << ", seed " << seed << "\n" << notes(w);
      EXPECT_EQ(w.live(), 0U) << h.name << ", seed " << seed;
      EXPECT_GE(w.leader(), 0) << h.name << ", seed " << seed;
    }
  }
}

TEST(Takeover, HardCasesInPairsBreakNoRuleAndLoseNoJob) {
  const auto all = hard_cases();
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Hard& a = all[i];
    const Hard& b = all[(i * 5 + 3) % all.size()];
    World w(400 + i);
    load(w, 110);
    w.run(from_seconds(45));
    ASSERT_GE(w.leader(), 0);
    a.strike(w, w.leader());
    w.run(from_seconds(w.uniform(2, 12)));
    b.strike(w, std::max(0, w.leader()));
    w.run(from_seconds(450));
    EXPECT_TRUE(w.checker.broken().empty()) << a.name << " and " << b.name << "\n" << notes(w);
    EXPECT_EQ(w.live(), 0U) << a.name << " and " << b.name;
  }
}

TEST(Takeover, TheNextTermBeginsAsTheHoldEndsAndStartsTasksAtOnce) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    World w(seed);
    load(w, 120);
    w.run(from_seconds(60));
    const int leader = w.leader();
    ASSERT_GE(leader, 0);
    for (int i = 1; i < 3; ++i) EXPECT_EQ(w.ready(other(leader, i)), Readiness::warm);
    std::optional<Instant> ordered;
    const Instant ended = w.now();
    w.crash(leader, from_seconds(40));
    const Micros hold = World::small_site().tunables.leader_lease;
    EXPECT_LE(until(w, from_seconds(15), [&] { return w.leader() >= 0; }), hold + from_millis(250));
    w.machines().on_command = [&](const std::string&, std::uint32_t, std::uint64_t, bool) {
      if (!ordered) ordered = w.now();
    };
    for (int i = 600; i < 604; ++i) w.submit(World::job(i, 4, 1, 5));
    w.run(from_seconds(8));
    ASSERT_TRUE(ordered);
    EXPECT_LE(*ordered - ended, hold + from_millis(1500)) << "seed " << seed;
    w.run(from_seconds(20));
    ASSERT_FALSE(w.failovers().empty());
    const auto& parts = w.failovers().back().parts;
    EXPECT_TRUE(parts.from_replica);
    EXPECT_LE(parts.last_machine, from_seconds(2.5)) << "seed " << seed;
    EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
  }
}

TEST(Takeover, TheImagesThatMachinesHoldAreNotForgotten) {
  const Orders warm = orders_after_takeover(true);
  const Orders cold = orders_after_takeover(false);
  EXPECT_EQ(warm.all, 6U);
  EXPECT_EQ(warm.had_image, warm.all);
  EXPECT_LT(cold.had_image, cold.all);
}

TEST(Takeover, ALeaderThatHearsNoWorkersHandsOverWithinAFractionOfASecond) {
  World w(33);
  for (int i = 1; i < 16; i += 2) w.submit(World::job(i, 4, 8, 200));
  w.run(from_seconds(60));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  for (const std::string& host : w.hosts()) w.cut(name_of(leader), host, LinkCut::hold);
  until(w, from_seconds(30), [&] { return w.leader() != leader; });
  EXPECT_LE(until(w, from_seconds(10), [&] { return w.leader() >= 0; }), from_millis(400));
  EXPECT_NE(w.leader(), leader);
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
}

TEST(Takeover, ALeaderThatIsStarvedOfItsProcessorHandsOver) {
  World w(45);
  load(w, 90);
  w.run(from_seconds(50));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  // It moves for a tenth of a second in each second: enough to keep its hold, and to be slow at everything.
  for (int k = 0; k < 25; ++k) w.at(from_seconds(k), [&w, leader] { w.stall(leader, from_millis(900)); });
  EXPECT_LE(until(w, from_seconds(25), [&] { return w.leader() >= 0 && w.leader() != leader; }),
            from_seconds(14));
  EXPECT_NE(w.leader(), leader);
  w.run(from_seconds(400));
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
  EXPECT_EQ(w.live(), 0U);
}

TEST(Takeover, TheOtherStandbyStaysWarmUnderTheNextLeader) {
  // One that knew as much as the new leader was called half warm until something new was told. A heartbeat
  // that is lost right then costs its warmth for a while, so that one day alone would be a matter of luck.
  int warm = 0;
  for (std::uint64_t seed = 41; seed <= 50; ++seed) {
    World w(seed);
    load(w, 30);
    w.run(from_seconds(70));
    const int leader = w.leader();
    ASSERT_GE(leader, 0);
    w.crash(leader, from_seconds(60));
    until(w, from_seconds(10), [&] { return w.leader() >= 0; });
    w.run(from_seconds(2));
    warm += w.ready(3 - leader - w.leader()) == Readiness::warm ? 1 : 0;
  }
  EXPECT_GE(warm, 8);
}

TEST(Takeover, AColderCandidateGoesWhenTheWarmestDoesNot) {
  World w(35);
  load(w, 60);
  w.run(from_seconds(50));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  const int first = std::min(other(leader), other(leader, 2));
  w.crash(leader, from_seconds(60));
  w.run(from_seconds(2));
  w.stall(first, from_seconds(20));
  EXPECT_LE(until(w, from_seconds(15), [&] { return w.leader() >= 0; }), from_seconds(3.5));
  EXPECT_EQ(w.leader(), 3 - leader - first);
  w.run(from_seconds(30));
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
}

TEST(Takeover, ALeaderThatIsBackSoonLeavesItsLeadToAWarmPeer) {
  World w(37);
  load(w, 60);
  w.run(from_seconds(50));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  w.crash(leader, from_seconds(1));
  EXPECT_LE(until(w, from_seconds(15), [&] { return w.leader() >= 0; }), from_seconds(1.6));
  EXPECT_NE(w.leader(), leader);
  w.run(from_seconds(30));
  EXPECT_TRUE(w.failovers().back().parts.from_replica);
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
}

TEST(Takeover, ATopologyThatChangesMeanwhileHoldsNobodyUp) {
  // A newer map is read by some of the controllers while the leader ends: the warm one with the map in force,
  // or in the end any, leads, and no rule breaks.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Site s = parse_site(small_site_yaml(), "site.yaml");
    const std::string map =
        "version: 1\nlevels: [rack]\ndomains:\n  r0: {level: rack, machines: [{host: \"m-*\"}]}\n";
    s.topology_text = map;
    World w(50 + seed, s);
    load(w, 80);
    w.run(from_seconds(45));
    const int leader = w.leader();
    ASSERT_GE(leader, 0);
    std::string newer = map;
    newer.replace(newer.find("1"), 1, "2");
    w.edit_topology(newer);
    w.run(from_seconds(w.uniform(0, 2.5)));
    end(w, leader);
    EXPECT_LE(until(w, from_seconds(20), [&] { return w.leader() >= 0; }), from_seconds(11))
        << "seed " << seed;
    w.run(from_seconds(400));
    EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
    EXPECT_EQ(w.live(), 0U);
  }
}

TEST(Takeover, ReplicasLostWithTheLeaderAreStartedFirst) {
  // A machine with replicas dies as the leader does, while arrays wait for every place that comes.
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    World w(60 + seed);
    JobSpec service = World::job(901, 6, 4, 0);
    service.type = JobType::service;
    service.priority = Priority::prod;
    w.submit(service);
    w.run(from_seconds(30));
    for (int i = 0; i < 30; ++i) w.submit(World::job(i, 8, 4, 25));
    w.run(from_seconds(15));
    const auto hosts = w.hosts();
    const auto of = [&](const std::string& host) {
      const auto units = w.tasks_on(host);
      return std::count_if(units.begin(), units.end(),
                           [&](const auto& u) { return u.first == service.job_id; });
    };
    const auto with =
        std::find_if(hosts.begin(), hosts.end(), [&](const std::string& h) { return of(h) > 0; });
    ASSERT_NE(with, hosts.end());
    auto lost = of(*with);
    const int leader = w.leader();
    ASSERT_GE(leader, 0);
    w.die(*with);
    end(w, leader);
    w.machines().on_command = [&](const std::string& job_id, std::uint32_t, std::uint64_t, bool) {
      if (job_id == service.job_id) --lost;
    };
    // The hold, the machine's silence, the cloud's word that it is gone: before that nothing of it may start.
    w.run(from_seconds(16));
    EXPECT_EQ(lost, 0) << "seed " << seed;
    EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
  }
}

TEST(Takeover, AStandbyTakesLittleOfTheStateServicesPace) {
  World w(39);
  load(w, 120);
  w.run(from_seconds(20));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  std::uint64_t before = 0;
  for (int i = 1; i < 3; ++i) before += w.state_requests(name_of(other(leader, i)));
  w.run(from_seconds(100));
  std::uint64_t after = 0;
  for (int i = 1; i < 3; ++i) after += w.state_requests(name_of(other(leader, i)));
  // Two followers, with their looks, watches and users' questions.
  EXPECT_LT(static_cast<double>(after - before), 0.1 * 100 * World::small_site().state_rps);
}

TEST(Takeover, SwitchedOffItReadsTheRecordsAsBefore) {
  Settings s = World::small_site();
  s.tunables.warm_standby = false;
  World w(41, s);
  load(w, 60);
  w.run(from_seconds(50));
  const int leader = w.leader();
  ASSERT_GE(leader, 0);
  for (int i = 1; i < 3; ++i) EXPECT_EQ(w.ready(other(leader, i)), Readiness::cold);
  end(w, leader);
  w.run(from_seconds(400));
  EXPECT_FALSE(w.failovers().back().parts.from_replica);
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
  EXPECT_EQ(w.live(), 0U);
}

namespace {

/// A gang of four on machines of its own, whose images take a while; where its tasks were ordered, by
/// attempt.
struct GangDay {
  World w;
  JobSpec gang;
  std::map<std::uint64_t, std::multiset<std::uint32_t>> orders;
  explicit GangDay(std::uint64_t seed) : w(seed, site()) {
    gang = World::job(1, 4, 16, 30);
    gang.type = JobType::gang;
    gang.single_zone = true;
    gang.spot_allowed = false;
    gang.image_gb = 20;
    gang.checkpoint_interval = from_seconds(5);
    gang.checkpoint_time = from_seconds(2);
    w.machines().on_command = [this](const std::string& job_id, std::uint32_t task, std::uint64_t attempt,
                                     bool) {
      if (job_id == gang.job_id) orders[attempt].insert(task);
    };
    w.run(from_seconds(15));
    w.submit(gang);
  }
  static Site site() {
    Site s = steady_site(true);
    s.settings.gang_start_timeout = from_seconds(60);
    return s;
  }
  /// A machine on which a task of the gang is, or is to be.
  std::string member() const {
    for (const std::string& h : w.hosts()) {
      if (!w.tasks_on(h).empty()) return h;
    }
    return "";
  }
  void finish() {
    w.run(from_seconds(300));
    EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
    EXPECT_EQ(w.told(gang.job_id), "done");
  }
};

}  // namespace

TEST(Takeover, AGangThatLosesATaskBeforeItsStartIsCompletedUnderTheSameAttempt) {
  for (const bool takeover : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      GangDay d(seed);
      d.w.run(from_seconds(8));  // all of them wait for their image
      ASSERT_EQ(d.orders[1].size(), 4U);
      const std::string host = d.member();
      ASSERT_FALSE(host.empty());
      d.w.die(host);
      if (takeover) end(d.w, d.w.leader());
      d.finish();
      EXPECT_EQ(d.orders.size(), 1U) << "seed " << seed;
      EXPECT_EQ(d.orders[1].size(), 5U) << "seed " << seed;
    }
  }
}

TEST(Takeover, AGangThatLosesATaskWhileItRunsBeginsAnewFromWhatIsSaved) {
  for (const bool takeover : {false, true}) {
    GangDay d(3);
    d.w.run(from_seconds(45));
    ASSERT_EQ(d.orders.size(), 1U);
    const std::string host = d.member();
    ASSERT_FALSE(host.empty());
    d.w.die(host);
    if (takeover) end(d.w, d.w.leader());
    d.finish();
    EXPECT_EQ(d.orders.size(), 2U);
  }
}

TEST(Takeover, AGangThatIsStoppedInOrderGoesOnUnderTheNextTerm) {
  // The leader ends while its tasks save, and before they have left.
  for (const std::int64_t after : {100, 600, 1500, 3000}) {
    GangDay d(5);
    d.gang.spot_allowed = true;
    d.w.run(from_seconds(45));
    ASSERT_EQ(d.orders.size(), 1U);
    JobSpec service = World::job(51, 8, 16, 0);
    service.type = JobType::service;
    service.priority = Priority::prod;
    service.spot_allowed = false;
    d.w.submit(service);
    d.w.run(from_millis(after));
    if (d.w.leader() >= 0) end(d.w, d.w.leader());
    d.w.at(from_seconds(100), [&] { d.w.cancel(service.job_id); });
    d.finish();
  }
}

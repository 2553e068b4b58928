#pragma once
// A node's answers to users, with the state service and the peers answered by hand.

#include <gtest/gtest.h>

#include "manual_runtime.hpp"
#include "wrenusher/job_api/job_api.hpp"
#include "wrenusher/testbed/world.hpp"

namespace wrenusher::testbed {

using runtime::ByHand;

/// A node's answers to users, with the state service answered by hand.
struct DeskByHand {
  Settings settings = [] {
    Settings s = World::small_site();
    s.state_rps = 1e6;  // so that no call waits for its turn
    return s;
  }();
  ByHand rt;
  wrenusher::kv_client::KvClient store{rt, settings};
  std::unique_ptr<wrenusher::job_api::JobApi> made;
  wrenusher::job_api::JobApi& desk;
  std::vector<std::string> states;  ///< as told, in order
  std::vector<events::StageAnnouncement> announced;
  std::string ref = "req-000001";

  explicit DeskByHand(int peers = 0)
      : made([&] {
          for (int i = 1; i <= peers; ++i)
            settings.peers.push_back({"c" + std::to_string(i), "a", "10.0.0." + std::to_string(i) + ":8081"});
          return std::make_unique<wrenusher::job_api::JobApi>(rt, settings, store);
        }()),
        desk(*made) {
    desk.stage_announcement.connect(rt,
                                    [this](const events::StageAnnouncement& a) { announced.push_back(a); });
    const MachineType f{"small", {to_amount(16), 0, to_amount(64)}, 30, 1, 1, 0.3, from_seconds(8), {"a"}};
    desk.on_catalog_updated({std::make_shared<Catalog>(Catalog{{"small", f}})});
  }
  void ask(const Request& request) {
    desk.serve(request, [this](const Response& r) {
      const auto v = decode(r.body);
      const std::string* s = v ? (*v)["status"].text() : nullptr;
      states.push_back((r.status == 200 || r.status == 201) && s != nullptr ? *s : std::to_string(r.status));
    });
  }
  void poll() { ask({"GET", "/submissions/" + ref, {}}); }
  void withdraw() { ask({"POST", "/submissions/" + ref + "/withdraw", {}}); }
  void submit(double cores = 1) {
    JobSpec s = World::job(1, 1, cores, 10);
    s.job_id = ref;
    ask({"POST", "/submissions", encode(write_spec(s))});
  }
  /// The one call that is under way; it is answered when the caller likes.
  ByHand::Call sent() {
    for (int i = 0; i < 50 && rt.calls.empty(); ++i) rt.pass(from_millis(10));
    EXPECT_EQ(rt.calls.size(), 1U);
    ByHand::Call c = std::move(rt.calls.front());
    rt.calls.clear();
    return c;
  }
  static void answer(const ByHand::Call& c, int status, const Value& body) {
    c.done({true, true, {status, encode(body), 0}});
  }
  Value live(std::uint64_t mod_revision, bool cancelled) const {
    Value record = wrenusher::records::write_job(World::job(0, 1, 1, 10), {}, 100);
    if (cancelled) record = wrenusher::records::cancelled_record(record);
    return Value::Map{{"k", "job/" + ref}, {"value", record}, {"stamp", mod_revision}};
  }
  Value over() const {
    return Value::Map{{"k", "end/" + ref},
                      {"value", wrenusher::records::write_final_state("done", 1)},
                      {"stamp", std::uint64_t{9}}};
  }
  static Value none(std::uint64_t revision) { return Value::Map{{"ledger_rev", revision}}; }
};

}  // namespace wrenusher::testbed

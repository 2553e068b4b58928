#pragma once
// Provides a fixture that tests JobApi with scripted replies of the state service and events of the peers.

#include <gtest/gtest.h>

#include "manual_runtime.hpp"
#include "wrenusher/job_api/job_api.hpp"
#include "wrenusher/testbed/world.hpp"

namespace wrenusher::testbed {

using runtime::ManualRuntime;

/// A JobApi on one node. The test supplies each reply of the state service.
struct JobApiFixture {
  Settings settings = [] {
    Settings result = World::small_site();
    result.state_rps = 1e6;  // so that no call is delayed by the rate limit
    return result;
  }();
  ManualRuntime runtime;
  wrenusher::kv_client::KvClient store{runtime, settings};
  std::unique_ptr<wrenusher::job_api::JobApi> owned_api;
  wrenusher::job_api::JobApi& api;
  /// The `status` of each response in order, or the status code of an error response.
  std::vector<std::string> statuses;
  std::vector<events::StageAnnouncement> announcements;
  std::string job_id = "req-000001";

  explicit JobApiFixture(int peers = 0)
      : owned_api([&] {
          for (int i = 1; i <= peers; ++i)
            settings.peers.push_back({"c" + std::to_string(i), "a", "10.0.0." + std::to_string(i) + ":8081"});
          return std::make_unique<wrenusher::job_api::JobApi>(runtime, settings, store);
        }()),
        api(*owned_api) {
    api.stage_announcement.connect(runtime, [this](const events::StageAnnouncement& announcement) {
      announcements.push_back(announcement);
    });
    const MachineType small_type{"small", {to_amount(16), 0, to_amount(64)}, 30, 1, 1, 0.3, from_seconds(8),
                                 {"a"}};
    api.on_catalog_updated({std::make_shared<Catalog>(Catalog{{"small", small_type}})});
  }
  void send(const Request& request) {
    api.serve(request, [this](const Response& response) {
      const auto body = decode(response.body);
      const std::string* status = body ? (*body)["status"].text() : nullptr;
      statuses.push_back((response.status == 200 || response.status == 201) && status != nullptr
                             ? *status
                             : std::to_string(response.status));
    });
  }
  void poll() { send({"GET", "/submissions/" + job_id, {}}); }
  void cancel() { send({"POST", "/submissions/" + job_id + "/withdraw", {}}); }
  void submit(double cores = 1) {
    JobSpec spec = World::job(1, 1, cores, 10);
    spec.job_id = job_id;
    send({"POST", "/submissions", encode(write_spec(spec))});
  }
  /// Returns the only call in progress. The caller answers it later with `answer`.
  ManualRuntime::Call take_call() {
    for (int i = 0; i < 50 && runtime.calls.empty(); ++i) runtime.pass(from_millis(10));
    EXPECT_EQ(runtime.calls.size(), 1U);
    ManualRuntime::Call call = std::move(runtime.calls.front());
    runtime.calls.clear();
    return call;
  }
  static void answer(const ManualRuntime::Call& call, int status, const Value& body) {
    call.done({true, true, {status, encode(body), 0}});
  }
  Value live_record_body(std::uint64_t mod_revision, bool cancelled) const {
    Value record = wrenusher::records::write_job(World::job(0, 1, 1, 10), {}, 100);
    if (cancelled) record = wrenusher::records::cancelled_record(record);
    return Value::Map{{"k", "job/" + job_id}, {"value", record}, {"stamp", mod_revision}};
  }
  Value final_record_body() const {
    return Value::Map{{"k", "end/" + job_id},
                      {"value", wrenusher::records::write_final_state("done", 1)},
                      {"stamp", std::uint64_t{9}}};
  }
  static Value revision_body(std::uint64_t revision) { return Value::Map{{"ledger_rev", revision}}; }
};

}  // namespace wrenusher::testbed

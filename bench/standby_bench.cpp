// Measures the cost of a standby, and of a failover with and without one, by the number of machines, assigned
// tasks (claims) and changes. It runs on one core; compare only figures of the same run.
//
//   follow_one_write/CLAIMS                  decodes and applies one shard as a watch delivers it
//   read_records/MACHINES/CLAIMS             decodes all records as a paged read delivers them, and loads
//                                            them into the job table and the commit batcher
//   load_replica/MACHINES/CLAIMS             loads an up-to-date replica into these two
//   verification_conditions/MACHINES/CLAIMS  builds the conditions that verify a replica; counts keys, and
//                                            requests of 64 conditions each
//   publish_hints/MACHINES/CHANGES           sends a leader's heartbeat to two peers after CHANGES machines
//                                            have changed
//   receive_hints/MACHINES/CHANGES           applies such a heartbeat at a peer
//
// Jobs have 50 tasks, each task has one assignment, and each machine has four images. Counters: bytes of the
// replica per assignment, of the hint table per machine, and of one shard or heartbeat.

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <random>

#include "still_runtime.hpp"
#include "wrenusher/leader/failover.hpp"
#include "wrenusher/replica/standby_replica.hpp"

namespace {

using namespace wrenusher::time;
using namespace wrenusher::value;
using namespace wrenusher::runtime;
using namespace wrenusher::events;
using namespace wrenusher::protocol;
namespace job_table = wrenusher::job_table;
namespace estimates = wrenusher::estimates;
namespace leader = wrenusher::leader;
namespace machine_inventory = wrenusher::machine_inventory;
namespace records = wrenusher::records;
namespace replica = wrenusher::replica;
namespace kv_client = wrenusher::kv_client;
namespace commit_batcher = wrenusher::commit_batcher;
using wrenusher::ManualClockRuntime;

constexpr std::uint32_t kTasksPerJob = 50;
constexpr std::size_t kMaxShardBytes = 16 * 1024;

std::string host_name(std::size_t n) {
  return "m-" + std::to_string(100000 + n);
}

JobSpec job(std::size_t n) {
  JobSpec s;
  s.job_id = "req-" + std::to_string(100000 + n);
  s.job_class = "work";
  s.team = "team";
  s.task_count = kTasksPerJob;
  s.resources = {to_amount(1), 0, to_amount(1)};
  s.image = "img-" + std::to_string(n % 200);
  s.image_gb = 2;
  s.expected_runtime = from_seconds(40);
  return s;
}

/// Returns the records of live jobs and shards as stored in the state service.
std::vector<kv_client::KeyValue> make_records(std::size_t machines, std::size_t claims) {
  std::vector<kv_client::KeyValue> out;
  Value::List blocks;
  std::size_t bytes = 0;
  std::uint32_t shard = 0;
  std::uint64_t revision = 0;
  const auto close = [&] {
    if (blocks.empty()) return;
    out.push_back(
        {records::shard_key(shard), records::write_shard(shard, std::exchange(blocks, {})), ++revision, 0});
    ++shard;
    bytes = 0;
  };
  for (std::size_t n = 0; n * kTasksPerJob < claims; ++n) {
    const JobSpec spec = job(n);
    out.push_back(
        {records::job_key(spec.job_id), records::write_job(spec, WallTime{}, kTasksPerJob), ++revision, 0});
    std::vector<records::AssignmentRow> assignments;
    for (std::uint32_t t = 0; t < kTasksPerJob; ++t) {
      RangeSet task;
      task.add(t);
      assignments.push_back({host_name((n * kTasksPerJob + t) * 7919 % machines), 1, task});
    }
    Value row = records::write_block({spec.job_id, 0, n + 1}, 1, {}, assignments, 0, kTasksPerJob - 1);
    const std::size_t size = row.json_size() + 1;
    if (bytes + size > kMaxShardBytes) close();
    bytes += size;
    blocks.push_back(std::move(row));
  }
  close();
  return out;
}

records::RecordSnapshot snapshot(const std::vector<kv_client::KeyValue>& all) {
  records::RecordSnapshot s;
  for (const kv_client::KeyValue& r : all) replica::apply_put(s, r);
  return s;
}

/// The components of a new leader that a failover loads.
struct LeaderState {
  ManualClockRuntime runtime;
  wrenusher::settings::Settings settings;
  estimates::Estimator estimator;
  kv_client::KvClient service{runtime, settings};
  machine_inventory::MachineInventory inventory{runtime, estimator};
  job_table::JobTable jobs{runtime, inventory};
  commit_batcher::CommitBatcher batcher{runtime, settings, service, jobs};
  leader::Failover failover{runtime, service, jobs, batcher};
  LeaderState() {
    jobs.reset(2);
    batcher.reset(9);
  }
};

void follow_one_write(benchmark::State& state) {
  const auto all = make_records(1000, static_cast<std::size_t>(state.range(0)));
  std::vector<std::string> bytes;
  std::vector<std::string> keys;
  for (const auto& r : all) {
    if (!records::parse_shard_key(r.key)) continue;
    bytes.push_back(encode(r.value));
    keys.push_back(r.key);
  }
  records::RecordSnapshot s = snapshot(all);
  std::size_t n = 0;
  for (auto _ : state) {
    const std::size_t i = n++ % keys.size();
    replica::apply_put(s, {keys[i], *decode(bytes[i]), 1000000 + n, 0});
  }
  state.counters["bytes"] = static_cast<double>(bytes[0].size());
}

void read_records(benchmark::State& state) {
  const auto all =
      make_records(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  std::vector<std::pair<kv_client::KeyValue, std::string>> wire;
  for (const auto& r : all)
    wire.emplace_back(kv_client::KeyValue{r.key, {}, r.mod_revision, 0}, encode(r.value));
  for (auto _ : state) {
    state.PauseTiming();
    auto leader_state = std::make_unique<LeaderState>();
    auto s = std::make_unique<records::RecordSnapshot>();
    state.ResumeTiming();
    for (auto& [row, bytes] : wire) {
      row.value = *decode(bytes);
      replica::apply_put(*s, row);
    }
    leader_state->failover.load_replica(*s);
    state.PauseTiming();
    leader_state.reset();
    s.reset();
    state.ResumeTiming();
  }
}

void load_replica(benchmark::State& state) {
  const auto all =
      make_records(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  const std::size_t before = mallinfo2().uordblks;
  const records::RecordSnapshot s = snapshot(all);
  state.counters["bytes_a_claim"] =
      static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(state.range(1));
  for (auto _ : state) {
    state.PauseTiming();
    auto leader_state = std::make_unique<LeaderState>();
    state.ResumeTiming();
    leader_state->failover.load_replica(s);
    state.PauseTiming();
    leader_state.reset();
    state.ResumeTiming();
  }
}

void verification_conditions(benchmark::State& state) {
  const auto all =
      make_records(static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
  const records::RecordSnapshot s = snapshot(all);
  std::size_t keys = 0;
  for (auto _ : state) {
    keys = replica::verification_conditions(s).size();
    benchmark::DoNotOptimize(keys);
  }
  state.counters["keys"] = static_cast<double>(keys);
  state.counters["requests"] = static_cast<double>((keys + 63) / 64);
}

MachineHint hint(std::size_t n, std::uint64_t change) {
  MachineHint m;
  m.host = host_name(n);
  m.address = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":9000";
  m.machine_type = "small";
  m.zone = "a";
  m.incarnation = 1;
  for (std::uint64_t i = 0; i < 4; ++i)
    m.images.push_back({"img-" + std::to_string((n + change + i) % 200), 2});
  return m;
}

struct PublishingLeader {
  Instant now{from_seconds(1000)};
  replica::HintPublisher publisher;
  replica::HintTable table;
  std::uint64_t change = 0;
  std::size_t machines;
  explicit PublishingLeader(std::size_t machine_count) : machines(machine_count) {
    publisher.begin(3, 1, {}, {}, now);
    for (std::size_t i = 0; i < machine_count; ++i) publisher.put(replica::to_hint_row(hint(i, 0)), now);
    for (const char* peer : {"one", "two"}) publisher.on_confirmed(peer, 5, {}, now);
    while (publisher.unconfirmed_row_count("one") + publisher.unconfirmed_row_count("two") > 0)
      send_heartbeat();
  }
  std::vector<std::string> send_heartbeat() {
    now += from_millis(500);
    std::vector<std::string> out;
    for (const char* peer : {"one", "two"}) {
      const Value v = publisher.next_message(peer, now);
      if (v.is_null()) continue;
      out.push_back(encode(v));
      publisher.on_confirmed(peer, 5, {*v["n"].count()}, now);
    }
    return out;
  }
  void change_machines(std::size_t n) {
    ++change;
    for (std::size_t i = 0; i < n; ++i)
      publisher.put(replica::to_hint_row(hint((change * n + i) * 7919 % machines, change)), now);
  }
};

void publish_hints(benchmark::State& state) {
  PublishingLeader publishing_leader(static_cast<std::size_t>(state.range(0)));
  std::size_t bytes = 0;
  std::size_t heartbeats = 0;
  for (auto _ : state) {
    publishing_leader.change_machines(static_cast<std::size_t>(state.range(1)));
    for (const auto& b : publishing_leader.send_heartbeat()) bytes += b.size();
    ++heartbeats;
  }
  state.counters["bytes"] = static_cast<double>(bytes) / static_cast<double>(heartbeats * 2);
}

void receive_hints(benchmark::State& state) {
  PublishingLeader publishing_leader(static_cast<std::size_t>(state.range(0)));
  std::vector<std::string> messages;
  for (int i = 0; i < 20; ++i) {
    publishing_leader.change_machines(static_cast<std::size_t>(state.range(1)));
    messages.push_back(publishing_leader.send_heartbeat().front());
  }
  const std::size_t before = mallinfo2().uordblks;
  replica::HintTable table;
  for (std::size_t i = 0; i < publishing_leader.machines; ++i)
    table.put(replica::to_hint_row(hint(i, 0)), publishing_leader.now, 3, 1);
  state.counters["bytes_a_machine"] =
      static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(publishing_leader.machines);
  std::uint64_t n = 1;
  for (auto _ : state) {
    const Value v = *decode(messages[n % messages.size()]);
    ++n;
    for (const Value& row : *v["rows"].list()) {
      const Value::List& f = *row.list();
      table.put({*f[0].text(), f[1], *f[2].count()}, publishing_leader.now, 3, n);
    }
  }
}

BENCHMARK(follow_one_write)->Arg(10000)->Unit(benchmark::kMicrosecond);
BENCHMARK(read_records)->Args({1000, 10000})->Args({10000, 100000})->Unit(benchmark::kMillisecond);
BENCHMARK(load_replica)->Args({1000, 10000})->Args({10000, 100000})->Unit(benchmark::kMillisecond);
BENCHMARK(verification_conditions)->Args({1000, 10000})->Args({10000, 100000})->Unit(benchmark::kMillisecond);
BENCHMARK(publish_hints)
    ->Args({1000, 10})
    ->Args({10000, 10})
    ->Args({1000, 100})
    ->Args({10000, 100})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(receive_hints)->Args({1000, 100})->Args({10000, 100})->Unit(benchmark::kMicrosecond);

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}

#include "golden_values.hpp"

#include <cctype>
#include <stdexcept>

#include "manual_runtime.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/replica/standby_replica.hpp"

namespace wrenusher::golden {

namespace {

/// Removes and returns the next call whose method and target begin with the prefix. Advances the clock until
/// there is one, by at most 3 s.
ManualRuntime::Call take_call(ManualRuntime& node, const std::string& prefix) {
  for (const Instant end = node.at + from_seconds(3); node.at < end; node.pass(from_millis(10))) {
    for (auto call = node.calls.begin(); call != node.calls.end(); ++call) {
      if (!(call->request.method + " " + call->request.target).starts_with(prefix)) continue;
      ManualRuntime::Call result = std::move(*call);
      node.calls.erase(call);
      return result;
    }
  }
  throw std::logic_error("golden values: no call " + prefix);
}

void respond(const ManualRuntime::Call& call, const Value& body) {
  call.done({true, true, {200, encode(body), 0}});
}

/// Returns the transaction with which a candidate begins a term after epoch 4, as sent to the state service.
std::string new_term_transaction(bool with_topology) {
  ManualRuntime runtime;
  const settings::Settings settings = settings_of("c0");
  kv_client::KvClient store(runtime, settings);
  membership::Leadership leadership(runtime, settings, store);
  if (with_topology) leadership.on_topology_loaded({active_topology()});
  leadership.start();
  respond(take_call(runtime, "GET /store?starts=leader"),
          Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", 40}});
  respond(take_call(runtime, "POST /holds"), Value::Map{{"tenancy", 12}});
  respond(take_call(runtime, "GET /store/epoch"),
          Value::Map{{"k", "epoch"}, {"value", Value::Map{{"epoch", 4}}}, {"stamp", 39}});
  return take_call(runtime, "POST /multi").request.body;
}

/// Returns the value that a transaction puts under the key.
std::string written_value(const std::string& transaction, const std::string& key) {
  const Value body = decode(transaction).value();
  for (const Value& change : *body["apply"].list()) {
    if (change["put"].text() != nullptr && *change["put"].text() == key) return encode(change["value"]);
  }
  throw std::logic_error("golden values: the transaction does not put " + key);
}

Value encoded_blocks() {
  Value::List rows;
  for (const records::StoredBlock& block : stored_blocks())
    rows.push_back(records::write_block(block.id, block.state.last_attempt, block.state.done,
                                        block.state.assignments, block.id.block * kTasksPerBlock,
                                        (block.id.block + 1) * kTasksPerBlock - 1));
  return records::write_shard(kShard, std::move(rows));
}

Value encoded_catalog() {
  Value::List types;
  for (const auto& [name, machine_type] : catalog()) {
    Value::List zones;
    for (const std::string& zone : machine_type.zones) zones.emplace_back(zone);
    types.emplace_back(Value::Map{{"name", name},
                                  {"cores", from_amount(machine_type.capacity.cores)},
                                  {"cards", from_amount(machine_type.capacity.gpus)},
                                  {"memory_gb", from_amount(machine_type.capacity.memory)},
                                  {"cache_gb", machine_type.image_cache_gb},
                                  {"pull_gb_per_s", machine_type.fetch_gb_per_s},
                                  {"rate", machine_type.price},
                                  {"low_price", machine_type.spot_price},
                                  {"boot_s", to_seconds(machine_type.boot_time)},
                                  {"sites", std::move(zones)}});
  }
  return Value::Map{{"flavors", std::move(types)}};
}

void add_records(std::map<std::string, std::string>& files) {
  const auto encode_job = [](const JobSpec& spec) {
    return records::write_job(spec, kAcceptedAt, kTasksPerBlock);
  };
  files["record_job_array"] = encode(encode_job(array_job()));
  files["record_job_gang"] = encode(encode_job(gang_job()));
  files["record_job_service"] = encode(encode_job(service_job()));
  files["record_job_withdrawn"] = encode(records::cancelled_record(encode_job(gang_job())));
  files["record_claims"] = encode(encoded_blocks());
  files["record_claims_empty"] = encode(records::write_shard(kShard, {}));
  files["record_end_done"] = encode(records::write_final_state("done", 1000));
  files["record_end_withdrawn"] = encode(records::write_final_state("withdrawn", 4));
  files["record_catalog"] = encode(encoded_catalog());
  const std::string without_topology = new_term_transaction(false);
  const std::string with_topology = new_term_transaction(true);
  files["record_leader"] = written_value(without_topology, "leader");
  files["record_epoch"] = written_value(without_topology, "epoch");
  files["record_epoch_with_topology"] = written_value(with_topology, "epoch");
  files["transaction_of_a_new_term"] = with_topology;
}

std::string encoded_row(const replica::HintRow& row) {
  return encode(Value::List{row.key, row.value, row.digest});
}

/// A controller's standby, and the heartbeat attachments that it sends to its peers.
struct HintEndpoint {
  ManualRuntime runtime;
  settings::Settings settings;
  kv_client::KvClient store;
  replica::StandbyReplica standby;
  std::map<std::string, Value> attachments;  ///< the newest for each peer

  HintEndpoint(const std::string& name, unsigned discarded_random_values)
      : settings(settings_of(name)),
        store(runtime, settings),
        standby(
            [&]() -> Runtime& {
              runtime.random().discard(discarded_random_values);  // so that incarnations differ
              return runtime;
            }(),
            settings, store) {
    standby.attachment.connect(
        runtime, [this](const events::HeartbeatAttachment& event) { attachments[event.peer] = event.value; });
  }
  Value next_attachment(const std::string& peer) {
    standby.on_heartbeat_sent({});
    return attachments.at(peer);
  }
};

void add_hints(std::map<std::string, std::string>& files) {
  files["hint_machine"] = encoded_row(replica::to_hint_row(machine_hint()));
  files["hint_queue"] = encoded_row(replica::to_hint_row(job_class_hint()));
  files["hint_job"] = encoded_row(replica::to_hint_row(job_hint()));
  files["hint_rental"] = encoded_row(replica::to_hint_row(rental_hint()));
  files["hint_booking"] = encoded_row(replica::to_hint_row(rental_request_hint()));

  HintEndpoint leader("c0", 0);
  HintEndpoint peer("c1", 1);
  leader.standby.on_term({true, kTerm, 40, "c0", {}, {}});
  peer.standby.on_term({false, kTerm, 0, "c0", {}, {}});
  const Value first_attachment = peer.next_attachment("c0");
  leader.standby.on_attachment({"c1", first_attachment});
  leader.standby.on_leader_hints(std::make_shared<const events::LeaderHints>(
      events::LeaderHints{{machine_hint()}, {job_class_hint()}, {job_hint()}}));
  leader.standby.on_rental_hints(std::make_shared<const events::RentalHints>(
      events::RentalHints{{rental_hint()}, {rental_request_hint()}}));
  const Value all_hints = leader.next_attachment("c1");
  peer.standby.on_attachment({"c0", all_hints});
  const Value confirmation = peer.next_attachment("c0");
  leader.standby.on_attachment({"c1", confirmation});
  const Value no_changes = leader.next_attachment("c1");
  leader.standby.on_machine_departed({machine_hint().host});
  const Value departed_machine = leader.next_attachment("c1");
  files["hints_before_any"] = encode(first_attachment);
  files["hints_all"] = encode(all_hints);
  files["hints_confirmed"] = encode(confirmation);
  files["hints_even"] = encode(no_changes);
  files["hints_machine_gone"] = encode(departed_machine);
}

void add_heartbeats(std::map<std::string, std::string>& files) {
  ManualRuntime runtime;
  const settings::Settings settings = settings_of("c0");
  membership::Peer peer(runtime, settings);
  // Returns the body of the first call that the action causes, which goes to c1, the first peer.
  const auto body_sent_by = [&](const std::function<void()>& action) {
    runtime.calls.clear();
    action();
    return runtime.calls.at(0).request.body;
  };
  files["heartbeat_first"] = body_sent_by([&] { peer.start(); });
  peer.on_health({true});
  events::WorkerReachability reachability;
  reachability.receives_reports = true;
  peer.on_worker_reachability(reachability);
  peer.on_topology_loaded({active_topology()});
  peer.on_topology_activated({active_topology(), active_topology()->version(), true});
  peer.on_readiness(events::Readiness::warm);
  peer.on_term({true, kTerm, 40, "c0", {}, {}});
  peer.on_cancelled({gang_job().job_id});
  peer.on_announcement({array_job().job_id, events::JobStage::accepted});
  peer.on_announcement({service_job().job_id, events::JobStage::finished});
  peer.on_progress(std::make_shared<const events::Progress>(progress()));
  peer.on_attachment({"c1", decode(files.at("hints_all")).value()});
  files["heartbeat_of_leader"] = body_sent_by([&] { runtime.pass(from_millis(500)); });
  peer.serve({"POST", "/beat",
              encode(Value::Map{{"node", "c1"},
                                {"epoch", kTerm},
                                {"leader", "c0"},
                                {"since", 40000},
                                {"n", 3},
                                {"withdrawn", Value::List{"req-000077"}},
                                {"log", Value::List{std::uint64_t{9}, std::uint64_t{1}, std::uint64_t{1}}},
                                {"got", Value::List{std::uint64_t{0}, std::uint64_t{0}}}})},
             [&](const Response& response) { files["heartbeat_answer"] = response.body; });
  files["heartbeat_abstaining"] = body_sent_by([&] { peer.on_stepping_down({"c2"}); });
}

}  // namespace

settings::Settings settings_of(const std::string& node) {
  settings::Settings settings;
  settings.node = node;
  settings.zone = "a";
  settings.zones = {"a", "b"};
  settings.report_interval = from_seconds(1);
  settings.worker_lease = from_seconds(10);
  settings.gang_start_timeout = from_seconds(20);
  settings.gang_peer_timeout = from_seconds(3);
  settings.cancel_deadline = from_seconds(30);
  settings.state_rps = 1e6;  // so that no call waits for the rate limit
  settings.state_write_rps = 1e6;
  settings.value_kb = 16;
  settings.txn_ops = 16;
  for (const char* name : {"c0", "c1", "c2"}) {
    if (name != node) settings.peers.push_back({name, "a", std::string(name) + ":8081"});
  }
  return settings;
}

std::shared_ptr<const topology::Topology> active_topology() {
  return topology::Topology::parse(R"(version: 2
levels: [rack]
domains:
  rack0: {level: rack, machines: [{host: "*0"}]}
  rack1: {level: rack, machines: [{host: "*1"}]}
)",
                                   "golden.yaml");
}

JobSpec array_job() {
  JobSpec spec;
  spec.job_id = "req-000412";
  spec.job_class = "train";
  spec.team = "vision";
  spec.type = JobType::array;
  spec.priority = Priority::high;
  spec.task_count = 1000;
  spec.resources = {to_amount(4.5), to_amount(0), to_amount(13.5)};
  spec.image = "img-07";
  spec.image_gb = 1.25;
  spec.machine_types = {"large", "small"};
  spec.zone = "b";
  spec.spot_allowed = true;
  spec.expected_runtime = from_seconds(30);
  spec.deadline = from_seconds(90.5);
  return spec;
}

JobSpec gang_job() {
  JobSpec spec;
  spec.job_id = "req-9";
  spec.job_class = "simulate";
  spec.team = "physics";
  spec.type = JobType::gang;
  spec.priority = Priority::low;
  spec.task_count = 4;
  spec.resources = {to_amount(16), to_amount(2), to_amount(64)};
  spec.image = "mesh";
  spec.image_gb = 12;
  spec.single_zone = true;
  spec.expected_runtime = from_seconds(86400);
  spec.checkpoint_interval = from_seconds(600);
  spec.checkpoint_time = from_seconds(7.25);
  spec.layout.emplace();
  spec.layout->spread = {"rack", 2, 0, true};
  spec.layout->colocation = {"switch", false};
  return spec;
}

JobSpec service_job() {
  JobSpec spec;
  spec.job_id = "req-" + std::string(60, '8');
  spec.job_class = "signing";
  spec.team = "security";
  spec.type = JobType::service;
  spec.priority = Priority::prod;
  spec.task_count = 1;
  spec.resources = {to_amount(0.25), 0, to_amount(0.5)};
  spec.image = "signer";
  spec.image_gb = 0;
  spec.spread_zones = true;
  spec.layout.emplace();
  spec.layout->spread = {"rack", 0, 0.25, false};
  spec.layout->devices = {{"signer", 1}, {"clock", 3}};
  return spec;
}

std::vector<records::StoredBlock> stored_blocks() {
  records::StoredBlock first{{array_job().job_id, 1, 19}, {}};
  first.state.last_attempt = 23;
  first.state.done.add(358, 399);
  first.state.done.add(500);
  records::AssignmentRow assignment{"m-000000017", 22, {}};
  assignment.tasks.add(400, 403);
  assignment.tasks.add(501);
  first.state.assignments.push_back(assignment);
  assignment = {"m-4", 23, {}};
  assignment.tasks.add(715);
  first.state.assignments.push_back(assignment);
  const records::StoredBlock second{{gang_job().job_id, 0, 1ULL << 62}, {}};
  return {first, second};
}

Catalog catalog() {
  Catalog catalog;
  catalog["large"] = {
      "large", {to_amount(64), to_amount(4), to_amount(256)}, 50, 0.5, 4, 1.1, from_seconds(15), {"a"}};
  catalog["small"] = {"small",   {to_amount(16), 0, to_amount(64)}, 30, 1, 1, 0.3, from_seconds(10),
                      {"a", "b"}};
  return catalog;
}

events::Progress progress() {
  return {{{array_job().job_id, 43, 6}, {service_job().job_id, 0, 1}}, std::nullopt};
}

events::MachineHint machine_hint() {
  events::MachineHint hint;
  hint.host = "m-000000017";
  hint.address = "10.1.0.17:9000";
  hint.machine_type = "small";
  hint.zone = "b";
  hint.spot = true;
  hint.silent = false;
  hint.has_room = true;
  hint.incarnation = 5;
  hint.speed_samples = 12;
  hint.slowness = -0.125;
  hint.images = {{"img-07", 1.25}, {"mesh", 12}};
  hint.fetches = {{"signer", 3, 1.5}};
  hint.failures = {{"req-9", from_seconds(12.5)}};
  return hint;
}

events::JobClassHint job_class_hint() {
  return {"train", {{"req-000412", 0.75, 43}, {"req-9", -2, 4}}};
}

events::JobHint job_hint() {
  return {"req-9", {"m-4", "m-5"}, from_seconds(3.5), 2};
}

events::RentalHint rental_hint() {
  return {"m-000000018", "large", "a", false, from_seconds(4), from_seconds(26)};
}

events::RentalRequestHint rental_request_hint() {
  return {"c0-6-3", "small", "b", true, 20};
}

std::map<std::string, std::string> encoded_by_this_build() {
  std::map<std::string, std::string> files;
  add_records(files);
  add_hints(files);
  add_heartbeats(files);
  return files;
}

std::string to_hex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
    if (i % 32 == 31 || i + 1 == bytes.size()) hex += '\n';
  }
  return hex;
}

std::string from_hex(const std::string& text) {
  std::string digits;
  for (const char c : text) {
    if (std::isspace(static_cast<unsigned char>(c)) == 0) digits += c;
  }
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return bytes;
}

}  // namespace wrenusher::golden

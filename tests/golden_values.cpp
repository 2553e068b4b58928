#include "golden_values.hpp"

#include <cctype>
#include <stdexcept>

#include "manual_runtime.hpp"
#include "wrenusher/membership/leadership.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/replica/standby_replica.hpp"

namespace wrenusher::golden {

namespace {

/// The next call whose method and target begin so; it is taken off the list. The clock moves until it comes.
ByHand::Call take_call(ByHand& node, const std::string& begins) {
  for (const Instant end = node.at + from_seconds(3); node.at < end; node.pass(from_millis(10))) {
    for (auto call = node.calls.begin(); call != node.calls.end(); ++call) {
      if (!(call->request.method + " " + call->request.target).starts_with(begins)) continue;
      ByHand::Call out = std::move(*call);
      node.calls.erase(call);
      return out;
    }
  }
  throw std::logic_error("golden values: no call " + begins);
}

void answer(const ByHand::Call& call, const Value& body) {
  call.done({true, true, {200, encode(body), 0}});
}

/// The transaction with which a candidate begins a term after epoch 4, as the state service gets it.
std::string transaction_of_a_new_term(bool with_topology) {
  ByHand node;
  const settings::Settings settings = settings_of("c0");
  kv_client::KvClient store(node, settings);
  membership::Leadership leadership(node, settings, store);
  if (with_topology) leadership.on_topology_loaded({topology_in_use()});
  leadership.start();
  answer(take_call(node, "GET /store?starts=leader"),
         Value::Map{{"rows", Value::List{}}, {"truncated", false}, {"ledger_rev", 40}});
  answer(take_call(node, "POST /holds"), Value::Map{{"tenancy", 12}});
  answer(take_call(node, "GET /store/epoch"),
         Value::Map{{"k", "epoch"}, {"value", Value::Map{{"epoch", 4}}}, {"stamp", 39}});
  return take_call(node, "POST /multi").request.body;
}

/// The value that a transaction puts under the key.
std::string value_put(const std::string& transaction, const std::string& key) {
  const Value body = decode(transaction).value();
  for (const Value& change : *body["apply"].list()) {
    if (change["put"].text() != nullptr && *change["put"].text() == key) return encode(change["value"]);
  }
  throw std::logic_error("golden values: the transaction does not put " + key);
}

Value encoded_blocks() {
  Value::List rows;
  for (const records::StoredBlock& b : blocks())
    rows.push_back(records::write_block(b.id, b.state.last_attempt, b.state.done, b.state.assignments,
                                        b.id.block * kTasksPerBlock, (b.id.block + 1) * kTasksPerBlock - 1));
  return records::write_shard(kSlot, std::move(rows));
}

Value encoded_catalog() {
  Value::List types;
  for (const auto& [name, f] : catalog()) {
    Value::List zones;
    for (const std::string& zone : f.zones) zones.emplace_back(zone);
    types.emplace_back(Value::Map{{"name", name},
                                  {"cores", from_amount(f.capacity.cores)},
                                  {"cards", from_amount(f.capacity.gpus)},
                                  {"memory_gb", from_amount(f.capacity.memory)},
                                  {"cache_gb", f.image_cache_gb},
                                  {"pull_gb_per_s", f.fetch_gb_per_s},
                                  {"rate", f.price},
                                  {"low_price", f.spot_price},
                                  {"boot_s", to_seconds(f.boot_time)},
                                  {"sites", std::move(zones)}});
  }
  return Value::Map{{"flavors", std::move(types)}};
}

void add_records(std::map<std::string, std::string>& out) {
  const auto job = [](const JobSpec& s) { return records::write_job(s, kAccepted, kTasksPerBlock); };
  out["record_job_array"] = encode(job(array_job()));
  out["record_job_gang"] = encode(job(gang_job()));
  out["record_job_service"] = encode(job(service_job()));
  out["record_job_withdrawn"] = encode(records::cancelled_record(job(gang_job())));
  out["record_claims"] = encode(encoded_blocks());
  out["record_claims_empty"] = encode(records::write_shard(kSlot, {}));
  out["record_end_done"] = encode(records::write_final_state("done", 1000));
  out["record_end_withdrawn"] = encode(records::write_final_state("withdrawn", 4));
  out["record_catalog"] = encode(encoded_catalog());
  const std::string plain = transaction_of_a_new_term(false);
  const std::string with_topology = transaction_of_a_new_term(true);
  out["record_leader"] = value_put(plain, "leader");
  out["record_epoch"] = value_put(plain, "epoch");
  out["record_epoch_with_topology"] = value_put(with_topology, "epoch");
  out["transaction_of_a_new_term"] = with_topology;
}

std::string encoded_row(const replica::HintRow& row) {
  return encode(Value::List{row.key, row.value, row.digest});
}

/// What a controller's standby package gives to be sent to one peer.
struct HintExchange {
  ByHand node;
  settings::Settings settings;
  kv_client::KvClient store;
  replica::StandbyReplica standby;
  std::map<std::string, Value> to_send;  ///< by peer: the last

  HintExchange(const std::string& name, unsigned discarded)
      : settings(settings_of(name)),
        store(node, settings),
        standby(
            [&]() -> Runtime& {
              node.random().discard(discarded);  // so that no two controllers have one life
              return node;
            }(),
            settings, store) {
    standby.attachment.connect(node,
                               [this](const events::HeartbeatAttachment& a) { to_send[a.peer] = a.value; });
  }
  Value next_for(const std::string& peer) {
    standby.on_heartbeat_sent({});
    return to_send.at(peer);
  }
};

void add_hints(std::map<std::string, std::string>& out) {
  out["hint_machine"] = encoded_row(replica::to_hint_row(machine_hint()));
  out["hint_queue"] = encoded_row(replica::to_hint_row(queue_hint()));
  out["hint_job"] = encoded_row(replica::to_hint_row(job_hint()));
  out["hint_rental"] = encoded_row(replica::to_hint_row(rental_hint()));
  out["hint_booking"] = encoded_row(replica::to_hint_row(booking_hint()));

  HintExchange leader("c0", 0);
  HintExchange follower("c1", 1);
  leader.standby.on_term({true, kTerm, 40, "c0", {}, {}});
  follower.standby.on_term({false, kTerm, 0, "c0", {}, {}});
  const Value first = follower.next_for("c0");
  leader.standby.on_attachment({"c1", first});
  leader.standby.on_leader_hints(std::make_shared<const events::LeaderHints>(
      events::LeaderHints{{machine_hint()}, {queue_hint()}, {job_hint()}}));
  leader.standby.on_rental_hints(
      std::make_shared<const events::RentalHints>(events::RentalHints{{rental_hint()}, {booking_hint()}}));
  const Value all = leader.next_for("c1");
  follower.standby.on_attachment({"c0", all});
  const Value confirmed = follower.next_for("c0");
  leader.standby.on_attachment({"c1", confirmed});
  const Value even = leader.next_for("c1");
  leader.standby.on_machine_departed({machine_hint().host});
  const Value gone = leader.next_for("c1");
  out["hints_before_any"] = encode(first);
  out["hints_all"] = encode(all);
  out["hints_confirmed"] = encode(confirmed);
  out["hints_even"] = encode(even);
  out["hints_machine_gone"] = encode(gone);
}

void add_heartbeats(std::map<std::string, std::string>& out) {
  ByHand node;
  const settings::Settings settings = settings_of("c0");
  membership::Peer peer(node, settings);
  // To c1, the first of the peers; what was sent before is dropped.
  const auto sent_by = [&](const std::function<void()>& step) {
    node.calls.clear();
    step();
    return node.calls.at(0).request.body;
  };
  out["heartbeat_first"] = sent_by([&] { peer.start(); });
  peer.on_health({true});
  events::WorkerReachability hearing;
  hearing.receives_reports = true;
  peer.on_worker_reachability(hearing);
  peer.on_topology_loaded({topology_in_use()});
  peer.on_topology_activated({topology_in_use(), topology_in_use()->version(), true});
  peer.on_readiness(events::Readiness::warm);
  peer.on_term({true, kTerm, 40, "c0", {}, {}});
  peer.on_cancelled({gang_job().job_id});
  peer.on_announcement({array_job().job_id, events::JobStage::accepted});
  peer.on_announcement({service_job().job_id, events::JobStage::finished});
  peer.on_progress(std::make_shared<const events::Progress>(progress()));
  peer.on_attachment({"c1", decode(out.at("hints_all")).value()});
  out["heartbeat_of_leader"] = sent_by([&] { node.pass(from_millis(500)); });
  peer.serve({"POST", "/beat",
              encode(Value::Map{{"node", "c1"},
                                {"epoch", kTerm},
                                {"leader", "c0"},
                                {"since", 40000},
                                {"n", 3},
                                {"withdrawn", Value::List{"req-000077"}},
                                {"log", Value::List{std::uint64_t{9}, std::uint64_t{1}, std::uint64_t{1}}},
                                {"got", Value::List{std::uint64_t{0}, std::uint64_t{0}}}})},
             [&](const Response& r) { out["heartbeat_answer"] = r.body; });
  out["heartbeat_abstaining"] = sent_by([&] { peer.on_stepping_down({"c2"}); });
}

}  // namespace

settings::Settings settings_of(const std::string& node) {
  settings::Settings s;
  s.node = node;
  s.zone = "a";
  s.zones = {"a", "b"};
  s.report_interval = from_seconds(1);
  s.worker_lease = from_seconds(10);
  s.gang_start_timeout = from_seconds(20);
  s.gang_peer_timeout = from_seconds(3);
  s.cancel_deadline = from_seconds(30);
  s.state_rps = 1e6;  // so that no call waits for its turn
  s.state_write_rps = 1e6;
  s.value_kb = 16;
  s.txn_ops = 16;
  for (const char* name : {"c0", "c1", "c2"}) {
    if (name != node) s.peers.push_back({name, "a", std::string(name) + ":8081"});
  }
  return s;
}

std::shared_ptr<const topology::Topology> topology_in_use() {
  return topology::Topology::parse(R"(version: 2
levels: [rack]
domains:
  rack0: {level: rack, machines: [{host: "*0"}]}
  rack1: {level: rack, machines: [{host: "*1"}]}
)",
                                   "golden.yaml");
}

JobSpec array_job() {
  JobSpec s;
  s.job_id = "req-000412";
  s.job_class = "train";
  s.team = "vision";
  s.type = JobType::array;
  s.priority = Priority::high;
  s.task_count = 1000;
  s.resources = {to_amount(4.5), to_amount(0), to_amount(13.5)};
  s.image = "img-07";
  s.image_gb = 1.25;
  s.machine_types = {"large", "small"};
  s.zone = "b";
  s.spot_allowed = true;
  s.expected_runtime = from_seconds(30);
  s.deadline = from_seconds(90.5);
  return s;
}

JobSpec gang_job() {
  JobSpec s;
  s.job_id = "req-9";
  s.job_class = "simulate";
  s.team = "physics";
  s.type = JobType::gang;
  s.priority = Priority::low;
  s.task_count = 4;
  s.resources = {to_amount(16), to_amount(2), to_amount(64)};
  s.image = "mesh";
  s.image_gb = 12;
  s.single_zone = true;
  s.expected_runtime = from_seconds(86400);
  s.checkpoint_interval = from_seconds(600);
  s.checkpoint_time = from_seconds(7.25);
  s.layout.emplace();
  s.layout->spread = {"rack", 2, 0, true};
  s.layout->colocation = {"switch", false};
  return s;
}

JobSpec service_job() {
  JobSpec s;
  s.job_id = "req-" + std::string(60, '8');
  s.job_class = "signing";
  s.team = "security";
  s.type = JobType::service;
  s.priority = Priority::prod;
  s.task_count = 1;
  s.resources = {to_amount(0.25), 0, to_amount(0.5)};
  s.image = "signer";
  s.image_gb = 0;
  s.spread_zones = true;
  s.layout.emplace();
  s.layout->spread = {"rack", 0, 0.25, false};
  s.layout->devices = {{"signer", 1}, {"clock", 3}};
  return s;
}

std::vector<records::StoredBlock> blocks() {
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
  Catalog out;
  out["large"] = {"large", {to_amount(64), to_amount(4), to_amount(256)}, 50, 0.5, 4, 1.1, from_seconds(15),
                  {"a"}};
  out["small"] = {"small", {to_amount(16), 0, to_amount(64)}, 30, 1, 1, 0.3, from_seconds(10), {"a", "b"}};
  return out;
}

events::Progress progress() {
  return {{{array_job().job_id, 43, 6}, {service_job().job_id, 0, 1}}, std::nullopt};
}

events::MachineHint machine_hint() {
  events::MachineHint m;
  m.host = "m-000000017";
  m.address = "10.1.0.17:9000";
  m.machine_type = "small";
  m.zone = "b";
  m.spot = true;
  m.silent = false;
  m.has_room = true;
  m.incarnation = 5;
  m.speed_samples = 12;
  m.slowness = -0.125;
  m.images = {{"img-07", 1.25}, {"mesh", 12}};
  m.fetches = {{"signer", 3, 1.5}};
  m.failures = {{"req-9", from_seconds(12.5)}};
  return m;
}

events::JobClassHint queue_hint() {
  return {"train", {{"req-000412", 0.75, 43}, {"req-9", -2, 4}}};
}

events::JobHint job_hint() {
  return {"req-9", {"m-4", "m-5"}, from_seconds(3.5), 2};
}

events::RentalHint rental_hint() {
  return {"m-000000018", "large", "a", false, from_seconds(4), from_seconds(26)};
}

events::RentalRequestHint booking_hint() {
  return {"c0-6-3", "small", "b", true, 20};
}

std::map<std::string, std::string> encoded_by_this_build() {
  std::map<std::string, std::string> out;
  add_records(out);
  add_hints(out);
  add_heartbeats(out);
  return out;
}

std::string to_hex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
    if (i % 32 == 31 || i + 1 == bytes.size()) out += '\n';
  }
  return out;
}

std::string from_hex(const std::string& text) {
  std::string digits;
  for (const char c : text) {
    if (std::isspace(static_cast<unsigned char>(c)) == 0) digits += c;
  }
  std::string out;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return out;
}

}  // namespace wrenusher::golden

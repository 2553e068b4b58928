#include "golden_values.hpp"

#include <cctype>
#include <stdexcept>

#include "by_hand.hpp"
#include "wrenusher/membership/peer.hpp"
#include "wrenusher/standby/standby.hpp"

namespace wrenusher::golden {

namespace {

/// The next call whose method and target begin so; it is taken off the list. The clock moves until it comes.
ByHand::Call take_call(ByHand& node, const std::string& begins) {
  for (const Instant end = node.at + from_seconds(3); node.at < end; node.pass(millis(10))) {
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
  store::Store store(node, settings);
  membership::Leadership leadership(node, settings, store);
  if (with_topology) leadership.on_topology({topology_in_use()});
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
  for (const records::BlockAt& b : blocks())
    rows.push_back(records::write_block(b.id, b.state.last_try, b.state.done, b.state.claims,
                                        b.id.block * kTasksPerBlock, (b.id.block + 1) * kTasksPerBlock - 1));
  return records::write_slot(kSlot, std::move(rows));
}

Value encoded_catalog() {
  Value::List types;
  for (const auto& [name, f] : catalog()) {
    Value::List zones;
    for (const std::string& zone : f.sites) zones.emplace_back(zone);
    types.emplace_back(Value::Map{{"name", name},
                                  {"cores", from_amount(f.room.cores)},
                                  {"cards", from_amount(f.room.cards)},
                                  {"memory_gb", from_amount(f.room.memory)},
                                  {"cache_gb", f.cache_gb},
                                  {"pull_gb_per_s", f.pull_gb_per_s},
                                  {"rate", f.rate},
                                  {"low_price", f.low_price},
                                  {"boot_s", to_seconds(f.boot)},
                                  {"sites", std::move(zones)}});
  }
  return Value::Map{{"flavors", std::move(types)}};
}

void add_records(std::map<std::string, std::string>& out) {
  const auto job = [](const JobSpec& s) { return records::new_job(s, kAccepted, kTasksPerBlock); };
  out["record_job_array"] = encode(job(array_job()));
  out["record_job_gang"] = encode(job(gang_job()));
  out["record_job_service"] = encode(job(service_job()));
  out["record_job_withdrawn"] = encode(records::withdrawn(job(gang_job())));
  out["record_claims"] = encode(encoded_blocks());
  out["record_claims_empty"] = encode(records::write_slot(kSlot, {}));
  out["record_end_done"] = encode(records::new_end("done", 1000));
  out["record_end_withdrawn"] = encode(records::new_end("withdrawn", 4));
  out["record_catalog"] = encode(encoded_catalog());
  const std::string plain = transaction_of_a_new_term(false);
  const std::string with_topology = transaction_of_a_new_term(true);
  out["record_leader"] = value_put(plain, "leader");
  out["record_epoch"] = value_put(plain, "epoch");
  out["record_epoch_with_topology"] = value_put(with_topology, "epoch");
  out["transaction_of_a_new_term"] = with_topology;
}

std::string encoded_row(const standby::Row& row) {
  return encode(Value::List{row.key, row.value, row.digest});
}

/// What a controller's standby package gives to be sent to one peer.
struct HintExchange {
  ByHand node;
  settings::Settings settings;
  store::Store store;
  standby::Standby standby;
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
    standby.aside.connect(node, [this](const mail::Aside& a) { to_send[a.peer] = a.value; });
  }
  Value next_for(const std::string& peer) {
    standby.on_beat({});
    return to_send.at(peer);
  }
};

void add_hints(std::map<std::string, std::string>& out) {
  out["hint_machine"] = encoded_row(standby::to_row(machine_hint()));
  out["hint_queue"] = encoded_row(standby::to_row(queue_hint()));
  out["hint_job"] = encoded_row(standby::to_row(job_hint()));
  out["hint_rental"] = encoded_row(standby::to_row(rental_hint()));
  out["hint_booking"] = encoded_row(standby::to_row(booking_hint()));

  HintExchange leader("c0", 0);
  HintExchange follower("c1", 1);
  leader.standby.on_term({true, kTerm, 40, "c0", {}, {}});
  follower.standby.on_term({false, kTerm, 0, "c0", {}, {}});
  const Value first = follower.next_for("c0");
  leader.standby.on_aside({"c1", first});
  leader.standby.on_ledger(std::make_shared<const mail::LedgerHints>(
      mail::LedgerHints{{machine_hint()}, {queue_hint()}, {job_hint()}}));
  leader.standby.on_rentals(
      std::make_shared<const mail::RentalHints>(mail::RentalHints{{rental_hint()}, {booking_hint()}}));
  const Value all = leader.next_for("c1");
  follower.standby.on_aside({"c0", all});
  const Value confirmed = follower.next_for("c0");
  leader.standby.on_aside({"c1", confirmed});
  const Value even = leader.next_for("c1");
  leader.standby.on_gone({machine_hint().host});
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
  mail::Hearing hearing;
  hearing.hears_workers = true;
  peer.on_hearing(hearing);
  peer.on_topology({topology_in_use()});
  peer.on_force({topology_in_use(), topology_in_use()->edition(), true});
  peer.on_ready(mail::Readiness::warm);
  peer.on_term({true, kTerm, 40, "c0", {}, {}});
  peer.on_withdrawn({gang_job().ref});
  peer.on_announce({array_job().ref, mail::Level::accepted});
  peer.on_announce({service_job().ref, mail::Level::over});
  peer.on_progress(std::make_shared<const mail::Progress>(progress()));
  peer.on_aside({"c1", decode(out.at("hints_all")).value()});
  out["heartbeat_of_leader"] = sent_by([&] { node.pass(millis(500)); });
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
  out["heartbeat_abstaining"] = sent_by([&] { peer.on_ceding({"c2"}); });
}

}  // namespace

settings::Settings settings_of(const std::string& node) {
  settings::Settings s;
  s.node = node;
  s.zone = "a";
  s.zones = {"a", "b"};
  s.report = from_seconds(1);
  s.lease = from_seconds(10);
  s.gang_wait = from_seconds(20);
  s.gang_peer = from_seconds(3);
  s.cancel = from_seconds(30);
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
  s.ref = "req-000412";
  s.queue = "train";
  s.owner = "vision";
  s.shape = Shape::sweep;
  s.urgency = Urgency::high;
  s.units = 1000;
  s.needs = {to_amount(4.5), to_amount(0), to_amount(13.5)};
  s.bundle = "img-07";
  s.image_gb = 1.25;
  s.flavors = {"large", "small"};
  s.site = "b";
  s.standby = true;
  s.expected = from_seconds(30);
  s.due = from_seconds(90.5);
  return s;
}

JobSpec gang_job() {
  JobSpec s;
  s.ref = "req-9";
  s.queue = "simulate";
  s.owner = "physics";
  s.shape = Shape::gang;
  s.urgency = Urgency::low;
  s.units = 4;
  s.needs = {to_amount(16), to_amount(2), to_amount(64)};
  s.bundle = "mesh";
  s.image_gb = 12;
  s.same_place = true;
  s.expected = from_seconds(86400);
  s.snapshot_every = from_seconds(600);
  s.snapshot = from_seconds(7.25);
  s.layout.emplace();
  s.layout->spread = {"rack", 2, 0, true};
  s.layout->together = {"switch", false};
  return s;
}

JobSpec service_job() {
  JobSpec s;
  s.ref = "req-" + std::string(60, '8');
  s.queue = "signing";
  s.owner = "security";
  s.shape = Shape::daemon;
  s.urgency = Urgency::prod;
  s.units = 1;
  s.needs = {to_amount(0.25), 0, to_amount(0.5)};
  s.bundle = "signer";
  s.image_gb = 0;
  s.scatter = true;
  s.layout.emplace();
  s.layout->spread = {"rack", 0, 0.25, false};
  s.layout->devices = {{"signer", 1}, {"clock", 3}};
  return s;
}

std::vector<records::BlockAt> blocks() {
  records::BlockAt first{{array_job().ref, 1, 19}, {}};
  first.state.last_try = 23;
  first.state.done.add(358, 399);
  first.state.done.add(500);
  records::ClaimRow claim{"m-000000017", 22, {}};
  claim.tasks.add(400, 403);
  claim.tasks.add(501);
  first.state.claims.push_back(claim);
  claim = {"m-4", 23, {}};
  claim.tasks.add(715);
  first.state.claims.push_back(claim);
  const records::BlockAt second{{gang_job().ref, 0, 1ULL << 62}, {}};
  return {first, second};
}

Catalog catalog() {
  Catalog out;
  out["large"] = {"large", {to_amount(64), to_amount(4), to_amount(256)}, 50, 0.5, 4, 1.1, from_seconds(15),
                  {"a"}};
  out["small"] = {"small", {to_amount(16), 0, to_amount(64)}, 30, 1, 1, 0.3, from_seconds(10), {"a", "b"}};
  return out;
}

mail::Progress progress() {
  return {{{array_job().ref, 43, 6}, {service_job().ref, 0, 1}}};
}

mail::MachineHint machine_hint() {
  mail::MachineHint m;
  m.host = "m-000000017";
  m.addr = "10.1.0.17:9000";
  m.flavor = "small";
  m.site = "b";
  m.standby = true;
  m.quiet = false;
  m.room = true;
  m.tenure = 5;
  m.speed_seen = 12;
  m.slowness = -0.125;
  m.images = {{"img-07", 1.25}, {"mesh", 12}};
  m.fetches = {{"signer", 3, 1.5}};
  m.failures = {{"req-9", from_seconds(12.5)}};
  return m;
}

mail::QueueHint queue_hint() {
  return {"train", {{"req-000412", 0.75, 43}, {"req-9", -2, 4}}};
}

mail::JobHint job_hint() {
  return {"req-9", {"m-4", "m-5"}, from_seconds(3.5), 2};
}

mail::RentalHint rental_hint() {
  return {"m-000000018", "large", "a", false, from_seconds(4), from_seconds(26)};
}

mail::BookingHint booking_hint() {
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

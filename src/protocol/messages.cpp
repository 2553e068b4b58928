#include "wrenusher/protocol/messages.hpp"

#include <algorithm>
#include <charconv>

#include "wrenusher/settings/settings.hpp"

namespace wrenusher::protocol {

namespace {

constexpr double kMostAmount = 1e9;
constexpr double kMostSeconds = 1e9;
constexpr std::size_t kMostDevices = 16;
constexpr std::uint64_t kMostOfADevice = 1000;

std::optional<double> amount(const Value& v, double most) {
  const auto n = v.number();
  if (!n || *n < 0 || *n > most) return std::nullopt;
  return n;
}

/// A name as used for queues, teams, bundles, types and zones.
const std::string* name(const Value& v) {
  const std::string* s = v.text();
  return s != nullptr && !s->empty() && s->size() <= 200 ? s : nullptr;
}

std::optional<Shape> read_shape(const std::string& s) {
  if (s == "sweep") return Shape::sweep;
  if (s == "gang") return Shape::gang;
  if (s == "daemon") return Shape::daemon;
  return std::nullopt;
}

std::optional<Urgency> read_urgency(const std::string& s) {
  if (s == "prod") return Urgency::prod;
  if (s == "high") return Urgency::high;
  if (s == "normal") return Urgency::normal;
  if (s == "low") return Urgency::low;
  return std::nullopt;
}

constexpr const char* kShapes[] = {"sweep", "gang", "daemon"};
constexpr const char* kUrgencies[] = {"prod", "high", "normal", "low"};

std::optional<UnitStatus> read_status(const std::string& s) {
  if (s == "pulling") return UnitStatus::pulling;
  if (s == "gathering") return UnitStatus::gathering;
  if (s == "running") return UnitStatus::running;
  if (s == "saving") return UnitStatus::saving;
  if (s == "ended") return UnitStatus::ended;
  return std::nullopt;
}

/// "req-000412/3" into job and task.
bool split_unit(const std::string& unit, std::string& ref, std::uint32_t& task) {
  const auto slash = unit.find('/');
  if (slash == std::string::npos) return false;
  ref = unit.substr(0, slash);
  const char* end = unit.data() + unit.size();
  const auto [at, err] = std::from_chars(unit.data() + slash + 1, end, task);
  return err == std::errc{} && at == end && !ref.empty();
}

}  // namespace

Needs& Needs::operator+=(const Needs& o) {
  cores += o.cores;
  cards += o.cards;
  memory += o.memory;
  return *this;
}

Needs& Needs::operator-=(const Needs& o) {
  cores -= o.cores;
  cards -= o.cards;
  memory -= o.memory;
  return *this;
}

std::uint32_t count_fitting(const Needs& need, const Needs& room, std::uint32_t most) {
  Amount n = most;
  if (need.cores > 0) n = std::min(n, room.cores / need.cores);
  if (need.cards > 0) n = std::min(n, room.cards / need.cards);
  if (need.memory > 0) n = std::min(n, room.memory / need.memory);
  if (room.cores < 0 || room.cards < 0 || room.memory < 0) n = 0;
  return static_cast<std::uint32_t>(std::max<Amount>(n, 0));
}

bool JobSpec::allows(const std::string& flavor, const std::string& zone, bool spot) const {
  if (spot && !standby) return false;
  if (!site.empty() && site != zone) return false;
  return flavors.empty() || std::find(flavors.begin(), flavors.end(), flavor) != flavors.end();
}

std::uint32_t Layout::Spread::limit(std::uint32_t units) const {
  if (most > 0) return most;
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(share * units - 1e-9)));
}

const std::map<std::string, std::uint32_t>& JobSpec::devices() const {
  static const std::map<std::string, std::uint32_t> kNone;
  return layout ? layout->devices : kNone;
}

bool valid_ref(std::string_view ref) {
  if (!ref.starts_with("req-") || ref.size() < 5 || ref.size() > 64) return false;
  return std::all_of(ref.begin() + 4, ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

namespace {

/// Takes the fields of a submission one by one and keeps the first fault.
class SpecReader {
 public:
  explicit SpecReader(const Value& v) : v_(v) {}

  std::string text(const char* field) {
    const std::string* s = name(v_[field]);
    if (s == nullptr) fail(field, "must be a text of 1 to 200 bytes");
    return s == nullptr ? std::string() : *s;
  }
  double number(const char* field, double most) {
    const auto n = amount(v_[field], most);
    if (!n) fail(field, "must be a number from 0 to a thousand million");
    return n.value_or(0);
  }
  bool boolean(const char* field) {
    const auto b = v_[field].boolean();
    if (!b) fail(field, "must be true or false");
    return b.value_or(false);
  }
  Micros seconds(const char* field) { return from_seconds(number(field, kMostSeconds)); }
  void fail(const char* field, const char* what) {
    if (!fault_.field.empty()) return;
    const bool there = !v_[std::string_view(field).substr(0, std::string_view(field).find('.'))].is_null();
    fault_ = {field, there ? what : std::string("is missing; it ") + what};
  }
  bool good() const { return fault_.field.empty(); }
  const Fault& fault() const { return fault_; }

 private:
  const Value& v_;
  Fault fault_;
};

/// Fields that a map may have and no others: a layout that is misspelt must not pass for none.
bool only(const Value& v, std::initializer_list<std::string_view> known) {
  return v.map() != nullptr && std::all_of(v.map()->begin(), v.map()->end(), [&](const Value::Field& f) {
           return std::find(known.begin(), known.end(), f.first) != known.end();
         });
}

std::optional<Layout> read_layout(const Value& v, SpecReader& in) {
  Layout out;
  const auto must = [](const Value& part) -> std::optional<bool> {
    if (part["must"].is_null()) return true;
    return part["must"].boolean();
  };
  if (!only(v, {"spread", "together", "devices"})) {
    in.fail("layout", "must be a map of spread, together and devices");
    return std::nullopt;
  }
  if (const Value& s = v["spread"]; !s.is_null()) {
    const std::string* level = name(s["level"]);
    const auto most = s["most"].count();
    const auto share = s["share"].number();
    const bool limit = s["most"].is_null() ? share && *share > 0 && *share <= 1
                                           : s["share"].is_null() && most && *most >= 1 && *most <= kMaxUnits;
    if (!only(s, {"level", "most", "share", "must"}) || level == nullptr || !limit || !must(s)) {
      in.fail(
          "layout.spread",
          "must be a map of level, most (1 to 100000) or share (above 0, to 1), and must (true or false)");
      return std::nullopt;
    }
    out.spread = {*level, static_cast<std::uint32_t>(most.value_or(0)), share.value_or(0), *must(s)};
  }
  if (const Value& t = v["together"]; !t.is_null()) {
    const std::string* level = name(t["level"]);
    if (!only(t, {"level", "must"}) || level == nullptr || !must(t)) {
      in.fail("layout.together", "must be a map of level and must (true or false)");
      return std::nullopt;
    }
    out.together = {*level, *must(t)};
  }
  if (const Value& d = v["devices"]; !d.is_null()) {
    bool good = d.map() != nullptr && d.map()->size() <= kMostDevices;
    for (std::size_t i = 0; good && i < d.map()->size(); ++i) {
      const auto& [device, n] = (*d.map())[i];
      const auto count = n.count();
      good = !device.empty() && device.size() <= 200 && count && *count >= 1 && *count <= kMostOfADevice;
      if (good) out.devices[device] = static_cast<std::uint32_t>(*count);
    }
    if (!good) {
      in.fail("layout.devices", "must be a map of 16 names at most, each with a count from 1 to 1000");
      return std::nullopt;
    }
  }
  return out;
}

Value write_layout(const Layout& l) {
  Value::Map out;
  if (l.spread) {
    Value::Map s{{"level", l.spread->level}, {"must", l.spread->must}};
    if (l.spread->most > 0) {
      s.emplace_back("most", std::uint64_t{l.spread->most});
    } else {
      s.emplace_back("share", l.spread->share);
    }
    out.emplace_back("spread", std::move(s));
  }
  if (l.together)
    out.emplace_back("together", Value::Map{{"level", l.together->level}, {"must", l.together->must}});
  if (!l.devices.empty()) {
    Value::Map d;
    for (const auto& [device, n] : l.devices) d.emplace_back(device, std::uint64_t{n});
    out.emplace_back("devices", std::move(d));
  }
  return out;
}

}  // namespace

std::optional<JobSpec> read_spec(const Value& v, Fault* fault) {
  SpecReader in(v);
  JobSpec s;
  s.ref = in.text("ref");
  if (!valid_ref(s.ref)) in.fail("ref", "must be req- and digits, 64 bytes at most");
  s.queue = in.text("queue");
  s.owner = in.text("owner");
  if (const auto shape = read_shape(in.text("shape"))) {
    s.shape = *shape;
  } else {
    in.fail("shape", "must be sweep, gang or daemon");
  }
  if (const auto urgency = read_urgency(in.text("urgency"))) {
    s.urgency = *urgency;
  } else {
    in.fail("urgency", "must be prod, high, normal or low");
  }
  const auto units = v["units"].count();
  if (!units || *units < 1 || *units > kMaxUnits) in.fail("units", "must be a whole number from 1 to 100000");
  s.units = static_cast<std::uint32_t>(std::min<std::uint64_t>(units.value_or(1), kMaxUnits));
  s.needs = {to_amount(in.number("cores", kMostAmount)), to_amount(in.number("cards", kMostAmount)),
             to_amount(in.number("memory_gb", kMostAmount))};
  s.bundle = in.text("bundle");
  s.image_gb = in.number("image_gb", kMostAmount);
  s.same_place = in.boolean("same_place");
  s.scatter = in.boolean("scatter");
  s.standby = in.boolean("standby");
  s.expected = in.seconds("expected_s");
  s.snapshot_every = in.seconds("snapshot_every_s");
  s.snapshot = in.seconds("snapshot_s");
  if (const Value& f = v["flavors"]; !f.is_null()) {
    const bool good =
        f.list() != nullptr && !f.list()->empty() && f.list()->size() <= 1000 &&
        std::all_of(f.list()->begin(), f.list()->end(), [](const Value& i) { return name(i) != nullptr; });
    if (good) {
      for (const Value& item : *f.list()) s.flavors.push_back(*item.text());
    } else {
      in.fail("flavors", "must be a list of 1 to 1000 names, or null");
    }
  }
  if (!v["site"].is_null()) s.site = in.text("site");
  if (!v["due_s"].is_null()) s.due = in.seconds("due_s");
  if (const Value& l = v["layout"]; !l.is_null()) s.layout = read_layout(l, in);
  if (in.good()) return s;
  if (fault != nullptr) *fault = in.fault();
  return std::nullopt;
}

Value write_spec(const JobSpec& s) {
  Value::List flavors;
  for (const std::string& f : s.flavors) flavors.emplace_back(f);
  Value::Map m{{"ref", s.ref},
               {"queue", s.queue},
               {"owner", s.owner},
               {"shape", kShapes[static_cast<int>(s.shape)]},
               {"urgency", kUrgencies[static_cast<int>(s.urgency)]},
               {"units", std::uint64_t{s.units}},
               {"cores", from_amount(s.needs.cores)},
               {"cards", from_amount(s.needs.cards)},
               {"memory_gb", from_amount(s.needs.memory)},
               {"bundle", s.bundle},
               {"image_gb", s.image_gb},
               {"same_place", s.same_place},
               {"scatter", s.scatter},
               {"standby", s.standby},
               {"expected_s", to_seconds(s.expected)},
               {"snapshot_every_s", to_seconds(s.snapshot_every)},
               {"snapshot_s", to_seconds(s.snapshot)}};
  if (!flavors.empty()) m.emplace_back("flavors", std::move(flavors));
  if (!s.site.empty()) m.emplace_back("site", s.site);
  if (s.due) m.emplace_back("due_s", to_seconds(*s.due));
  if (s.layout) m.emplace_back("layout", write_layout(*s.layout));
  return m;
}

std::optional<WorkerReport> read_report(const Value& v) {
  WorkerReport r;
  const std::string* host = name(v["host"]);
  const std::string* addr = v["addr"].text();
  const std::string* flavor = v["flavor"].text();
  const std::string* site = v["site"].text();
  const auto standby = v["standby"].boolean();
  const auto tenure = v["tenure"].count();
  const auto serial = v["serial"].count();
  const auto epoch = v["epoch"].count();
  const Value::List* units = v["units"].list();
  if (!host || !addr || !flavor || !site || !standby || !tenure || !serial || !epoch || !units)
    return std::nullopt;
  r = {*host, *addr, *flavor, *site, *standby, *tenure, *serial, *epoch, std::nullopt, {}};
  if (const auto w = v["warning_s"].number()) r.warning = from_seconds(std::clamp(*w, 0.0, kMostSeconds));
  r.units.reserve(units->size());
  for (const Value& u : *units) {
    UnitReport unit;
    const std::string* id = u["unit"].text();
    const auto attempt = u["try"].count();
    const std::string* status = u["status"].text();
    if (!id || !attempt || !status || !split_unit(*id, unit.ref, unit.task)) return std::nullopt;
    const auto st = read_status(*status);
    if (!st) return std::nullopt;
    unit.status = *st;
    unit.attempt = *attempt;
    if (const std::string* cause = u["cause"].text()) unit.cause = *cause;
    unit.kept = u["kept"].boolean().value_or(false);
    r.units.push_back(std::move(unit));
  }
  return r;
}

std::string unit_name(const std::string& ref, std::uint32_t task) {
  return ref + "/" + std::to_string(task);
}

Value write_orders(const std::vector<Order>& orders) {
  static constexpr const char* verbs[] = {"run", "halt", "reap"};
  Value::List out;
  out.reserve(orders.size());
  for (const Order& o : orders) {
    Value::Map m{
        {"verb", verbs[static_cast<int>(o.verb)]}, {"unit", unit_name(o.ref, o.task)}, {"try", o.attempt}};
    if (o.verb == Order::Verb::halt) m.emplace_back("leeway_s", to_seconds(o.leeway));
    out.emplace_back(std::move(m));
  }
  return out;
}

std::optional<Catalog> read_catalog(const Value& v) {
  const Value::List* list = v["flavors"].list();
  if (list == nullptr) return std::nullopt;
  Catalog out;
  for (const Value& f : *list) {
    Flavor flavor;
    const std::string* n = name(f["name"]);
    const auto cores = amount(f["cores"], kMostAmount);
    const auto cards = amount(f["cards"], kMostAmount);
    const auto memory = amount(f["memory_gb"], kMostAmount);
    const Value::List* sites = f["sites"].list();
    if (!n || !cores || !memory || !sites) return std::nullopt;
    flavor.name = *n;
    flavor.room = {to_amount(*cores), to_amount(cards.value_or(0)), to_amount(*memory)};
    flavor.cache_gb = f["cache_gb"].number().value_or(0);
    flavor.pull_gb_per_s = std::max(1e-3, f["pull_gb_per_s"].number().value_or(0));
    flavor.rate = f["rate"].number().value_or(0);
    flavor.low_price = f["low_price"].number().value_or(flavor.rate);
    flavor.boot = from_seconds(std::clamp(f["boot_s"].number().value_or(0), 0.0, kMostSeconds));
    for (const Value& s : *sites) {
      if (const std::string* z = name(s)) flavor.sites.push_back(*z);
    }
    out.emplace(flavor.name, std::move(flavor));
  }
  return out;
}

std::optional<Rental> read_rental(const Value& v) {
  const std::string* ref = name(v["ref"]);
  const std::string* flavor = v["flavor"].text();
  const std::string* site = v["site"].text();
  const std::string* status = v["status"].text();
  if (!ref || !flavor || !site || !status) return std::nullopt;
  Rental r;
  r.ref = *ref;
  r.flavor = *flavor;
  r.site = *site;
  r.status = *status;
  if (const std::string* a = v["addr"].text()) r.addr = *a;
  r.standby = v["standby"].boolean().value_or(false);
  r.held = from_seconds(std::clamp(v["held_s"].number().value_or(0), 0.0, kMostSeconds));
  return r;
}

std::optional<Fault> never_runs(const JobSpec& spec, const Catalog& catalog, const Team* team) {
  if (team == nullptr) return Fault{"owner", "the team '" + spec.owner + "' is not known"};
  const bool whole = spec.shape != Shape::sweep;
  const Needs all = whole ? spec.needs * static_cast<std::int64_t>(spec.units) : spec.needs;
  const char* who = whole ? "all its tasks together need" : "a task needs";
  if (team->cores_max > 0 && all.cores > to_amount(team->cores_max))
    return Fault{"cores", std::string(who) + " more cores than the team may use"};
  if (team->cards_max > 0 && all.cards > to_amount(team->cards_max))
    return Fault{"cards", std::string(who) + " more cards than the team may use"};
  // An array may do with half of its tasks at a time; what runs as a whole may not.
  if (whole && spec.units > 1 && spec.scatter && (spec.same_place || !spec.site.empty()))
    return Fault{"scatter", "its tasks must be in one zone and may not be"};
  for (const auto& [name, flavor] : catalog) {
    if (!spec.needs.fits(flavor.room)) continue;
    for (const std::string& site : flavor.sites) {
      if (spec.allows(name, site, false)) return std::nullopt;
    }
  }
  return Fault{spec.flavors.empty() && spec.site.empty() ? "cores"
               : spec.flavors.empty()                    ? "site"
                                                         : "flavors",
               "a task fits no machine type that the job allows"};
}

}  // namespace wrenusher::protocol

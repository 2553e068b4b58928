// The lab's state service: PROTOCOL's contract, and that what was answered outlives the process.

#include "wrenusher/testbed/kv_service.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "wrenusher/testbed/world.hpp"

using namespace wrenusher::testbed;
namespace fs = std::filesystem;

namespace {

constexpr KvLimits kWide{0, 0, 16, 16};

/// A folder of its own that goes with the test.
class Folder {
 public:
  Folder() {
    std::string name = (fs::temp_directory_path() / "wrenusher-test-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string sub(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

/// A service that is asked directly, in simulated time.
struct Service {
  SimTransport wires{1};
  KvService state;
  explicit Service(std::unique_ptr<DurableStorage> keep, KvLimits limits = kWide)
      : state(wires, limits, std::move(keep)) {}
  Response ask(const std::string& method, const std::string& target, const Value& body = {}) {
    std::optional<Response> out;
    state.serve("c0", {method, target, body.is_null() ? "" : encode(body)}, [&](Response r) { out = r; });
    for (int i = 0; !out && i < 100; ++i) wires.run(from_millis(100));
    return out.value_or(Response{});
  }
  Value get(const std::string& target) { return decode(ask("GET", target).body).value_or(Value()); }
};

Value condition(const std::string& k, std::uint64_t mod_revision) {
  return Value::Map{{"k", k}, {"stamp", mod_revision}};
}
Value put(const std::string& k, const Value& v, std::uint64_t lease_id = 0) {
  Value::Map m{{"put", k}, {"value", v}};
  if (lease_id != 0) m.emplace_back("tenancy", lease_id);
  return m;
}
Value erase(const std::string& k) {
  return Value::Map{{"delete", k}};
}
Value transaction(Value::List when, Value::List apply) {
  return Value::Map{{"when", std::move(when)}, {"apply", std::move(apply)}};
}
Value life(std::uint64_t ms) {
  return Value::Map{{"life_ms", ms}};
}

/// All that can be read of a service.
std::string picture(Service& s) {
  return s.ask("GET", "/store?starts=").body + s.ask("GET", "/follow?starts=&from=0").body;
}

/// A request drawn at random: transactions with conditions that hold or not, holds that are made and dropped.
std::pair<std::string, Value> draw_request(std::uint64_t revision, std::uint64_t holds) {
  const auto key = [] { return "k/" + std::to_string(*rc::gen::inRange(0, 6)); };
  const int kind = *rc::gen::inRange(0, 10);
  if (kind == 0) return {"POST /holds", life(*rc::gen::inRange(100, 5000))};
  if (kind == 1)
    return {"DELETE /holds/" + std::to_string(*rc::gen::inRange<std::uint64_t>(0, holds + 2)), {}};
  Value::List when;
  Value::List apply;
  for (int n = *rc::gen::inRange(0, 3); n > 0; --n)
    when.push_back(condition(key(), *rc::gen::inRange<std::uint64_t>(0, revision + 1)));
  for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
    if (*rc::gen::inRange(0, 3) == 0) {
      apply.push_back(erase(key()));
    } else {
      apply.push_back(put(key(), Value::Map{{"n", *rc::gen::arbitrary<std::uint32_t>()}},
                          *rc::gen::inRange(0, 4) == 0 ? *rc::gen::inRange<std::uint64_t>(1, holds + 2) : 0));
    }
  }
  return {"POST /multi", transaction(std::move(when), std::move(apply))};
}

}  // namespace

RC_GTEST_PROP(StateService, TheDurableOneAnswersLikeTheSimulatedOneAndOutlivesAnyEnd, ()) {
  Folder folder;
  Service simulated(std::make_unique<MemoryStorage>());
  auto durable = std::make_unique<Service>(open_sqlite(folder.sub("db")));
  std::uint64_t holds = 0;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    const auto [line, body] =
        draw_request(simulated.get("/store?starts=")["ledger_rev"].count().value_or(0), holds);
    const auto space = line.find(' ');
    const Response a = simulated.ask(line.substr(0, space), line.substr(space + 1), body);
    const Response b = durable->ask(line.substr(0, space), line.substr(space + 1), body);
    RC_ASSERT(a.status == b.status);
    RC_ASSERT(a.body == b.body);
    if (line == "POST /holds") ++holds;
    if (*rc::gen::inRange(0, 4) != 0) continue;
    // What a kill at this moment leaves is what stands in the files now.
    const std::string left = folder.sub("left" + std::to_string(i));
    fs::copy(folder.sub("db"), left, fs::copy_options::recursive);
    Service after(open_sqlite(left));
    RC_ASSERT(picture(after) == picture(simulated));
    if (*rc::gen::inRange(0, 2) == 0) {
      durable.reset();
      durable = std::make_unique<Service>(open_sqlite(folder.sub("db")));
    }
  }
  RC_ASSERT(picture(*durable) == picture(simulated));
}

TEST(StateService, KilledWithoutWarningItHasLostNothingThatItAnswered) {
  // A process of its own answers transactions and says which; it is killed at no moment in particular.
  for (const int enough : {1, 7, 40}) {
    Folder folder;
    int pipe_ends[2];
    ASSERT_EQ(pipe(pipe_ends), 0);
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      Service s(open_sqlite(folder.sub("db")));
      for (std::uint32_t n = 1;; ++n) {
        const Response r =
            s.ask("POST", "/multi", transaction({}, {put("n", n), put("k/" + std::to_string(n % 50), n)}));
        if (r.status != 200 || write(pipe_ends[1], &n, sizeof n) != sizeof n) _exit(1);
      }
    }
    std::uint32_t answered = 0;
    for (int i = 0; i < enough; ++i) ASSERT_EQ(read(pipe_ends[0], &answered, sizeof answered), 4);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    close(pipe_ends[1]);
    while (read(pipe_ends[0], &answered, sizeof answered) == 4) {
    }
    close(pipe_ends[0]);
    Service s(open_sqlite(folder.sub("db")));
    const std::uint64_t n = s.get("/store/n")["value"].count().value_or(0);
    EXPECT_TRUE(n == answered || n == answered + 1) << n << " is kept, " << answered << " was answered";
    // All of a transaction or nothing.
    EXPECT_EQ(s.get("/store/k/" + std::to_string(n % 50))["value"].count(), n);
  }
}

TEST(StateService, AFullDiskIsSaidAndNothingIsHalfWritten) {
  Folder folder;
  const std::string large(12000, 'x');
  std::string answered;
  {
    Service s(open_sqlite(folder.sub("db"), 60));
    int status = 200;
    int n = 0;
    while (status == 200 && n < 1000) {
      answered = picture(s);
      status = s.ask("POST", "/multi", transaction({}, {put("k/" + std::to_string(n++), large)})).status;
    }
    EXPECT_EQ(status, 503);
    EXPECT_NE(s.state.storage_error().find("full"), std::string::npos) << s.state.storage_error();
    EXPECT_EQ(picture(s), answered);
    EXPECT_EQ(s.ask("GET", "/store/k/0").status, 200);
  }
  Service again(open_sqlite(folder.sub("db")));
  EXPECT_EQ(picture(again), answered);
  EXPECT_EQ(again.ask("POST", "/multi", transaction({}, {put("k/new", large)})).status, 200);
}

TEST(StateService, ADamagedFileIsRefusedOrReadRightNeverMisread) {
  Folder folder;
  std::string good;
  {
    Service s(open_sqlite(folder.sub("db")));
    for (int n = 0; n < 30; ++n)
      s.ask("POST", "/multi",
            transaction({}, {put("k/" + std::to_string(n), std::string(300, 'a' + n % 20))}));
    s.ask("POST", "/holds", life(5000));
    good = picture(s);
  }
  std::ifstream in(folder.sub("db/state.db"), std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  ASSERT_GT(bytes.size(), 8192U);
  std::mt19937_64 random(5);
  int refused = 0;
  for (int i = 0; i < 150; ++i) {
    std::string bad = bytes;
    const std::size_t at = std::uniform_int_distribution<std::size_t>(0, bytes.size() - 1)(random);
    if (i % 3 == 0) {
      bad.resize(at);  // cut short
    } else {
      bad[at] = static_cast<char>(bad[at] ^ (1 << (i % 8)));
    }
    const std::string left = folder.sub("bad" + std::to_string(i));
    fs::create_directory(left);
    std::ofstream(left + "/state.db", std::ios::binary) << bad;
    try {
      Service s(open_sqlite(left));
      // Bytes that say nothing may change; an empty file is a new one, and says so itself.
      if (!bad.empty()) {
        EXPECT_EQ(picture(s), good) << "byte " << at;
      }
    } catch (const StorageDamaged& e) {
      ++refused;
      EXPECT_NE(std::string(e.what()).find("state.db"), std::string::npos) << e.what();
    }
  }
  EXPECT_GT(refused, 50);
}

TEST(StateService, TwoAtOnceAreNotAllowed) {
  Folder folder;
  { Service before(open_sqlite(folder.sub("db"))); }
  Service first(open_sqlite(folder.sub("db")));
  EXPECT_THROW(Service(open_sqlite(folder.sub("db"))), StorageDamaged);
}

TEST(StateService, HoldsEndOnTimeWithTheirKeysAndHaveTheirFullTimeAfterAnOutage) {
  Service s(std::make_unique<MemoryStorage>());
  const auto id = decode(s.ask("POST", "/holds", life(2000)).body).value()["tenancy"].count().value();
  ASSERT_EQ(s.ask("POST", "/multi", transaction({}, {put("leader", 1, id), put("other", 2)})).status, 200);
  s.wires.run(from_seconds(1.5));
  EXPECT_EQ(s.ask("POST", "/holds/" + std::to_string(id) + "/extend").status, 200);
  s.wires.run(from_seconds(1.8));
  EXPECT_EQ(s.ask("GET", "/store/leader").status, 200);
  s.state.outage(true);
  EXPECT_EQ(s.ask("GET", "/store/leader").status, 503);
  s.wires.run(from_seconds(30));
  s.state.outage(false);
  s.wires.run(from_seconds(1.8));
  EXPECT_EQ(s.ask("GET", "/store/leader").status, 200);
  s.wires.run(from_seconds(0.4));
  EXPECT_EQ(s.ask("GET", "/store/leader").status, 404);
  EXPECT_EQ(s.ask("GET", "/store/other").status, 200);
  EXPECT_EQ(s.ask("POST", "/holds/" + std::to_string(id) + "/extend").status, 404);
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("leader", 1, id)})).status, 400);
  EXPECT_EQ(s.ask("POST", "/holds", life(50)).status, 400);
}

TEST(StateService, FollowTellsAllChangesAndSaysWhenSomeAreGone) {
  Service s(std::make_unique<MemoryStorage>());
  for (std::uint32_t n = 0; n < 10100; ++n)
    s.ask("POST", "/multi", transaction({}, {put("c/" + std::to_string(n % 7), n)}));
  EXPECT_EQ(s.ask("GET", "/follow?starts=c/&from=50").status, 410);
  const Value v = s.get("/follow?starts=c/&from=10090");
  ASSERT_NE(v["events"].list(), nullptr);
  EXPECT_EQ(v["events"].list()->size(), 10U);
  EXPECT_EQ(v["ledger_rev"].count(), 10100U);
  EXPECT_EQ(s.get("/follow?starts=d/&from=10090")["events"].list()->size(), 0U);
}

TEST(StateService, KeepsToItsLimits) {
  Service s(std::make_unique<MemoryStorage>(), {10, 5, 1, 4});
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("a", std::string(2000, 'x'))})).status, 400);
  EXPECT_EQ(s.ask("POST", "/multi",
                  transaction({}, {put("a", 1), put("b", 1), put("c", 1), put("d", 1), put("e", 1)}))
                .status,
            400);
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("with space", 1)})).status, 400);
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("a", 1), put("b", 1), put("c", 1)})).status, 200);
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("a", 1), put("b", 1), put("c", 1)})).status, 429);
  // A failed condition counts as well.
  EXPECT_EQ(s.ask("POST", "/multi", transaction({condition("a", 77)}, {put("a", 1), put("b", 1)})).status,
            409);
  EXPECT_EQ(s.ask("POST", "/multi", transaction({}, {put("a", 1)})).status, 429);
  for (int i = 0; i < 20; ++i) s.ask("GET", "/store/a");
  EXPECT_EQ(s.ask("GET", "/store/a").status, 429);
  s.wires.run(from_seconds(1));
  EXPECT_EQ(s.ask("GET", "/store/a").status, 200);
}

// Tests of the testbed's state service: conformance to PROTOCOL, and durability of the writes that it has
// replied to.

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

constexpr KvLimits kHighLimits{0, 0, 16, 16};

/// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "wrenusher-test-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

/// A service that is called directly, in simulated time.
struct ServiceFixture {
  SimTransport transport{1};
  KvService service;
  explicit ServiceFixture(std::unique_ptr<DurableStorage> storage, KvLimits limits = kHighLimits)
      : service(transport, limits, std::move(storage)) {}
  Response call(const std::string& method, const std::string& target, const Value& body = {}) {
    std::optional<Response> reply;
    service.serve("c0", {method, target, body.is_null() ? "" : encode(body)},
                  [&](Response response) { reply = response; });
    for (int i = 0; !reply && i < 100; ++i) transport.run(from_millis(100));
    return reply.value_or(Response{});
  }
  Value get(const std::string& target) { return decode(call("GET", target).body).value_or(Value()); }
};

Value condition(const std::string& key, std::uint64_t mod_revision) {
  return Value::Map{{"k", key}, {"stamp", mod_revision}};
}
Value put(const std::string& key, const Value& value, std::uint64_t lease_id = 0) {
  Value::Map fields{{"put", key}, {"value", value}};
  if (lease_id != 0) fields.emplace_back("tenancy", lease_id);
  return fields;
}
Value erase(const std::string& key) {
  return Value::Map{{"delete", key}};
}
Value transaction(Value::List when, Value::List apply) {
  return Value::Map{{"when", std::move(when)}, {"apply", std::move(apply)}};
}
Value lease_request(std::uint64_t duration_ms) {
  return Value::Map{{"life_ms", duration_ms}};
}

/// Returns everything that can be read from a service.
std::string read_all(ServiceFixture& fixture) {
  return fixture.call("GET", "/store?starts=").body + fixture.call("GET", "/follow?starts=&from=0").body;
}

/// Draws a random request: a transaction whose conditions hold or fail, or the creation or deletion of a
/// lease.
std::pair<std::string, Value> draw_request(std::uint64_t revision, std::uint64_t lease_count) {
  const auto draw_key = [] { return "k/" + std::to_string(*rc::gen::inRange(0, 6)); };
  const int kind = *rc::gen::inRange(0, 10);
  if (kind == 0) return {"POST /holds", lease_request(*rc::gen::inRange(100, 5000))};
  if (kind == 1)
    return {"DELETE /holds/" + std::to_string(*rc::gen::inRange<std::uint64_t>(0, lease_count + 2)), {}};
  Value::List when;
  Value::List apply;
  for (int n = *rc::gen::inRange(0, 3); n > 0; --n)
    when.push_back(condition(draw_key(), *rc::gen::inRange<std::uint64_t>(0, revision + 1)));
  for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
    if (*rc::gen::inRange(0, 3) == 0) {
      apply.push_back(erase(draw_key()));
    } else {
      apply.push_back(
          put(draw_key(), Value::Map{{"n", *rc::gen::arbitrary<std::uint32_t>()}},
              *rc::gen::inRange(0, 4) == 0 ? *rc::gen::inRange<std::uint64_t>(1, lease_count + 2) : 0));
    }
  }
  return {"POST /multi", transaction(std::move(when), std::move(apply))};
}

}  // namespace

RC_GTEST_PROP(KvServiceTest, SqliteStorageMatchesMemoryStorageAfterEveryCrash, ()) {
  TemporaryFolder folder;
  ServiceFixture simulated(std::make_unique<MemoryStorage>());
  auto durable = std::make_unique<ServiceFixture>(open_sqlite(folder.path_of("db")));
  std::uint64_t lease_count = 0;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    const auto [line, body] =
        draw_request(simulated.get("/store?starts=")["ledger_rev"].count().value_or(0), lease_count);
    const auto space = line.find(' ');
    const Response expected = simulated.call(line.substr(0, space), line.substr(space + 1), body);
    const Response actual = durable->call(line.substr(0, space), line.substr(space + 1), body);
    RC_ASSERT(expected.status == actual.status);
    RC_ASSERT(expected.body == actual.body);
    if (line == "POST /holds") ++lease_count;
    if (*rc::gen::inRange(0, 4) != 0) continue;
    // If the process were killed now, the next one would find the files as they are.
    const std::string copy = folder.path_of("left" + std::to_string(i));
    fs::copy(folder.path_of("db"), copy, fs::copy_options::recursive);
    ServiceFixture restarted(open_sqlite(copy));
    RC_ASSERT(read_all(restarted) == read_all(simulated));
    if (*rc::gen::inRange(0, 2) == 0) {
      durable.reset();
      durable = std::make_unique<ServiceFixture>(open_sqlite(folder.path_of("db")));
    }
  }
  RC_ASSERT(read_all(*durable) == read_all(simulated));
}

TEST(KvServiceTest, KeepsRepliedTransactionsAfterSigkill) {
  // A child process executes transactions and reports each reply; it is killed at an arbitrary moment.
  for (const int min_replies : {1, 7, 40}) {
    TemporaryFolder folder;
    int pipe_ends[2];
    ASSERT_EQ(pipe(pipe_ends), 0);
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      ServiceFixture fixture(open_sqlite(folder.path_of("db")));
      for (std::uint32_t n = 1;; ++n) {
        const Response response = fixture.call(
            "POST", "/multi", transaction({}, {put("n", n), put("k/" + std::to_string(n % 50), n)}));
        if (response.status != 200 || write(pipe_ends[1], &n, sizeof n) != sizeof n) _exit(1);
      }
    }
    std::uint32_t last_replied = 0;
    for (int i = 0; i < min_replies; ++i)
      ASSERT_EQ(read(pipe_ends[0], &last_replied, sizeof last_replied), 4);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    close(pipe_ends[1]);
    while (read(pipe_ends[0], &last_replied, sizeof last_replied) == 4) {
    }
    close(pipe_ends[0]);
    ServiceFixture fixture(open_sqlite(folder.path_of("db")));
    const std::uint64_t n = fixture.get("/store/n")["value"].count().value_or(0);
    EXPECT_TRUE(n == last_replied || n == last_replied + 1)
        << n << " was kept, " << last_replied << " was replied";
    // Either a whole transaction is kept or none of it.
    EXPECT_EQ(fixture.get("/store/k/" + std::to_string(n % 50))["value"].count(), n);
  }
}

TEST(KvServiceTest, ReportsFullDiskWithoutPartialWrite) {
  TemporaryFolder folder;
  const std::string large(12000, 'x');
  std::string contents_before_write;
  {
    ServiceFixture fixture(open_sqlite(folder.path_of("db"), 60));
    int status = 200;
    int n = 0;
    while (status == 200 && n < 1000) {
      contents_before_write = read_all(fixture);
      status =
          fixture.call("POST", "/multi", transaction({}, {put("k/" + std::to_string(n++), large)})).status;
    }
    EXPECT_EQ(status, 503);
    EXPECT_NE(fixture.service.storage_error().find("full"), std::string::npos)
        << fixture.service.storage_error();
    EXPECT_EQ(read_all(fixture), contents_before_write);
    EXPECT_EQ(fixture.call("GET", "/store/k/0").status, 200);
  }
  ServiceFixture restarted(open_sqlite(folder.path_of("db")));
  EXPECT_EQ(read_all(restarted), contents_before_write);
  EXPECT_EQ(restarted.call("POST", "/multi", transaction({}, {put("k/new", large)})).status, 200);
}

TEST(KvServiceTest, RejectsDamagedFileOrReadsItCorrectly) {
  TemporaryFolder folder;
  std::string intact;
  {
    ServiceFixture fixture(open_sqlite(folder.path_of("db")));
    for (int n = 0; n < 30; ++n)
      fixture.call("POST", "/multi",
                   transaction({}, {put("k/" + std::to_string(n), std::string(300, 'a' + n % 20))}));
    fixture.call("POST", "/holds", lease_request(5000));
    intact = read_all(fixture);
  }
  std::ifstream in(folder.path_of("db/state.db"), std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  ASSERT_GT(bytes.size(), 8192U);
  std::mt19937_64 random(5);
  int refused = 0;
  for (int i = 0; i < 150; ++i) {
    std::string damaged = bytes;
    const std::size_t offset = std::uniform_int_distribution<std::size_t>(0, bytes.size() - 1)(random);
    if (i % 3 == 0) {
      damaged.resize(offset);  // truncated
    } else {
      damaged[offset] = static_cast<char>(damaged[offset] ^ (1 << (i % 8)));
    }
    const std::string copy = folder.path_of("bad" + std::to_string(i));
    fs::create_directory(copy);
    std::ofstream(copy + "/state.db", std::ios::binary) << damaged;
    try {
      ServiceFixture fixture(open_sqlite(copy));
      // Unused bytes may change without effect; an empty file counts as a new database.
      if (!damaged.empty()) {
        EXPECT_EQ(read_all(fixture), intact) << "byte " << offset;
      }
    } catch (const StorageDamaged& error) {
      ++refused;
      EXPECT_NE(std::string(error.what()).find("state.db"), std::string::npos) << error.what();
    }
  }
  EXPECT_GT(refused, 50);
}

TEST(KvServiceTest, RejectsSecondInstanceOnSameFolder) {
  TemporaryFolder folder;
  { ServiceFixture before(open_sqlite(folder.path_of("db"))); }
  ServiceFixture first(open_sqlite(folder.path_of("db")));
  EXPECT_THROW(ServiceFixture(open_sqlite(folder.path_of("db"))), StorageDamaged);
}

TEST(KvServiceTest, LeasesExpireWithTheirKeysAndRestartAfterOutage) {
  ServiceFixture fixture(std::make_unique<MemoryStorage>());
  const auto lease_id =
      decode(fixture.call("POST", "/holds", lease_request(2000)).body).value()["tenancy"].count().value();
  ASSERT_EQ(
      fixture.call("POST", "/multi", transaction({}, {put("leader", 1, lease_id), put("other", 2)})).status,
      200);
  fixture.transport.run(from_seconds(1.5));
  EXPECT_EQ(fixture.call("POST", "/holds/" + std::to_string(lease_id) + "/extend").status, 200);
  fixture.transport.run(from_seconds(1.8));
  EXPECT_EQ(fixture.call("GET", "/store/leader").status, 200);
  fixture.service.outage(true);
  EXPECT_EQ(fixture.call("GET", "/store/leader").status, 503);
  fixture.transport.run(from_seconds(30));
  fixture.service.outage(false);
  fixture.transport.run(from_seconds(1.8));
  EXPECT_EQ(fixture.call("GET", "/store/leader").status, 200);
  fixture.transport.run(from_seconds(0.4));
  EXPECT_EQ(fixture.call("GET", "/store/leader").status, 404);
  EXPECT_EQ(fixture.call("GET", "/store/other").status, 200);
  EXPECT_EQ(fixture.call("POST", "/holds/" + std::to_string(lease_id) + "/extend").status, 404);
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("leader", 1, lease_id)})).status, 400);
  EXPECT_EQ(fixture.call("POST", "/holds", lease_request(50)).status, 400);
}

TEST(KvServiceTest, WatchReturnsAllChangesOrReportsMissingOnes) {
  ServiceFixture fixture(std::make_unique<MemoryStorage>());
  for (std::uint32_t n = 0; n < 10100; ++n)
    fixture.call("POST", "/multi", transaction({}, {put("c/" + std::to_string(n % 7), n)}));
  EXPECT_EQ(fixture.call("GET", "/follow?starts=c/&from=50").status, 410);
  const Value reply = fixture.get("/follow?starts=c/&from=10090");
  ASSERT_NE(reply["events"].list(), nullptr);
  EXPECT_EQ(reply["events"].list()->size(), 10U);
  EXPECT_EQ(reply["ledger_rev"].count(), 10100U);
  EXPECT_EQ(fixture.get("/follow?starts=d/&from=10090")["events"].list()->size(), 0U);
}

TEST(KvServiceTest, EnforcesSizeAndRateLimits) {
  ServiceFixture fixture(std::make_unique<MemoryStorage>(), {10, 5, 1, 4});
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("a", std::string(2000, 'x'))})).status, 400);
  EXPECT_EQ(fixture
                .call("POST", "/multi",
                      transaction({}, {put("a", 1), put("b", 1), put("c", 1), put("d", 1), put("e", 1)}))
                .status,
            400);
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("with space", 1)})).status, 400);
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("a", 1), put("b", 1), put("c", 1)})).status,
            200);
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("a", 1), put("b", 1), put("c", 1)})).status,
            429);
  // Writes of a transaction with a failed condition count as well.
  EXPECT_EQ(
      fixture.call("POST", "/multi", transaction({condition("a", 77)}, {put("a", 1), put("b", 1)})).status,
      409);
  EXPECT_EQ(fixture.call("POST", "/multi", transaction({}, {put("a", 1)})).status, 429);
  for (int i = 0; i < 20; ++i) fixture.call("GET", "/store/a");
  EXPECT_EQ(fixture.call("GET", "/store/a").status, 429);
  fixture.transport.run(from_seconds(1));
  EXPECT_EQ(fixture.call("GET", "/store/a").status, 200);
}

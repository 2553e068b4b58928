#include <sqlite3.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>

#include "wrenusher/testbed/durable_storage.hpp"

namespace wrenusher::testbed {

namespace {

/// Format of the database that this version writes. Any other format is rejected to avoid misreading it.
constexpr std::int64_t kFormat = 1;
/// Number of past changes that one trim removes.
constexpr std::size_t kTrimBatch = 1000;

/// Covers all columns of a row, so that a row modified by anything else is detected and never served.
std::int64_t checksum(const std::string& key, const std::string& value, std::uint64_t mod_revision,
                      std::uint64_t lease_id) {
  XXH64_state_t* s = XXH64_createState();
  XXH64_reset(s, static_cast<XXH64_hash_t>(kFormat));
  const std::uint64_t head[] = {key.size(), value.size(), mod_revision, lease_id};
  XXH64_update(s, head, sizeof head);
  XXH64_update(s, key.data(), key.size());
  XXH64_update(s, value.data(), value.size());
  const auto sum = static_cast<std::int64_t>(XXH64_digest(s));
  XXH64_freeState(s);
  return sum;
}

class SqliteStorage : public DurableStorage {
 public:
  SqliteStorage(const std::string& folder, std::uint32_t max_pages) : path_(folder + "/state.db") {
    if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
      throw StorageDamaged(folder + ": cannot be created: " + std::strerror(errno));
    if (sqlite3_open(path_.c_str(), &db_) != SQLITE_OK) fail_damaged("cannot be opened");
    sqlite3_extended_result_codes(db_, 1);
    // Every commit is on disk, in the database file itself. With a write-ahead log whose end is damaged,
    // SQLite would silently use only the part before the damage, and acknowledged changes would be lost.
    execute("PRAGMA journal_mode=TRUNCATE");
    execute("PRAGMA synchronous=EXTRA");
    // No other process may have the database open: two services would each answer from their own memory.
    execute("PRAGMA locking_mode=EXCLUSIVE");
    execute("BEGIN EXCLUSIVE");
    execute("COMMIT");
    if (max_pages > 0) execute(("PRAGMA max_page_count=" + std::to_string(max_pages)).c_str());
    execute("CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, n INTEGER, sum INTEGER) WITHOUT ROWID");
    execute(
        "CREATE TABLE IF NOT EXISTS keys(k TEXT PRIMARY KEY, v BLOB, stamp INTEGER, tenancy INTEGER, sum "
        "INTEGER) WITHOUT ROWID");
    execute("CREATE TABLE IF NOT EXISTS holds(id INTEGER PRIMARY KEY, life INTEGER, sum INTEGER)");
    execute(
        "CREATE TABLE IF NOT EXISTS past(n INTEGER PRIMARY KEY, revision INTEGER, k TEXT, v BLOB, sum "
        "INTEGER)");
  }

  ~SqliteStorage() override {
    for (auto& [sql, s] : statements_) sqlite3_finalize(s);
    sqlite3_close(db_);
  }

  SavedState load() override {
    SavedState out;
    std::int64_t format = kFormat;
    bool any = false;
    std::int64_t keys = 0;
    std::int64_t holds = 0;
    sqlite3_stmt* check = prepare("PRAGMA quick_check(1)");
    if (sqlite3_step(check) != SQLITE_ROW || text(check, 0) != "ok")
      fail_damaged("fails the integrity check: " + text(check, 0));
    sqlite3_reset(check);
    for_each_row("SELECT name, n, sum FROM meta", [&](sqlite3_stmt* s) {
      const std::string name = text(s, 0);
      const std::int64_t n = sqlite3_column_int64(s, 1);
      verify(s, 2, "meta " + name, checksum(name, {}, static_cast<std::uint64_t>(n), 0));
      any = true;
      if (name == "format") format = n;
      if (name == "revision") out.revision = static_cast<std::uint64_t>(n);
      if (name == "holds_made") out.leases_made = static_cast<std::uint64_t>(n);
      if (name == "past_before") out.past_before = static_cast<std::uint64_t>(n);
      if (name == "keys") keys = n;
      if (name == "holds") holds = n;
    });
    if (format != kFormat)
      fail_damaged("is of format " + std::to_string(format) + ", and this version reads " +
                   std::to_string(kFormat) + " only: use the version that wrote it");
    for_each_row("SELECT k, v, stamp, tenancy, sum FROM keys", [&](sqlite3_stmt* s) {
      const std::string key = text(s, 0);
      KvEntry e;
      const std::string bytes = text(s, 1);
      e.mod_revision = static_cast<std::uint64_t>(sqlite3_column_int64(s, 2));
      e.lease_id = static_cast<std::uint64_t>(sqlite3_column_int64(s, 3));
      verify(s, 4, "key " + key, checksum(key, bytes, e.mod_revision, e.lease_id));
      e.value = value(bytes, "key " + key);
      out.keys.emplace(key, std::move(e));
    });
    for_each_row("SELECT id, life, sum FROM holds", [&](sqlite3_stmt* s) {
      const auto id = static_cast<std::uint64_t>(sqlite3_column_int64(s, 0));
      const std::int64_t life = sqlite3_column_int64(s, 1);
      verify(s, 2, "hold " + std::to_string(id), checksum("hold", {}, id, static_cast<std::uint64_t>(life)));
      out.leases.emplace(id, Micros{life});
    });
    for_each_row("SELECT n, revision, k, v, sum FROM past ORDER BY n", [&](sqlite3_stmt* s) {
      PastChange p;
      past_n_ = sqlite3_column_int64(s, 0);
      p.revision = static_cast<std::uint64_t>(sqlite3_column_int64(s, 1));
      p.key = text(s, 2);
      const bool put = sqlite3_column_type(s, 3) != SQLITE_NULL;
      const std::string bytes = put ? text(s, 3) : std::string();
      verify(s, 4, "change " + std::to_string(p.revision), checksum(p.key, bytes, p.revision, put ? 1 : 0));
      if (put) p.value = value(bytes, "change " + std::to_string(p.revision));
      out.past.push_back(std::move(p));
    });
    // A missing row is damage too, and the checksums of the other rows cannot detect it.
    if (any && (keys != static_cast<std::int64_t>(out.keys.size()) ||
                holds != static_cast<std::int64_t>(out.leases.size())))
      fail_damaged("has lost rows");
    past_ = out.past.size();
    past_before_ = out.past_before;
    keys_ = static_cast<std::int64_t>(out.keys.size());
    leases_ = static_cast<std::int64_t>(out.leases.size());
    leases_made_ = out.leases_made;
    return out;
  }

  bool save(const WriteBatch& b) override {
    Counts next{past_n_, past_, past_before_, keys_, leases_, leases_made_};
    if (!step(prepare("BEGIN IMMEDIATE")) || !write(b, next) || !step(prepare("COMMIT"))) {
      error_ = path_ + ": " + sqlite3_errmsg(db_);
      const int code = sqlite3_errcode(db_);
      // After a failed commit the transaction is still open; the rollback discards all of it.
      if (sqlite3_get_autocommit(db_) == 0) step(prepare("ROLLBACK"));
      if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB) throw StorageDamaged(error_);
      return false;
    }
    error_.clear();
    past_n_ = next.past_n;
    past_ = next.past;
    past_before_ = next.past_before;
    keys_ = next.keys;
    leases_ = next.leases;
    leases_made_ = next.leases_made;
    return true;
  }

  std::string error() const override { return error_; }

 private:
  struct Counts {
    std::int64_t past_n;
    std::size_t past;
    std::uint64_t past_before;
    std::int64_t keys;
    std::int64_t leases;
    std::uint64_t leases_made;
  };

  [[noreturn]] void fail_damaged(const std::string& what) const {
    throw StorageDamaged(
        path_ + ": " + what +
        "; nothing is served from it. Move the folder away to start with an empty state, or restore a copy");
  }

  void execute(const char* sql) {
    char* error = nullptr;
    if (sqlite3_exec(db_, sql, nullptr, nullptr, &error) == SQLITE_OK) return;
    const int code = sqlite3_errcode(db_);
    const std::string why = error != nullptr ? error : sqlite3_errmsg(db_);
    sqlite3_free(error);
    if ((code & 0xff) == SQLITE_BUSY) throw StorageDamaged(path_ + ": is in use by another process");
    fail_damaged(why);
  }

  sqlite3_stmt* prepare(const char* sql) {
    sqlite3_stmt*& s = statements_[sql];
    if (s == nullptr && sqlite3_prepare_v2(db_, sql, -1, &s, nullptr) != SQLITE_OK)
      fail_damaged(sqlite3_errmsg(db_));
    return s;
  }

  static bool step(sqlite3_stmt* s) {
    const int rc = sqlite3_step(s);
    sqlite3_reset(s);
    return rc == SQLITE_DONE || rc == SQLITE_ROW;
  }

  template <typename F>
  void for_each_row(const char* sql, F f) {
    sqlite3_stmt* s = prepare(sql);
    int rc = 0;
    while ((rc = sqlite3_step(s)) == SQLITE_ROW) f(s);
    if (rc != SQLITE_DONE) fail_damaged(sqlite3_errmsg(db_));
    sqlite3_reset(s);
  }

  static std::string text(sqlite3_stmt* s, int column) {
    const auto* at = static_cast<const char*>(sqlite3_column_blob(s, column));
    const int n = sqlite3_column_bytes(s, column);
    return at == nullptr ? std::string() : std::string(at, static_cast<std::size_t>(n));
  }

  void verify(sqlite3_stmt* s, int column, const std::string& what, std::int64_t sum) const {
    if (sqlite3_column_int64(s, column) != sum) fail_damaged(what + " does not match its checksum");
  }

  Value value(const std::string& bytes, const std::string& what) const {
    auto v = decode(bytes);
    if (!v) fail_damaged(what + " cannot be read");
    return std::move(*v);
  }

  bool put_meta(const char* name, std::uint64_t n) {
    sqlite3_stmt* s = prepare("INSERT OR REPLACE INTO meta(name, n, sum) VALUES(?, ?, ?)");
    bind(s, 1, std::string(name));
    sqlite3_bind_int64(s, 2, static_cast<std::int64_t>(n));
    sqlite3_bind_int64(s, 3, checksum(name, {}, n, 0));
    return step(s);
  }

  static void bind(sqlite3_stmt* s, int at, const std::string& text) {
    sqlite3_bind_text(s, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
  }
  static void bind_blob(sqlite3_stmt* s, int at, const std::string& bytes) {
    sqlite3_bind_blob(s, at, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
  }

  bool add_past(const PastChange& p, Counts& next) {
    const std::string bytes = p.value ? encode(*p.value) : std::string();
    sqlite3_stmt* s = prepare("INSERT INTO past(n, revision, k, v, sum) VALUES(?, ?, ?, ?, ?)");
    sqlite3_bind_int64(s, 1, ++next.past_n);
    sqlite3_bind_int64(s, 2, static_cast<std::int64_t>(p.revision));
    bind(s, 3, p.key);
    if (p.value) {
      bind_blob(s, 4, bytes);
    } else {
      sqlite3_bind_null(s, 4);
    }
    sqlite3_bind_int64(s, 5, checksum(p.key, bytes, p.revision, p.value ? 1 : 0));
    ++next.past;
    return step(s);
  }

  bool trim_past(Counts& next) {
    if (next.past < kMaxPastChanges + kTrimBatch) return true;
    sqlite3_stmt* last = prepare("SELECT revision FROM past ORDER BY n LIMIT 1 OFFSET ?");
    sqlite3_bind_int64(last, 1, static_cast<std::int64_t>(next.past - kMaxPastChanges - 1));
    const bool found = sqlite3_step(last) == SQLITE_ROW;
    if (found) next.past_before = static_cast<std::uint64_t>(sqlite3_column_int64(last, 0));
    sqlite3_reset(last);
    sqlite3_stmt* s = prepare("DELETE FROM past WHERE n <= ?");
    sqlite3_bind_int64(s, 1, next.past_n - static_cast<std::int64_t>(kMaxPastChanges));
    next.past = kMaxPastChanges;
    return found && step(s);
  }

  bool write(const WriteBatch& b, Counts& next) {
    for (const std::string& key : b.deletes) {
      sqlite3_stmt* s = prepare("DELETE FROM keys WHERE k = ?");
      bind(s, 1, key);
      if (!step(s)) return false;
      if (sqlite3_changes(db_) == 0) continue;
      --next.keys;
      if (!add_past({b.revision, key, std::nullopt}, next)) return false;
    }
    for (const WriteBatch::Put& p : b.puts) {
      sqlite3_stmt* existing = prepare("SELECT 1 FROM keys WHERE k = ?");
      bind(existing, 1, p.key);
      if (sqlite3_step(existing) == SQLITE_DONE) ++next.keys;
      sqlite3_reset(existing);
      const std::string bytes = encode(p.entry.value);
      sqlite3_stmt* s =
          prepare("INSERT OR REPLACE INTO keys(k, v, stamp, tenancy, sum) VALUES(?, ?, ?, ?, ?)");
      bind(s, 1, p.key);
      bind_blob(s, 2, bytes);
      sqlite3_bind_int64(s, 3, static_cast<std::int64_t>(p.entry.mod_revision));
      sqlite3_bind_int64(s, 4, static_cast<std::int64_t>(p.entry.lease_id));
      sqlite3_bind_int64(s, 5, checksum(p.key, bytes, p.entry.mod_revision, p.entry.lease_id));
      if (!step(s) || !add_past({b.revision, p.key, p.entry.value}, next)) return false;
    }
    if (b.new_lease) {
      const auto& [id, life] = *b.new_lease;
      sqlite3_stmt* s = prepare("INSERT INTO holds(id, life, sum) VALUES(?, ?, ?)");
      sqlite3_bind_int64(s, 1, static_cast<std::int64_t>(id));
      sqlite3_bind_int64(s, 2, life.count());
      sqlite3_bind_int64(s, 3, checksum("hold", {}, id, static_cast<std::uint64_t>(life.count())));
      if (!step(s)) return false;
      ++next.leases;
      next.leases_made = std::max(next.leases_made, id);
    }
    if (b.ended_lease) {
      sqlite3_stmt* s = prepare("DELETE FROM holds WHERE id = ?");
      sqlite3_bind_int64(s, 1, static_cast<std::int64_t>(*b.ended_lease));
      if (!step(s)) return false;
      next.leases -= sqlite3_changes(db_);
    }
    return trim_past(next) && put_meta("format", static_cast<std::uint64_t>(kFormat)) &&
           put_meta("revision", b.revision) && put_meta("holds_made", next.leases_made) &&
           put_meta("past_before", next.past_before) &&
           put_meta("keys", static_cast<std::uint64_t>(next.keys)) &&
           put_meta("holds", static_cast<std::uint64_t>(next.leases));
  }

  std::string path_;
  sqlite3* db_ = nullptr;
  std::map<const char*, sqlite3_stmt*> statements_;
  std::string error_;
  std::int64_t past_n_ = 0;
  std::size_t past_ = 0;
  std::uint64_t past_before_ = 0;
  std::int64_t keys_ = 0;
  std::int64_t leases_ = 0;
  std::uint64_t leases_made_ = 0;
};

}  // namespace

std::unique_ptr<DurableStorage> open_sqlite(const std::string& folder, std::uint32_t max_pages) {
  return std::make_unique<SqliteStorage>(folder, max_pages);
}

}  // namespace wrenusher::testbed

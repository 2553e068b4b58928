#include "wrenusher/membership/progress_pager.hpp"

#include <algorithm>
#include <utility>

namespace wrenusher::membership {

using events::Progress;
using value::Value;

namespace {

constexpr const char* kRowsField = "progress";
/// Field with the range of jobs in a page, as two job names. The page starts after the first job and ends
/// with the second, which is empty for the last page. A complete list has no such field.
constexpr const char* kPartField = "progress_part";

/// Limits of one page, in rows and bytes. The next heartbeat continues with the remaining rows.
constexpr std::size_t kMaxPageRows = 1000;
constexpr std::size_t kMaxPageBytes = std::size_t{24} * 1024;
/// Bytes of a row besides its job's name: CBOR heads, and two counts up to 100,000.
constexpr std::size_t kRowOverheadBytes = 12;
/// Maximum size of a whole heartbeat, slightly below the limit of a request's body.
constexpr std::size_t kMaxHeartbeatBytes = std::size_t{60} * 1024;

std::size_t bytes_of(const Progress::Row& row) {
  return row.job_id.size() + kRowOverheadBytes;
}

std::size_t bytes_of(const std::vector<Progress::Row>& rows) {
  std::size_t total = 0;
  for (const Progress::Row& row : rows) total += bytes_of(row);
  return total;
}

bool by_job(const Progress::Row& a, const Progress::Row& b) {
  return a.job_id < b.job_id;
}

Value write_row(const Progress::Row& row) {
  return Value::List{row.job_id, row.done, row.running};
}

}  // namespace

void ProgressPager::update(std::shared_ptr<const Progress> counts) {
  counts_ = std::move(counts);
  sorted_ = false;
  for (auto& [peer, cursor] : cursors_) {
    if (cursor.finished) cursor = {};
  }
}

void ProgressPager::drop_if_all_sent() {
  const bool sent = std::all_of(cursors_.begin(), cursors_.end(),
                                [](const auto& cursor) { return cursor.second.finished; });
  if (sent) counts_.reset();
}

void ProgressPager::write(const std::string& peer, Value::Map& out) {
  if (!counts_) return;
  Cursor& cursor = cursors_[peer];
  const std::vector<Progress::Row>& rows = counts_->rows;
  const std::size_t needed = bytes_of(rows);
  const std::size_t available = available_bytes(out, needed);
  if (cursor.after.empty() && rows.size() <= kMaxPageRows && needed <= available) {
    Value::List all;
    all.reserve(rows.size());
    for (const Progress::Row& row : rows) all.push_back(write_row(row));
    out.emplace_back(kRowsField, std::move(all));
    cursor.finished = true;
  } else if (!cursor.finished) {
    write_page(cursor, available, out);
  }
}

/// Returns how many bytes of counts fit into the heartbeat beside its other fields.
std::size_t ProgressPager::available_bytes(const Value::Map& out, std::size_t needed) const {
  // A list this short always fits beside the other fields, so the heartbeat need not be measured.
  if (needed <= kMaxPageBytes / 4) return kMaxPageBytes;
  const std::size_t used = encode(Value(out)).size();
  return used < kMaxHeartbeatBytes ? std::min(kMaxPageBytes, kMaxHeartbeatBytes - used) : 0;
}

void ProgressPager::sort_by_job() {
  if (sorted_) return;
  auto sorted = std::make_shared<Progress>(*counts_);
  std::sort(sorted->rows.begin(), sorted->rows.end(), by_job);
  counts_ = std::move(sorted);
  sorted_ = true;
}

void ProgressPager::write_page(Cursor& cursor, std::size_t max_bytes, Value::Map& out) {
  sort_by_job();
  const std::string after = cursor.after;
  const std::vector<Progress::Row>& all = counts_->rows;
  auto it = std::upper_bound(all.begin(), all.end(), Progress::Row{after, 0, 0}, by_job);
  Value::List page;
  std::size_t bytes = 0;
  for (; it != all.end() && page.size() < kMaxPageRows; ++it) {
    bytes += bytes_of(*it);
    if (bytes > max_bytes) break;
    page.push_back(write_row(*it));
    cursor.after = it->job_id;
  }
  cursor.finished = it == all.end();
  if (page.empty() && !cursor.finished) return;  // no room in this heartbeat
  out.emplace_back(kRowsField, std::move(page));
  out.emplace_back(kPartField, Value::List{after, cursor.finished ? std::string() : cursor.after});
}

std::shared_ptr<const Progress> read_progress(const Value& value) {
  const Value::List* rows = value[kRowsField].list();
  if (rows == nullptr) return nullptr;
  auto counts = std::make_shared<Progress>();
  for (const Value& row : *rows) {
    const Value::List* columns = row.list();
    if (columns == nullptr || columns->size() != 3 || (*columns)[0].text() == nullptr) continue;
    counts->rows.push_back(
        {*(*columns)[0].text(), (*columns)[1].count().value_or(0), (*columns)[2].count().value_or(0)});
  }
  const Value::List* part = value[kPartField].list();
  if (part != nullptr && part->size() == 2 && (*part)[0].text() != nullptr && (*part)[1].text() != nullptr)
    counts->job_range = {*(*part)[0].text(), *(*part)[1].text()};
  return counts;
}

}  // namespace wrenusher::membership

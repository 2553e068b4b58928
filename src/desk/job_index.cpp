#include "wrenusher/desk/job_index.hpp"

#include <algorithm>
#include <utility>

#include "wrenusher/log/log.hpp"

namespace wrenusher::desk {

namespace {

/// A page is decoded in one go, while users' requests wait.
constexpr int kPage = 200;
constexpr Micros kRetry = millis(700);
/// Questions that come this close together share a refresh.
constexpr Micros kGather = millis(10);
/// While requests are scarce, refreshes take this part of the node's pace at most.
constexpr double kScarcePart = 0.25;

}  // namespace

void JobIndex::begin() {
  whole_ = false;
  jobs_.clear();
  page_from_.clear();
  first_page_.reset();
  read_page();
}

void JobIndex::read_page() {
  store_.list(records::kJobPrefix, page_from_, kPage, Store::Urgent::user, [this](const Read& page) {
    if (page.result == Read::Result::ok) {
      take_page(page);
    } else {
      rt_.after(kRetry, [this] { read_page(); });
    }
  });
}

void JobIndex::take_page(const Read& page) {
  // What changes while the pages are read is followed from the first one's revision.
  if (!first_page_) first_page_ = page.revision;
  for (const Row& row : page.rows) {
    put(row);
    page_from_ = row.key;
  }
  if (page.truncated && !page.rows.empty()) {
    read_page();
    return;
  }
  reached_ = ends_reached_ = *first_page_;
  whole_ = true;
}

void JobIndex::put(const Row& row) {
  const auto ref = records::parse_job_key(row.key);
  if (!ref) return;
  Job& job = jobs_[*ref];
  if (row.stamp >= job.stamp) job = {row.stamp, records::cancelled_job(row.key, row.value).has_value()};
}

/// Better none than one that is wrong: the records are read one by one until it is whole again.
void JobIndex::drop(const char* why) {
  log::info("job_index_dropped", "the index of live jobs is read anew: {reason}", log::with("reason", why));
  begin();
}

void JobIndex::ask(const std::string& ref, Done done) {
  questions_.push_back({ref, std::move(done)});
  plan_refresh();
}

/// Right away while there are requests to spare. Otherwise so late that others still get their turn; more
/// questions gather until then.
Micros JobIndex::pause() const {
  if (store_.requests_to_spare()) return kGather;
  const Micros apart = from_seconds(1 / (store_.request_rate() * kScarcePart));
  return std::max(kGather, last_refresh_ + apart - rt_.now());
}

void JobIndex::plan_refresh() {
  if (planned_ || refreshing_ || questions_.empty()) return;
  planned_ = true;
  rt_.after(pause(), [this] {
    planned_ = false;
    refresh();
  });
}

void JobIndex::refresh() {
  under_way_ = std::exchange(questions_, {});
  if (!whole_) {
    fail(std::exchange(under_way_, {}));
    return;
  }
  refreshing_ = true;
  last_refresh_ = rt_.now();
  store_.follow(records::kJobPrefix, reached_, Micros{0}, Store::Urgent::user,
                [this](const FollowReply& reply) { refreshed(reply); });
}

void JobIndex::refreshed(const FollowReply& reply) {
  refreshing_ = false;
  std::vector<Question> asked = std::exchange(under_way_, {});
  plan_refresh();
  if (reply.result == FollowReply::Result::failed) {
    fail(std::move(asked));
    return;
  }
  if (!fits(reply)) {
    drop(reply.result == FollowReply::Result::ok
             ? "the state service tells other revisions than were asked for"
         : reply.result == FollowReply::Result::too_large ? "too much has changed since it was last followed"
                                                          : "the state service has the changes no more");
    fail(std::move(asked));
    return;
  }
  const bool ends_known = ends_reached_ >= reached_;
  apply(reply);
  std::vector<Question> over;
  for (Question& q : asked) {
    const Standing standing = standing_of(q.ref);
    if (standing == Standing::absent) {
      over.push_back(std::move(q));
    } else {
      q.done({standing, reply.sent});
    }
  }
  // A job leaves in the same transaction that puts its final record.
  if (!reply.deletes.empty()) {
    read_ends(std::move(over), reply.sent);
    return;
  }
  if (ends_known) ends_reached_ = reached_;
  for (const Question& q : over) q.done({Standing::absent, reply.sent});
}

/// A service that began anew counts from an earlier revision, or tells changes that nobody asked for.
bool JobIndex::fits(const FollowReply& reply) const {
  if (reply.result != FollowReply::Result::ok || reply.revision < reached_) return false;
  const auto within = [&](std::uint64_t stamp) { return stamp > reached_ && stamp <= reply.revision; };
  return std::all_of(reply.puts.begin(), reply.puts.end(),
                     [&](const Row& row) { return within(row.stamp); }) &&
         std::all_of(reply.deletes.begin(), reply.deletes.end(),
                     [&](const auto& d) { return within(d.second); });
}

void JobIndex::apply(const FollowReply& reply) {
  mail::RecordsFollowed followed;
  for (const Row& row : reply.puts) {
    put(row);
    followed.put(row.key, row.value);
  }
  for (const auto& [key, stamp] : reply.deletes) {
    followed.gone(key);
    const auto ref = records::parse_job_key(key);
    const auto it = ref ? jobs_.find(*ref) : jobs_.end();
    if (it != jobs_.end() && it->second.stamp < stamp) jobs_.erase(it);
  }
  reached_ = reply.revision;
  if (on_followed) on_followed(followed);
}

/// One request for the final records of all jobs that have ended since the last one. Where it fails, the
/// questions are answered all the same: their records are read one by one then.
void JobIndex::read_ends(std::vector<Question> waiting, Instant sent) {
  store_.follow(records::kEndPrefix, ends_reached_, Micros{0}, Store::Urgent::user,
                [this, waiting = std::move(waiting), sent](const FollowReply& reply) {
                  for (const Row& row : reply.puts) {
                    const auto ref = records::parse_end_key(row.key);
                    const std::string* state = row.value["s"].text();
                    if (ref && state != nullptr) on_ended(*ref, *state, row.value["n"].count().value_or(0));
                  }
                  if (reply.result == FollowReply::Result::ok) {
                    ends_reached_ = std::max(ends_reached_, reply.revision);
                  } else if (reply.result != FollowReply::Result::failed) {
                    ends_reached_ = reached_;  // what was missed is read when somebody asks
                  }
                  for (const Question& q : waiting) q.done({Standing::absent, sent});
                });
}

JobIndex::Standing JobIndex::standing_of(const std::string& ref) const {
  const auto it = jobs_.find(ref);
  if (it == jobs_.end()) return Standing::absent;
  return it->second.cancelled ? Standing::cancelled : Standing::live;
}

void JobIndex::fail(std::vector<Question> questions) {
  for (const Question& q : questions) q.done({});
}

}  // namespace wrenusher::desk

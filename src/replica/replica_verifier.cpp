#include "wrenusher/replica/replica_verifier.hpp"

#include <limits>
#include <utility>

#include "wrenusher/replica/snapshot_changes.hpp"

namespace wrenusher::replica {

using kv_client::CommitReply;
using kv_client::Condition;
using kv_client::KvClient;
using kv_client::ReadReply;
using records::RecordSnapshot;
using time::Micros;

namespace {

/// A leader writes nothing while eight shards are in doubt, and at most four in one commit. It takes the
/// lowest free number, so the first that it could have made beyond the last known one is among so many.
constexpr std::uint32_t kShardsBeyond = 16;
/// With more keys that differ, reading everything is faster.
constexpr std::size_t kMaxMismatches = 48;
constexpr int kMaxPasses = 4;
constexpr Micros kTimeout = time::from_seconds(3);
/// Before a pass is repeated because a call has failed.
constexpr Micros kRetryPause = time::from_millis(200);
/// A condition counts no change, so a commit may have more of them than of changes.
constexpr std::size_t kConditionsPerChange = 4;

}  // namespace

std::vector<Condition> verification_conditions(const RecordSnapshot& snapshot) {
  std::vector<Condition> conditions;
  std::set<std::string> unknown_jobs;
  // Shards first: they are the larger part, and nobody changes them any more in this term.
  const std::uint32_t end = snapshot.shards.empty() ? 0 : snapshot.shards.rbegin()->first + 1;
  for (std::uint32_t number = 0; number < end + kShardsBeyond; ++number) {
    const auto shard = snapshot.shards.find(number);
    const bool is_known = shard != snapshot.shards.end();
    conditions.push_back({records::shard_key(number), is_known ? shard->second.mod_revision : 0});
    if (!is_known) continue;
    for (const records::StoredBlock& block : shard->second.blocks) {
      if (!snapshot.jobs.contains(block.id.job_id)) unknown_jobs.insert(block.id.job_id);
    }
  }
  for (const auto& [job_id, job] : snapshot.jobs)
    conditions.push_back({records::job_key(job_id), job.mod_revision});
  for (const std::string& job_id : unknown_jobs) conditions.push_back({records::job_key(job_id), 0});
  return conditions;
}

void ReplicaVerifier::verify(std::shared_ptr<RecordSnapshot> snapshot, ResultHandler done) {
  auto run = std::make_shared<Run>();
  run->generation = ++generation_;
  run->snapshot = std::move(snapshot);
  run->done = std::move(done);
  for (Condition& condition : verification_conditions(*run->snapshot))
    run->open.emplace(std::move(condition.key), condition.mod_revision);
  runtime_.after(kTimeout, [this, run] { finish(run, false); });
  compare_all(run);
}

void ReplicaVerifier::finish(const RunPtr& run, bool verified) {
  if (is_over(run)) return;
  ++generation_;
  run->result.verified = verified;
  run->done(run->result);
}

/// One pass over all open keys.
void ReplicaVerifier::compare_all(const RunPtr& run) {
  if (run->open.empty()) {
    finish(run, true);
    return;
  }
  if (++run->passes > kMaxPasses) {
    finish(run, false);
    return;
  }
  run->mismatched.clear();
  run->has_failures = false;
  const std::size_t max_conditions = settings_.txn_ops * kConditionsPerChange;
  std::vector<std::vector<Condition>> commits;
  for (const auto& [key, mod_revision] : run->open) {
    run->compared.insert(key);
    if (commits.empty() || commits.back().size() == max_conditions) commits.emplace_back();
    commits.back().push_back({key, mod_revision});
  }
  run->in_flight = commits.size();
  for (const auto& when : commits) {
    store_.commit(when, {}, KvClient::RequestClass::scheduling, [this, run, when](const CommitReply& reply) {
      if (!is_over(run)) on_compared(run, when, reply);
    });
  }
}

void ReplicaVerifier::on_compared(const RunPtr& run, const std::vector<Condition>& when,
                                  const CommitReply& reply) {
  run->result.compared += when.size();
  if (reply.result == CommitReply::Result::committed) {
    for (const Condition& condition : when) run->open.erase(condition.key);
  } else if (reply.result == CommitReply::Result::conflict && !reply.failed_keys.empty()) {
    // Keys that are not named are compared once more: the service need not name all that differ.
    run->mismatched.insert(reply.failed_keys.begin(), reply.failed_keys.end());
  } else {
    run->has_failures = true;
  }
  if (--run->in_flight == 0) end_pass(run);
}

void ReplicaVerifier::end_pass(const RunPtr& run) {
  if (run->mismatched.size() > kMaxMismatches) {
    finish(run, false);
  } else if (!run->mismatched.empty()) {
    reread_mismatches(run);
  } else if (run->has_failures) {
    runtime_.after(kRetryPause, [this, run] {
      if (!is_over(run)) compare_all(run);
    });
  } else {
    compare_all(run);
  }
}

void ReplicaVerifier::reread_mismatches(const RunPtr& run) {
  run->in_flight = run->mismatched.size();
  for (const std::string& key : run->mismatched) {
    store_.get(key, KvClient::RequestClass::scheduling, [this, run, key](const ReadReply& reply) {
      if (!is_over(run)) on_reread(run, key, reply);
    });
  }
}

void ReplicaVerifier::on_reread(const RunPtr& run, const std::string& key, const ReadReply& reply) {
  if (reply.result == ReadReply::Result::ok) {
    ++run->result.reread;
    // The replica may be wrong in any way, its revision included: what was read replaces it.
    apply_delete(*run->snapshot, key, std::numeric_limits<std::uint64_t>::max());
    if (!reply.rows.empty() && !apply_put(*run->snapshot, reply.rows[0])) {
      finish(run, false);
      return;
    }
  }
  if (--run->in_flight > 0) return;
  reopen_mismatches(*run);
  compare_all(run);
}

/// What was read again is to be compared again. Besides, a shard that was read again may name jobs that were
/// not compared yet, or lie beyond the last one.
void ReplicaVerifier::reopen_mismatches(Run& run) {
  std::map<std::string, std::uint64_t> expected;
  for (Condition& condition : verification_conditions(*run.snapshot))
    expected.emplace(std::move(condition.key), condition.mod_revision);
  for (const auto& [key, mod_revision] : expected) {
    if (run.mismatched.contains(key) || !run.compared.contains(key)) run.open[key] = mod_revision;
  }
  std::erase_if(run.open, [&](const auto& item) { return !expected.contains(item.first); });
  for (auto& [key, mod_revision] : run.open) mod_revision = expected.at(key);
}

}  // namespace wrenusher::replica

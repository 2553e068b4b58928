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

/// Number of absent shards to compare after the last one in the replica. A leader stops writing while the
/// outcome of eight shards is unknown, writes at most four per commit and uses the lowest free number. So the
/// first shard that it could have created after the last one in the replica is among these.
constexpr std::uint32_t kMaxUnseenShards = 16;
/// If more keys differ, reading all records is faster.
constexpr std::size_t kMaxMismatches = 48;
constexpr int kMaxPasses = 4;
constexpr Micros kTimeout = time::from_seconds(3);
/// Pause before a pass is repeated because a call failed.
constexpr Micros kRetryPause = time::from_millis(200);
/// Conditions per request for each change allowed in a commit (`txn_ops`). Conditions do not count towards
/// that limit, so a commit may have more of them.
constexpr std::size_t kConditionsPerChange = 4;

}  // namespace

std::vector<Condition> verification_conditions(const RecordSnapshot& snapshot) {
  std::vector<Condition> conditions;
  std::set<std::string> missing_jobs;
  // Shards come first: they are the larger part, and no other node changes them in this term.
  const std::uint32_t shard_end = snapshot.shards.empty() ? 0 : snapshot.shards.rbegin()->first + 1;
  for (std::uint32_t number = 0; number < shard_end + kMaxUnseenShards; ++number) {
    const auto shard = snapshot.shards.find(number);
    const bool in_snapshot = shard != snapshot.shards.end();
    conditions.push_back({records::shard_key(number), in_snapshot ? shard->second.mod_revision : 0});
    if (!in_snapshot) continue;
    for (const records::StoredBlock& block : shard->second.blocks) {
      if (!snapshot.jobs.contains(block.id.job_id)) missing_jobs.insert(block.id.job_id);
    }
  }
  for (const auto& [job_id, job] : snapshot.jobs)
    conditions.push_back({records::job_key(job_id), job.mod_revision});
  for (const std::string& job_id : missing_jobs) conditions.push_back({records::job_key(job_id), 0});
  return conditions;
}

void ReplicaVerifier::verify(std::shared_ptr<RecordSnapshot> snapshot, ResultHandler done) {
  auto run = std::make_shared<Run>();
  run->generation = ++generation_;
  run->snapshot = std::move(snapshot);
  run->done = std::move(done);
  for (Condition& condition : verification_conditions(*run->snapshot))
    run->unverified.emplace(std::move(condition.key), condition.mod_revision);
  runtime_.after(kTimeout, [this, run] { finish(run, false); });
  compare_unverified(run);
}

void ReplicaVerifier::finish(const RunPtr& run, bool verified) {
  if (is_finished(run)) return;
  ++generation_;
  run->result.verified = verified;
  run->done(run->result);
}

/// Starts a pass that compares all unverified keys.
void ReplicaVerifier::compare_unverified(const RunPtr& run) {
  if (run->unverified.empty()) {
    finish(run, true);
    return;
  }
  if (++run->passes > kMaxPasses) {
    finish(run, false);
    return;
  }
  run->mismatched.clear();
  run->has_failed_calls = false;
  const std::size_t max_conditions = settings_.txn_ops * kConditionsPerChange;
  std::vector<std::vector<Condition>> batches;
  for (const auto& [key, mod_revision] : run->unverified) {
    run->compared.insert(key);
    if (batches.empty() || batches.back().size() == max_conditions) batches.emplace_back();
    batches.back().push_back({key, mod_revision});
  }
  run->in_flight = batches.size();
  for (const auto& conditions : batches) {
    store_.commit(conditions, {}, KvClient::RequestClass::scheduling,
                  [this, run, conditions](const CommitReply& reply) {
                    if (!is_finished(run)) on_compared(run, conditions, reply);
                  });
  }
}

void ReplicaVerifier::on_compared(const RunPtr& run, const std::vector<Condition>& conditions,
                                  const CommitReply& reply) {
  run->result.compared += conditions.size();
  if (reply.result == CommitReply::Result::committed) {
    for (const Condition& condition : conditions) run->unverified.erase(condition.key);
  } else if (reply.result == CommitReply::Result::conflict && !reply.failed_keys.empty()) {
    // The other keys are compared once more, since the service may not return all keys that differ.
    run->mismatched.insert(reply.failed_keys.begin(), reply.failed_keys.end());
  } else {
    run->has_failed_calls = true;
  }
  if (--run->in_flight == 0) end_pass(run);
}

void ReplicaVerifier::end_pass(const RunPtr& run) {
  if (run->mismatched.size() > kMaxMismatches) {
    finish(run, false);
  } else if (!run->mismatched.empty()) {
    reread_mismatches(run);
  } else if (run->has_failed_calls) {
    runtime_.after(kRetryPause, [this, run] {
      if (!is_finished(run)) compare_unverified(run);
    });
  } else {
    compare_unverified(run);
  }
}

void ReplicaVerifier::reread_mismatches(const RunPtr& run) {
  run->in_flight = run->mismatched.size();
  for (const std::string& key : run->mismatched) {
    store_.get(key, KvClient::RequestClass::scheduling, [this, run, key](const ReadReply& reply) {
      if (!is_finished(run)) on_reread(run, key, reply);
    });
  }
}

void ReplicaVerifier::on_reread(const RunPtr& run, const std::string& key, const ReadReply& reply) {
  if (reply.result == ReadReply::Result::ok) {
    ++run->result.reread;
    // Any part of the replica's record may be wrong, including its revision, so the record is replaced.
    apply_delete(*run->snapshot, key, std::numeric_limits<std::uint64_t>::max());
    if (!reply.rows.empty() && !apply_put(*run->snapshot, reply.rows[0])) {
      finish(run, false);
      return;
    }
  }
  if (--run->in_flight > 0) return;
  requeue_mismatches(*run);
  compare_unverified(run);
}

/// Marks the keys that were read again as unverified. Also adds new keys to compare: a shard that was read
/// again may contain jobs that have not been compared yet, or may be after the last shard.
void ReplicaVerifier::requeue_mismatches(Run& run) {
  std::map<std::string, std::uint64_t> expected;
  for (Condition& condition : verification_conditions(*run.snapshot))
    expected.emplace(std::move(condition.key), condition.mod_revision);
  for (const auto& [key, mod_revision] : expected) {
    if (run.mismatched.contains(key) || !run.compared.contains(key)) run.unverified[key] = mod_revision;
  }
  std::erase_if(run.unverified, [&](const auto& item) { return !expected.contains(item.first); });
  for (auto& [key, mod_revision] : run.unverified) mod_revision = expected.at(key);
}

}  // namespace wrenusher::replica

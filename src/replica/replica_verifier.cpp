#include "wrenusher/replica/replica_verifier.hpp"

namespace wrenusher::replica {

namespace {

/// A leader writes nothing while eight slots stand in doubt, and four in one transaction at most: the lowest
/// free one is taken, so that of those it could have made beyond the last known one the first is among so
/// many.
constexpr std::uint32_t kSlotsBeyond = 16;
/// With more than this wrong, reading everything is sooner done.
constexpr std::size_t kMaxMismatches = 48;
constexpr int kMaxPasses = 4;
constexpr Micros kMaxTime = from_seconds(3);

}  // namespace

std::vector<Condition> verification_conditions(const records::RecordSnapshot& snapshot) {
  std::vector<Condition> out;
  std::set<std::string> unknown;
  // Slots first: they are the larger part and change no more under this term.
  const std::uint32_t end = snapshot.shards.empty() ? 0 : snapshot.shards.rbegin()->first + 1;
  for (std::uint32_t n = 0; n < end + kSlotsBeyond; ++n) {
    const auto it = snapshot.shards.find(n);
    out.push_back({records::shard_key(n), it == snapshot.shards.end() ? 0 : it->second.mod_revision});
    if (it == snapshot.shards.end()) continue;
    for (const records::StoredBlock& stored : it->second.blocks) {
      if (!snapshot.jobs.contains(stored.id.job_id)) unknown.insert(stored.id.job_id);
    }
  }
  for (const auto& [ref, root] : snapshot.jobs) out.push_back({records::job_key(ref), root.mod_revision});
  for (const std::string& job_id : unknown) out.push_back({records::job_key(job_id), 0});
  return out;
}

void ReplicaVerifier::verify(std::shared_ptr<records::RecordSnapshot> copy,
                             std::function<void(const Result&)> done) {
  auto run = std::make_shared<Run>();
  run->generation = ++generation_;
  run->replica = std::move(copy);
  run->done = std::move(done);
  for (Condition& condition : verification_conditions(*run->replica))
    run->open.emplace(std::move(condition.key), condition.mod_revision);
  runtime_.after(kMaxTime, [this, run] { finish(run, false); });
  compare_all(run);
}

void ReplicaVerifier::finish(const std::shared_ptr<Run>& run, bool good) {
  if (run->generation != generation_) return;
  ++generation_;
  run->result.verified = good;
  run->done(run->result);
}

void ReplicaVerifier::compare_all(const std::shared_ptr<Run>& run) {
  if (run->open.empty()) {
    finish(run, true);
    return;
  }
  if (++run->passes > kMaxPasses) {
    finish(run, false);
    return;
  }
  run->mismatched.clear();
  run->failed = false;
  const std::size_t most = settings_.txn_ops * 4;
  std::vector<std::vector<Condition>> parts;
  for (const auto& [key, stamp] : run->open) {
    run->compared.insert(key);
    if (parts.empty() || parts.back().size() == most) parts.emplace_back();
    parts.back().push_back({key, stamp});
  }
  run->in_flight = parts.size();
  for (auto& when : parts) {
    store_.commit(when, {}, KvClient::RequestClass::scheduling, [this, run, when](const CommitReply& reply) {
      if (run->generation == generation_) on_compared(run, when, reply);
    });
  }
}

void ReplicaVerifier::on_compared(const std::shared_ptr<Run>& run, const std::vector<Condition>& when,
                                  const CommitReply& reply) {
  run->result.compared += when.size();
  if (reply.result == CommitReply::Result::committed) {
    for (const Condition& condition : when) run->open.erase(condition.key);
  } else if (reply.result == CommitReply::Result::conflict && !reply.failed_keys.empty()) {
    // Those that were not named are asked for once more: the service need not name all.
    run->mismatched.insert(reply.failed_keys.begin(), reply.failed_keys.end());
  } else {
    run->failed = true;
  }
  if (--run->in_flight > 0) return;
  if (run->mismatched.size() > kMaxMismatches) {
    finish(run, false);
  } else if (!run->mismatched.empty()) {
    reread_mismatches(run);
  } else if (run->failed) {
    runtime_.after(from_millis(200), [this, run] {
      if (run->generation == generation_) compare_all(run);
    });
  } else {
    compare_all(run);
  }
}

void ReplicaVerifier::reread_mismatches(const std::shared_ptr<Run>& run) {
  run->in_flight = run->mismatched.size();
  for (const std::string& key : run->mismatched) {
    store_.get(key, KvClient::RequestClass::scheduling, [this, run, key](const ReadReply& read) {
      if (run->generation != generation_) return;
      if (read.result == ReadReply::Result::ok) {
        ++run->result.reread;
        records::RecordSnapshot& snapshot = *run->replica;
        // The copy may be wrong in any way, its stamp included: what was read stands.
        apply_delete(snapshot, key, UINT64_MAX);
        if (!read.rows.empty() && !apply_put(snapshot, read.rows[0])) {
          finish(run, false);
          return;
        }
      }
      if (--run->in_flight > 0) return;
      // A slot that was read anew may name jobs that nobody has asked for yet, or lie beyond the last one.
      std::map<std::string, std::uint64_t> now;
      for (Condition& condition : verification_conditions(*run->replica))
        now.emplace(std::move(condition.key), condition.mod_revision);
      for (const auto& [k, stamp] : now) {
        if (run->mismatched.contains(k) || !run->compared.contains(k)) run->open[k] = stamp;
      }
      std::erase_if(run->open, [&](const auto& k) { return !now.contains(k.first); });
      for (auto& [k, stamp] : run->open) stamp = now.at(k);
      compare_all(run);
    });
  }
}

}  // namespace wrenusher::replica

#include "wrenusher/kv_client/kv_codec.hpp"

#include <utility>

namespace wrenusher::kv_client {

using runtime::CallResult;
using runtime::Request;
using value::decode;

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusMalformed = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

/// Limit for the reply to a watch, which contains every change since the requested revision; the service
/// itself sets no limit. After a pause of a minute a reply was 30 MB, ten times as much once decoded, and the
/// node ran out of memory.
constexpr std::size_t kMaxWatchBytes = std::size_t{2} * 1024 * 1024;

bool has_status(const CallResult& result, int status) {
  return result.answered && result.response.status == status;
}

/// Moves the value out of `row`: a copy would double the memory of a large value.
KeyValue read_key_value(Value& row, const char* key_field) {
  KeyValue result;
  if (const std::string* key = row[key_field].text()) result.key = *key;
  result.mod_revision = row["stamp"].count().value_or(0);
  result.lease_id = row["tenancy"].count().value_or(0);
  result.value = row.take("value");
  return result;
}

std::uint64_t revision_of(const Value& body) {
  return body["ledger_rev"].count().value_or(0);
}

std::uint64_t to_milliseconds(Micros duration) {
  return static_cast<std::uint64_t>(duration.count() / 1000);
}

Value write_mutation(const Mutation& mutation) {
  Value::Map fields;
  if (mutation.put) {
    fields.emplace_back("put", mutation.key);
    fields.emplace_back("value", *mutation.put);
    if (mutation.lease_id != 0) fields.emplace_back("tenancy", mutation.lease_id);
  } else {
    fields.emplace_back("delete", mutation.key);
  }
  return fields;
}

CommitReply::Result commit_result(int status, bool has_body) {
  switch (status) {
    case kStatusOk:
      return has_body ? CommitReply::Result::committed : CommitReply::Result::unknown;
    case kStatusConflict:
      return CommitReply::Result::conflict;
    case kStatusTooMany:
    case kStatusUnavailable:
      return CommitReply::Result::refused;
    case kStatusMalformed:
      return CommitReply::Result::invalid;
    default:
      return CommitReply::Result::unknown;
  }
}

std::vector<std::string> read_failed_keys(const Value& body) {
  std::vector<std::string> keys;
  const Value::List* failed = body["failed"].list();
  if (failed == nullptr) return keys;
  keys.reserve(failed->size());
  for (const Value& key : *failed) {
    if (key.text() != nullptr) keys.push_back(*key.text());
  }
  return keys;
}

}  // namespace

Request get_request(const std::string& key) {
  return {"GET", "/store/" + key, {}};
}

Request list_request(const std::string& prefix, const std::string& from, int limit) {
  std::string target = "/store?starts=" + prefix + "&limit=" + std::to_string(limit);
  if (!from.empty()) target += "&from=" + from;
  return {"GET", std::move(target), {}};
}

Request commit_request(const std::vector<Condition>& conditions, const std::vector<Mutation>& mutations) {
  Value::List condition_list;
  condition_list.reserve(conditions.size());
  for (const Condition& condition : conditions)
    condition_list.emplace_back(Value::Map{{"k", condition.key}, {"stamp", condition.mod_revision}});
  Value::List mutation_list;
  mutation_list.reserve(mutations.size());
  for (const Mutation& mutation : mutations) mutation_list.push_back(write_mutation(mutation));
  return {
      "POST", "/multi",
      encode(Value(Value::Map{{"when", std::move(condition_list)}, {"apply", std::move(mutation_list)}}))};
}

Request grant_lease_request(Micros duration) {
  return {"POST", "/holds", encode(Value(Value::Map{{"life_ms", to_milliseconds(duration)}}))};
}

Request renew_lease_request(std::uint64_t lease_id) {
  return {"POST", "/holds/" + std::to_string(lease_id) + "/extend", {}};
}

Request revoke_lease_request(std::uint64_t lease_id) {
  return {"DELETE", "/holds/" + std::to_string(lease_id), {}};
}

Request watch_request(const std::string& prefix, std::uint64_t from, Micros max_wait) {
  return {"GET",
          "/follow?starts=" + prefix + "&from=" + std::to_string(from) +
              "&hold_ms=" + std::to_string(to_milliseconds(max_wait)),
          {},
          false,
          kMaxWatchBytes};
}

ReadReply read_get_reply(const CallResult& result, Instant sent_at) {
  ReadReply reply;
  reply.sent_at = sent_at;
  const bool found = has_status(result, kStatusOk);
  if (!found && !has_status(result, kStatusNotFound)) return reply;
  auto body = decode(result.response.body);
  if (!body || body->map() == nullptr) return reply;
  reply.result = ReadReply::Result::ok;
  reply.revision = revision_of(*body);
  if (found) reply.rows.push_back(read_key_value(*body, "k"));
  return reply;
}

ReadReply read_list_reply(CallResult result) {
  ReadReply reply;
  if (!has_status(result, kStatusOk)) return reply;
  auto body = decode(result.response.body);
  result.response.body = {};
  if (!body || (*body)["rows"].list() == nullptr) return reply;
  reply.result = ReadReply::Result::ok;
  reply.revision = revision_of(*body);
  reply.truncated = (*body)["truncated"].boolean().value_or(false);
  Value rows = body->take("rows");
  for (Value& row : *rows.list()) reply.rows.push_back(read_key_value(row, "k"));
  return reply;
}

CommitReply read_commit_reply(const CallResult& result, Instant sent_at) {
  CommitReply reply;
  reply.sent_at = sent_at;
  if (!result.answered) {
    reply.result = result.may_have_arrived ? CommitReply::Result::unknown : CommitReply::Result::refused;
    return reply;
  }
  const auto body = decode(result.response.body);
  reply.result = commit_result(result.response.status, body.has_value());
  if (!body) return reply;
  reply.revision = revision_of(*body);
  if (reply.result == CommitReply::Result::conflict) reply.failed_keys = read_failed_keys(*body);
  return reply;
}

LeaseReply read_grant_reply(const CallResult& result) {
  LeaseReply reply;
  if (!has_status(result, kStatusOk)) return reply;
  const auto body = decode(result.response.body);
  const auto lease_id = body ? (*body)["tenancy"].count() : std::nullopt;
  if (!lease_id) return reply;
  reply.result = LeaseReply::Result::ok;
  reply.lease_id = *lease_id;
  return reply;
}

LeaseReply read_renew_reply(const CallResult& result, std::uint64_t lease_id) {
  LeaseReply reply;
  reply.lease_id = lease_id;
  if (has_status(result, kStatusOk)) reply.result = LeaseReply::Result::ok;
  if (has_status(result, kStatusNotFound)) reply.result = LeaseReply::Result::expired;
  return reply;
}

WatchReply read_watch_reply(CallResult result, Instant sent_at) {
  WatchReply reply;
  reply.sent_at = sent_at;
  if (has_status(result, kStatusGone)) reply.result = WatchReply::Result::too_old;
  if (result.too_large) reply.result = WatchReply::Result::too_large;
  if (!has_status(result, kStatusOk)) return reply;
  auto body = decode(result.response.body);
  result.response.body = {};
  if (!body || (*body)["events"].list() == nullptr) return reply;
  reply.result = WatchReply::Result::ok;
  reply.revision = revision_of(*body);
  Value events = body->take("events");
  for (Value& event : *events.list()) {
    if (event["put"].text() != nullptr) {
      reply.puts.push_back(read_key_value(event, "put"));
    } else if (const std::string* key = event["delete"].text()) {
      reply.deletes.push_back({*key, event["stamp"].count().value_or(0)});
    }
  }
  return reply;
}

}  // namespace wrenusher::kv_client

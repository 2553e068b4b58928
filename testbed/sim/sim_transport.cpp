#include <algorithm>

#include "wrenusher/testbed/answers.hpp"
#include "wrenusher/testbed/world.hpp"

namespace wrenusher::testbed {

namespace {

/// One message in kSlowMessageRatio takes up to 300 ms; one response in kLostResponseRatio is lost.
constexpr int kSlowMessageRatio = 100;
constexpr int kLostResponseRatio = 200;
/// The name under which all users send.
constexpr std::string_view kUser = "user";

}  // namespace

void SimTransport::at(Micros delay, std::function<void()> f) {
  events_.push({now_ + delay, ++events_made_, std::make_shared<std::function<void()>>(std::move(f))});
}

void SimTransport::run(Micros how_long) {
  const Instant end = now_ + how_long;
  while (!events_.empty() && events_.top().at <= end) {
    const Event e = events_.top();
    events_.pop();
    now_ = e.at;
    (*e.action)();
  }
  now_ = end;
}

Micros SimTransport::delay() {
  return Micros{static_cast<std::int64_t>(uniform(200, pick(kSlowMessageRatio) == 0 ? 300000 : 4000))};
}

void SimTransport::heal() {
  links.heal();
  auto held = std::move(held_messages_);
  held_messages_.clear();
  for (auto& f : held) at(delay(), std::move(f));
}

void SimTransport::deliver(LinkCut link, std::function<void()> deliver) {
  switch (link) {
    case LinkCut::none:
      at(delay(), std::move(deliver));
      break;
    case LinkCut::hold:
      held_messages_.push_back(std::move(deliver));
      break;
    case LinkCut::reset:
      break;
  }
}

std::optional<Endpoint> SimTransport::serve(const std::string& who, Handler handler) {
  const int n = ++addresses_;
  const Endpoint at = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":9000";
  serve_at(at, who, std::move(handler));
  return at;
}

void SimTransport::serve_at(const Endpoint& at, const std::string& who, LinkType link_type, Handler handler) {
  endpoint_names_[at] = who;
  link_types_[at] = link_type;
  handlers_[at] = std::move(handler);
}

int SimTransport::drop_answers(AnswerLoss loss) {
  answer_loss_.emplace(++answer_losses_made_, std::move(loss));
  return answer_losses_made_;
}

std::optional<SimTransport::StateQuery> SimTransport::state_query_of(const Request& r) {
  constexpr std::string_view kStore = "/store/";
  if (r.target.starts_with(kStore)) return StateQuery{true, {r.target.substr(kStore.size())}};
  if (r.target.starts_with("/store?")) return StateQuery{true, {query(r.target, "starts")}};
  // A watch with no waiting time is a read of the present records.
  if (r.target.starts_with("/follow?") && query(r.target, "hold_ms") == "0")
    return StateQuery{true, {query(r.target, "starts")}, true};
  if (r.target != "/multi") return std::nullopt;
  const auto body = decode(r.body);
  if (!body) return std::nullopt;
  StateQuery out;
  const Value::List* apply = (*body)["apply"].list();
  out.reads = apply == nullptr || apply->empty();
  const Value::List* rows = out.reads ? (*body)["when"].list() : apply;
  for (const Value& row : rows == nullptr ? Value::List{} : *rows) {
    for (const char* field : {"put", "delete", "k"}) {
      if (const std::string* key = row[field].text()) out.keys.push_back(*key);
    }
  }
  return out;
}

bool SimTransport::drops_answer(const std::string& who, const StateQuery& state_query) {
  for (auto& [number, loss] : answer_loss_) {
    const bool matches =
        loss.reads == state_query.reads && (loss.who.empty() || loss.who == who) &&
        (loss.keys.empty() ||
         std::any_of(state_query.keys.begin(), state_query.keys.end(), [&](const auto& key) {
           return std::any_of(loss.keys.begin(), loss.keys.end(), [&](const auto& key_prefix) {
             return key.starts_with(key_prefix) || (state_query.prefix && key_prefix.starts_with(key));
           });
         }));
    if (!matches || loss.most == 0 || (loss.share < 1 && uniform(0, 1) >= loss.share)) continue;
    if (loss.skip > 0) {
      --loss.skip;
      continue;
    }
    --loss.most;
    ++dropped_answers_;
    if (const auto then = loss.then) at(Micros{0}, [then, who] { then(who); });
    return true;
  }
  return false;
}

LinkType SimTransport::link_type_of(const std::string& from, const Endpoint& to) const {
  const auto found = link_types_.find(to);
  // An endpoint that never had a handler is treated as a worker endpoint.
  const LinkType link_type = found == link_types_.end() ? LinkType::worker : found->second;
  return link_type == LinkType::client && from != kUser ? LinkType::worker : link_type;
}

bool SimTransport::serve_request(const std::string& from, const Endpoint& to, const Request& request,
                                 const Responder& answer) {
  const auto handler = handlers_.find(to);
  if (handler == handlers_.end()) return false;
  handler->second(
      from, request,
      [this, from, name = endpoint_names_[to], link_type = link_type_of(from, to), answer](Response r) {
        digests.response(link_type, now_, name, from, r);
        answer(std::move(r));
      });
  return true;
}

void SimTransport::send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                        CallHandler done) {
  digests.request(link_type_of(from, to), now_, from, endpoint_names_[to], request);
  if (late_copies_.share > 0 && uniform(0, 1) < late_copies_.share &&
      (late_copies_.paths.empty() ||
       std::any_of(late_copies_.paths.begin(), late_copies_.paths.end(),
                   [&](const auto& path) { return request.target.starts_with(path); }))) {
    const Micros late{static_cast<std::int64_t>(uniform(static_cast<double>(late_copies_.least.count()),
                                                        static_cast<double>(late_copies_.most.count())))};
    at(late, [this, from, to, request] { serve_request(from, to, request, [](const Response&) {}); });
  }
  struct Call {
    bool settled = false;
    CallHandler done;
    void settle(CallResult o) {
      if (settled) return;
      settled = true;
      done(std::move(o));
    }
  };
  auto call = std::make_shared<Call>();
  call->done = std::move(done);
  const std::string name = endpoint_names_[to];
  const LinkCut link = links.asking(from, name);
  if (!handlers_.contains(to) || link == LinkCut::reset) {
    at(delay(), [call] { call->settle({false, false, {}}); });
    return;
  }
  if (late_writes_ > 0 && request.target == "/multi" && uniform(0, 1) < late_writes_) {
    at(timeout, [call] { call->settle({false, true, {}}); });
    at(from_seconds(uniform(2, 12)), [this, from, to, request = std::move(request)] {
      serve_request(from, to, request, [](const Response&) {});
    });
    return;
  }
  // No new connection can be opened over a cut link; an open connection accepts the request and delivers it
  // later.
  const bool sent = link == LinkCut::none || pick(2) == 0;
  at(timeout, [call, sent] { call->settle({false, sent, {}}); });
  if (!sent) return;
  deliver(link, [this, call, from, to, name, request = std::move(request)] {
    const std::size_t max_bytes = request.max_response_bytes;
    if (!handlers_.contains(to)) {
      call->settle({false, true, {}});
      return;
    }
    const bool lose_response = pick(kLostResponseRatio) == 0;
    const auto state_query = answer_loss_.empty() ? std::nullopt : state_query_of(request);
    serve_request(from, to, request,
                  [this, call, from, name, lose_response, max_bytes, state_query](Response r) {
                    const bool carried_out = r.status == 200 || r.status == 404 || r.status == 409;
                    // The sender's timeout expires.
                    if (state_query && carried_out && drops_answer(from, *state_query)) return;
                    // Carried out, but the response is lost.
                    if (lose_response) {
                      at(delay(), [call] { call->settle({false, true, {}}); });
                      return;
                    }
                    const bool too_large = max_bytes > 0 && r.body.size() > max_bytes;
                    if (too_large) r = {};
                    deliver(links.between(name, from), [call, too_large, r = std::move(r)] {
                      call->settle({!too_large, true, r, too_large});
                    });
                  });
  });
}

}  // namespace wrenusher::testbed

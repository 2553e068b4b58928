#include <algorithm>

#include "wrenusher/testbed/answers.hpp"
#include "wrenusher/testbed/world.hpp"

namespace wrenusher::testbed {

namespace {

/// One message in so many takes long; one answer in so many is lost.
constexpr int kSlowMessage = 100;
constexpr int kLostAnswer = 200;
/// The name of all users.
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
  return Micros{static_cast<std::int64_t>(uniform(200, pick(kSlowMessage) == 0 ? 300000 : 4000))};
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
  names_[at] = who;
  link_types_[at] = link_type;
  handlers_[at] = std::move(handler);
}

int SimTransport::drop_answers(AnswerLoss l) {
  answer_loss_.emplace(++answer_losses_made_, std::move(l));
  return answer_losses_made_;
}

std::optional<SimTransport::StateQuery> SimTransport::state_query_of(const Request& r) {
  constexpr std::string_view kStore = "/store/";
  if (r.target.starts_with(kStore)) return StateQuery{true, {r.target.substr(kStore.size())}};
  if (r.target.starts_with("/store?")) return StateQuery{true, {query(r.target, "starts")}};
  // One that waits for nothing reads what there is.
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

bool SimTransport::drops_answer(const std::string& who, const StateQuery& asked) {
  for (auto& [number, l] : answer_loss_) {
    const bool fits =
        l.reads == asked.reads && (l.who.empty() || l.who == who) &&
        (l.keys.empty() || std::any_of(asked.keys.begin(), asked.keys.end(), [&](const auto& k) {
           return std::any_of(l.keys.begin(), l.keys.end(), [&](const auto& begin) {
             return k.starts_with(begin) || (asked.prefix && begin.starts_with(k));
           });
         }));
    if (!fits || l.most == 0 || (l.share < 1 && uniform(0, 1) >= l.share)) continue;
    if (l.skip > 0) {
      --l.skip;
      continue;
    }
    --l.most;
    ++dropped_answers_;
    if (const auto then = l.then) at(Micros{0}, [then, who] { then(who); });
    return true;
  }
  return false;
}

LinkType SimTransport::link_type_of(const std::string& from, const Endpoint& to) const {
  const auto found = link_types_.find(to);
  // An address at which nobody ever served is a worker's that is not known here.
  const LinkType link_type = found == link_types_.end() ? LinkType::worker : found->second;
  return link_type == LinkType::client && from != kUser ? LinkType::worker : link_type;
}

bool SimTransport::serve_request(const std::string& from, const Endpoint& to, const Request& request,
                                 const Responder& answer) {
  const auto h = handlers_.find(to);
  if (h == handlers_.end()) return false;
  h->second(from, request,
            [this, from, name = names_[to], link_type = link_type_of(from, to), answer](Response r) {
              digests.response(link_type, now_, name, from, r);
              answer(std::move(r));
            });
  return true;
}

void SimTransport::send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                        CallHandler done) {
  digests.request(link_type_of(from, to), now_, from, names_[to], request);
  if (late_copies_.share > 0 && uniform(0, 1) < late_copies_.share &&
      (late_copies_.paths.empty() ||
       std::any_of(late_copies_.paths.begin(), late_copies_.paths.end(),
                   [&](const auto& p) { return request.target.starts_with(p); }))) {
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
  const std::string name = names_[to];
  const LinkCut state = links.asking(from, name);
  if (!handlers_.contains(to) || state == LinkCut::reset) {
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
  // A new connection cannot be made through a cut; an old one takes the request, to be delivered later.
  const bool sent = state == LinkCut::none || pick(2) == 0;
  at(timeout, [call, sent] { call->settle({false, sent, {}}); });
  if (!sent) return;
  deliver(state, [this, call, from, to, name, request = std::move(request)] {
    const std::size_t most = request.max_response_bytes;
    if (!handlers_.contains(to)) {
      call->settle({false, true, {}});
      return;
    }
    const bool lose = pick(kLostAnswer) == 0;
    const auto asked = answer_loss_.empty() ? std::nullopt : state_query_of(request);
    serve_request(from, to, request, [this, call, from, name, lose, most, asked](Response r) {
      const bool carried_out = r.status == 200 || r.status == 404 || r.status == 409;
      if (asked && carried_out && drops_answer(from, *asked)) return;  // its time runs out
      if (lose) {                                                      // executed, but the answer never comes
        at(delay(), [call] { call->settle({false, true, {}}); });
        return;
      }
      const bool too_large = most > 0 && r.body.size() > most;
      if (too_large) r = {};
      deliver(links.between(name, from), [call, too_large, r = std::move(r)] {
        call->settle({!too_large, true, r, too_large});
      });
    });
  });
}

}  // namespace wrenusher::testbed

#include <algorithm>

#include "wrenusher/lab/answers.hpp"
#include "wrenusher/lab/world.hpp"

namespace wrenusher::lab {

namespace {

/// One message in so many takes long; one answer in so many is lost.
constexpr int kSlowMessage = 100;
constexpr int kLostAnswer = 200;
/// The name of all users.
constexpr std::string_view kUser = "user";

}  // namespace

void SimWires::at(Micros delay, std::function<void()> f) {
  events_.push({now_ + delay, ++events_made_, std::make_shared<std::function<void()>>(std::move(f))});
}

void SimWires::run(Micros how_long) {
  const Instant end = now_ + how_long;
  while (!events_.empty() && events_.top().at <= end) {
    const Event e = events_.top();
    events_.pop();
    now_ = e.at;
    (*e.f)();
  }
  now_ = end;
}

Micros SimWires::delay() {
  return Micros{static_cast<std::int64_t>(uniform(200, pick(kSlowMessage) == 0 ? 300000 : 4000))};
}

void SimWires::heal() {
  links.heal();
  auto held = std::move(held_);
  held_.clear();
  for (auto& f : held) at(delay(), std::move(f));
}

void SimWires::carry(Cut link, std::function<void()> deliver) {
  switch (link) {
    case Cut::none:
      at(delay(), std::move(deliver));
      break;
    case Cut::hold:
      held_.push_back(std::move(deliver));
      break;
    case Cut::reset:
      break;
  }
}

std::optional<Endpoint> SimWires::serve(const std::string& who, Handler handler) {
  const int n = ++addresses_;
  const Endpoint at = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":9000";
  serve_at(at, who, std::move(handler));
  return at;
}

void SimWires::serve_at(const Endpoint& at, const std::string& who, Transport transport, Handler handler) {
  names_[at] = who;
  transports_[at] = transport;
  handlers_[at] = std::move(handler);
}

int SimWires::lose_answers(LostAnswers l) {
  losing_.emplace(++losing_made_, std::move(l));
  return losing_made_;
}

std::optional<SimWires::Asked> SimWires::asked_of(const Request& r) {
  constexpr std::string_view kStore = "/store/";
  if (r.target.starts_with(kStore)) return Asked{true, {r.target.substr(kStore.size())}};
  if (r.target.starts_with("/store?")) return Asked{true, {query(r.target, "starts")}};
  // One that waits for nothing reads what there is.
  if (r.target.starts_with("/follow?") && query(r.target, "hold_ms") == "0")
    return Asked{true, {query(r.target, "starts")}, true};
  if (r.target != "/multi") return std::nullopt;
  const auto body = decode(r.body);
  if (!body) return std::nullopt;
  Asked out;
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

bool SimWires::loses_answer(const std::string& who, const Asked& asked) {
  for (auto& [number, l] : losing_) {
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
    ++lost_answers_;
    if (const auto then = l.then) at(Micros{0}, [then, who] { then(who); });
    return true;
  }
  return false;
}

Transport SimWires::transport_of(const std::string& from, const Endpoint& to) const {
  const auto found = transports_.find(to);
  // An address at which nobody ever served is a worker's that is not known here.
  const Transport transport = found == transports_.end() ? Transport::worker : found->second;
  return transport == Transport::client && from != kUser ? Transport::worker : transport;
}

bool SimWires::deliver(const std::string& from, const Endpoint& to, const Request& request,
                       const Answer& answer) {
  const auto h = handlers_.find(to);
  if (h == handlers_.end()) return false;
  h->second(from, request,
            [this, from, name = names_[to], transport = transport_of(from, to), answer](Response r) {
              digests.response(transport, now_, name, from, r);
              answer(std::move(r));
            });
  return true;
}

void SimWires::send(const std::string& from, const Endpoint& to, Request request, Micros timeout, Done done) {
  digests.request(transport_of(from, to), now_, from, names_[to], request);
  if (copies_.share > 0 && uniform(0, 1) < copies_.share &&
      (copies_.paths.empty() || std::any_of(copies_.paths.begin(), copies_.paths.end(),
                                            [&](const auto& p) { return request.target.starts_with(p); }))) {
    const Micros late{static_cast<std::int64_t>(
        uniform(static_cast<double>(copies_.least.count()), static_cast<double>(copies_.most.count())))};
    at(late, [this, from, to, request] { deliver(from, to, request, [](const Response&) {}); });
  }
  struct Call {
    bool settled = false;
    Done done;
    void settle(Outcome o) {
      if (settled) return;
      settled = true;
      done(std::move(o));
    }
  };
  auto call = std::make_shared<Call>();
  call->done = std::move(done);
  const std::string name = names_[to];
  const Cut state = links.asking(from, name);
  if (!handlers_.contains(to) || state == Cut::reset) {
    at(delay(), [call] { call->settle({false, false, {}}); });
    return;
  }
  if (late_writes_ > 0 && request.target == "/multi" && uniform(0, 1) < late_writes_) {
    at(timeout, [call] { call->settle({false, true, {}}); });
    at(from_seconds(uniform(2, 12)), [this, from, to, request = std::move(request)] {
      deliver(from, to, request, [](const Response&) {});
    });
    return;
  }
  // A new connection cannot be made through a cut; an old one takes the request, to be delivered later.
  const bool sent = state == Cut::none || pick(2) == 0;
  at(timeout, [call, sent] { call->settle({false, sent, {}}); });
  if (!sent) return;
  carry(state, [this, call, from, to, name, request = std::move(request)] {
    const std::size_t most = request.most;
    if (!handlers_.contains(to)) {
      call->settle({false, true, {}});
      return;
    }
    const bool lose = pick(kLostAnswer) == 0;
    const auto asked = losing_.empty() ? std::nullopt : asked_of(request);
    deliver(from, to, request, [this, call, from, name, lose, most, asked](Response r) {
      const bool carried_out = r.status == 200 || r.status == 404 || r.status == 409;
      if (asked && carried_out && loses_answer(from, *asked)) return;  // its time runs out
      if (lose) {                                                      // executed, but the answer never comes
        at(delay(), [call] { call->settle({false, true, {}}); });
        return;
      }
      const bool too_large = most > 0 && r.body.size() > most;
      if (too_large) r = {};
      carry(links.between(name, from), [call, too_large, r = std::move(r)] {
        call->settle({!too_large, true, r, too_large});
      });
    });
  });
}

}  // namespace wrenusher::lab

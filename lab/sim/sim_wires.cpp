#include <algorithm>

#include "wrenusher/lab/world.hpp"

namespace wrenusher::lab {

namespace {

/// One message in so many takes long; one answer in so many is lost.
constexpr int kSlowMessage = 100;
constexpr int kLostAnswer = 200;

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

void SimWires::serve_at(const Endpoint& at, const std::string& who, Handler handler) {
  names_[at] = who;
  handlers_[at] = std::move(handler);
}

void SimWires::send(const std::string& from, const Endpoint& to, Request request, Micros timeout, Done done) {
  if (copies_.share > 0 && uniform(0, 1) < copies_.share &&
      (copies_.paths.empty() || std::any_of(copies_.paths.begin(), copies_.paths.end(),
                                            [&](const auto& p) { return request.target.starts_with(p); }))) {
    const Micros late{static_cast<std::int64_t>(
        uniform(static_cast<double>(copies_.least.count()), static_cast<double>(copies_.most.count())))};
    at(late, [this, from, to, request] {
      if (const auto h = handlers_.find(to); h != handlers_.end())
        h->second(from, request, [](const Response&) {});
    });
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
      if (const auto h = handlers_.find(to); h != handlers_.end())
        h->second(from, request, [](const Response&) {});
    });
    return;
  }
  // A new connection cannot be made through a cut; an old one takes the request, to be delivered later.
  const bool sent = state == Cut::none || pick(2) == 0;
  at(timeout, [call, sent] { call->settle({false, sent, {}}); });
  if (!sent) return;
  carry(state, [this, call, from, to, name, request = std::move(request)] {
    const std::size_t most = request.most;
    const auto h = handlers_.find(to);
    if (h == handlers_.end()) {
      call->settle({false, true, {}});
      return;
    }
    const bool lose = pick(kLostAnswer) == 0;
    h->second(from, request, [this, call, from, name, lose, most](Response r) {
      if (lose) {  // executed, but the answer never comes
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

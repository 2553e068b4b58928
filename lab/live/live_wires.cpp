#include "wrenusher/lab/live_wires.hpp"

#include <cctype>
#include <stdexcept>

namespace wrenusher::lab {

namespace {

constexpr int kMostPort = 65000;
/// Ports in a row that others may hold.
constexpr int kTriedPorts = 200;

/// Machines are alike; controllers are told apart where they ask.
std::string role_of(const std::string& party, bool asks) {
  if (party.starts_with("m-")) return "worker";
  if (!asks && party.size() > 1 && party.front() == 'c' && std::isdigit(party[1]) != 0) return "controller";
  return party;
}

}  // namespace

Traffic& LiveWires::traffic_of(const std::string& from, const std::string& to, const std::string& target) {
  const std::string path = target.substr(0, target.find_first_of("/?", 1));
  return traffic_[role_of(from, true) + ">" + role_of(to, false) + " " + path];
}

Endpoint loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

void LiveWires::send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                     Done done) {
  switch (links.asking(from, names_[to])) {
    case Cut::none: {
      Traffic& traffic = traffic_of(from, names_[to], request.target);
      ++traffic.requests;
      traffic.request_bytes += request.body.size();
      rt_.fetch(to, std::move(request), timeout, [&traffic, done = std::move(done)](const Outcome& o) {
        if (o.answered) traffic.response_bytes += o.response.body.size();
        done(o);
      });
      return;
    }
    case Cut::hold:
      // It arrives once the link is whole, when nobody waits for the answer any more.
      held_.push_back([this, to, request = std::move(request), timeout] {
        rt_.fetch(to, request, timeout, [](const Outcome&) {});
      });
      rt_.after(timeout, [done = std::move(done)] { done({false, true, {}}); });
      return;
    case Cut::reset:
      rt_.after(millis(1), [done = std::move(done)] { done({false, false, {}}); });
      return;
  }
}

std::optional<Endpoint> LiveWires::serve(const std::string& who, Handler handler) {
  for (int i = 0; i < kTriedPorts && next_port_ < kMostPort; ++i) {
    const Endpoint at = loopback(next_port_++);
    try {
      serve_at(at, who, "", handler);
      return at;
    } catch (const std::runtime_error&) {
      continue;  // somebody else's
    }
  }
  return std::nullopt;
}

void LiveWires::serve_at(const Endpoint& at, const std::string& who, const std::string& from,
                         Handler handler) {
  rt_.listen(at, kLabSockets,
             [this, who, from, handler = std::move(handler)](const Request& r, const Answer& answer) {
               const Cut cut = links.asking(from, who);
               if (cut == Cut::none) {
                 Traffic& traffic = traffic_of(from, who, r.target);
                 ++traffic.requests;
                 traffic.request_bytes += r.body.size();
                 handler(from, r, [&traffic, answer](const Response& response) {
                   traffic.response_bytes += response.body.size();
                   answer(response);
                 });
               } else if (cut == Cut::hold) {
                 held_.push_back([handler, from, r] { handler(from, r, [](const Response&) {}); });
               }
               // Nothing is said through a cut; the other side's patience ends it.
             });
  names_[at] = who;
}

void LiveWires::unserve(const Endpoint& at) {
  names_.erase(at);
  rt_.close(at);
}

void LiveWires::heal() {
  links.heal();
  auto held = std::move(held_);
  held_.clear();
  for (auto& f : held) rt_.after(millis(1), std::move(f));
}

}  // namespace wrenusher::lab

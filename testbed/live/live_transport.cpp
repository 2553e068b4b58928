#include "wrenusher/testbed/live_transport.hpp"

#include <cctype>
#include <stdexcept>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxPort = 65000;
/// Ports in a row that others may hold.
constexpr int kTriedPorts = 200;

/// Machines are alike; controllers are told apart where they ask.
std::string role_of(const std::string& party, bool asks) {
  if (party.starts_with("m-")) return "worker";
  if (!asks && party.size() > 1 && party.front() == 'c' && std::isdigit(party[1]) != 0) return "controller";
  return party;
}

}  // namespace

Traffic& LiveTransport::traffic_of(const std::string& from, const std::string& to,
                                   const std::string& target) {
  const std::string path = target.substr(0, target.find_first_of("/?", 1));
  return traffic_[role_of(from, true) + ">" + role_of(to, false) + " " + path];
}

Endpoint loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

void LiveTransport::send(const std::string& from, const Endpoint& to, Request request, Micros timeout,
                         CallHandler done) {
  switch (links.asking(from, names_[to])) {
    case LinkCut::none: {
      Traffic& traffic = traffic_of(from, names_[to], request.target);
      ++traffic.requests;
      traffic.request_bytes += request.body.size();
      runtime_.call(to, std::move(request), timeout, [&traffic, done = std::move(done)](const CallResult& o) {
        if (o.answered) traffic.response_bytes += o.response.body.size();
        done(o);
      });
      return;
    }
    case LinkCut::hold:
      // It arrives once the link is whole, when nobody waits for the answer any more.
      held_messages_.push_back([this, to, request = std::move(request), timeout] {
        runtime_.call(to, request, timeout, [](const CallResult&) {});
      });
      runtime_.after(timeout, [done = std::move(done)] { done({false, true, {}}); });
      return;
    case LinkCut::reset:
      runtime_.after(from_millis(1), [done = std::move(done)] { done({false, false, {}}); });
      return;
  }
}

std::optional<Endpoint> LiveTransport::serve(const std::string& who, Handler handler) {
  for (int i = 0; i < kTriedPorts && next_port_ < kMaxPort; ++i) {
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

void LiveTransport::serve_at(const Endpoint& at, const std::string& who, const std::string& from,
                             Handler handler) {
  runtime_.listen(
      at, kTestbedSockets,
      [this, who, from, handler = std::move(handler)](const Request& r, const Responder& answer) {
        const LinkCut cut = links.asking(from, who);
        if (cut == LinkCut::none) {
          Traffic& traffic = traffic_of(from, who, r.target);
          ++traffic.requests;
          traffic.request_bytes += r.body.size();
          handler(from, r, [&traffic, answer](const Response& response) {
            traffic.response_bytes += response.body.size();
            answer(response);
          });
        } else if (cut == LinkCut::hold) {
          held_messages_.push_back([handler, from, r] { handler(from, r, [](const Response&) {}); });
        }
        // Nothing is said through a cut; the other side's patience ends it.
      });
  names_[at] = who;
}

void LiveTransport::unserve(const Endpoint& at) {
  names_.erase(at);
  runtime_.close(at);
}

void LiveTransport::heal() {
  links.heal();
  auto held = std::move(held_messages_);
  held_messages_.clear();
  for (auto& f : held) runtime_.after(from_millis(1), std::move(f));
}

}  // namespace wrenusher::testbed

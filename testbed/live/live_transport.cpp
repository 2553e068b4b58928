#include "wrenusher/testbed/live_transport.hpp"

#include <cctype>
#include <stdexcept>

namespace wrenusher::testbed {

namespace {

constexpr int kMaxPort = 65000;
/// Ports that `serve` tries before it gives up; other processes may use some of them.
constexpr int kMaxPortAttempts = 200;

/// Returns the role under which the party's traffic is counted. All machines share one role; a controller
/// keeps its own name as the sender and shares one role as the receiver.
std::string role_of(const std::string& party, bool is_sender) {
  if (party.starts_with("m-")) return "worker";
  if (!is_sender && party.size() > 1 && party.front() == 'c' && std::isdigit(party[1]) != 0)
    return "controller";
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
      runtime_.call(to, std::move(request), timeout,
                    [&traffic, done = std::move(done)](const CallResult& result) {
                      if (result.answered) traffic.response_bytes += result.response.body.size();
                      done(result);
                    });
      return;
    }
    case LinkCut::hold:
      // The request is delivered after the link is restored; the caller has timed out, so the response is
      // dropped.
      held_requests_.push_back([this, to, request = std::move(request), timeout] {
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
  for (int i = 0; i < kMaxPortAttempts && next_port_ < kMaxPort; ++i) {
    const Endpoint at = loopback(next_port_++);
    try {
      serve_at(at, who, "", handler);
      return at;
    } catch (const std::runtime_error&) {
      continue;  // port used by another process
    }
  }
  return std::nullopt;
}

void LiveTransport::serve_at(const Endpoint& at, const std::string& who, const std::string& from,
                             Handler handler) {
  runtime_.listen(
      at, kTestbedSockets,
      [this, who, from, handler = std::move(handler)](const Request& request, const Responder& respond) {
        const LinkCut cut = links.asking(from, who);
        if (cut == LinkCut::none) {
          Traffic& traffic = traffic_of(from, who, request.target);
          ++traffic.requests;
          traffic.request_bytes += request.body.size();
          handler(from, request, [&traffic, respond](const Response& response) {
            traffic.response_bytes += response.body.size();
            respond(response);
          });
        } else if (cut == LinkCut::hold) {
          held_requests_.push_back(
              [handler, from, request] { handler(from, request, [](const Response&) {}); });
        }
        // A request over a cut link gets no response; it ends with the sender's timeout.
      });
  names_[at] = who;
}

void LiveTransport::unserve(const Endpoint& at) {
  names_.erase(at);
  runtime_.close(at);
}

void LiveTransport::heal() {
  links.heal();
  auto requests = std::move(held_requests_);
  held_requests_.clear();
  for (auto& deliver : requests) runtime_.after(from_millis(1), std::move(deliver));
}

}  // namespace wrenusher::testbed

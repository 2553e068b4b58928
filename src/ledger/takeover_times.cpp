#include "wrenusher/ledger/takeover_times.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::ledger {

namespace {

/// What is not there by then is told as missing.
constexpr Micros kLongest = from_seconds(25);
/// The last machines that were heard but for one in ten.
constexpr double kMost = 0.9;

std::string text(Micros t) {
  return t.count() < 0 ? "-" : fmt::format("{:.2f}", to_seconds(t));
}

}  // namespace

void TakeoverTimes::begin(const TermChanged& t, Instant now) {
  open_ = true;
  began_ = now;
  told_ = {};
  told_.term = t.epoch;
  if (t.last_word != Instant{}) told_.silence = now - t.last_word;
  if (t.noticed != Instant{}) told_.noticed = now - t.noticed;
  awaited_.clear();
  times_.clear();
}

void TakeoverTimes::awaits(const std::string& host) {
  if (open_) awaited_.insert(host);
}

void TakeoverTimes::read(bool by_copy, Instant now) {
  told_.warm = by_copy;
  told_.read = now - began_;
}

void TakeoverTimes::heard(const std::string& host, Instant now) {
  if (!open_) return;
  if (told_.first_machine.count() < 0) told_.first_machine = now - began_;
  if (awaited_.erase(host) > 0) times_.push_back(now - began_);
}

void TakeoverTimes::started(Instant now) {
  if (open_ && told_.first_start.count() < 0) told_.first_start = now - began_;
}

std::optional<TakenOver> TakeoverTimes::ended(std::size_t claims_unproven, Instant now) {
  if (!open_ || told_.read.count() < 0) return std::nullopt;
  if (claims_unproven == 0 && told_.whole.count() < 0) told_.whole = now - began_;
  const bool over = told_.whole.count() >= 0 && awaited_.empty();
  if (!over && now - began_ < kLongest) return std::nullopt;
  open_ = false;
  told_.told_after = now - began_;
  told_.machines = static_cast<std::uint32_t>(times_.size());
  told_.missing = static_cast<std::uint32_t>(awaited_.size());
  if (!times_.empty()) {
    told_.last_machine = times_.back();
    told_.most_machines = times_[static_cast<std::size_t>(kMost * static_cast<double>(times_.size() - 1))];
  }
  log::info(
      "taken_over",
      "term {term}: {silence} s after the last word of the one before, {noticed} s after its hold's end; "
      "then records {read} s ({way}), first machine {first_machine} s, first start {first_start} s, nine "
      "in ten of {machines} machines {most} s, the last {last} s, all claims settled {whole} s; not heard: "
      "{missing}",
      log::with("term", told_.term), log::with("silence", text(told_.silence)),
      log::with("noticed", text(told_.noticed)), log::with("read", text(told_.read)),
      log::with("way", told_.warm ? "copied" : "read"), log::with("first_machine", text(told_.first_machine)),
      log::with("first_start", text(told_.first_start)), log::with("machines", told_.machines),
      log::with("most", text(told_.most_machines)), log::with("last", text(told_.last_machine)),
      log::with("whole", text(told_.whole)), log::with("missing", told_.missing));
  return told_;
}

}  // namespace wrenusher::ledger

#include "wrenusher/leader/failover_timer.hpp"

#include <algorithm>

#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

/// What is not there by then is told as missing.
constexpr Micros kMaxFailoverTime = from_seconds(25);
/// The last machines that were heard but for one in ten.
constexpr double kMostMachinesShare = 0.9;

std::string readiness_text(Micros t) {
  return t.count() < 0 ? "-" : fmt::format("{:.2f}", to_seconds(t));
}

}  // namespace

void FailoverTimer::begin(const TermChanged& term, Instant now) {
  running_ = true;
  began_ = now;
  times_so_far_ = {};
  times_so_far_.term = term.fencing_token;
  if (term.last_heartbeat != Instant{}) times_so_far_.silence = now - term.last_heartbeat;
  if (term.vacancy_noticed != Instant{}) times_so_far_.vacancy = now - term.vacancy_noticed;
  expected_machines_.clear();
  report_times_.clear();
}

void FailoverTimer::expect_machine(const std::string& host) {
  if (running_) expected_machines_.insert(host);
}

void FailoverTimer::on_records_read(bool by_copy, Instant now) {
  times_so_far_.from_replica = by_copy;
  times_so_far_.records_read = now - began_;
}

void FailoverTimer::on_machine_reported(const std::string& host, Instant now) {
  if (!running_) return;
  if (times_so_far_.first_machine.count() < 0) times_so_far_.first_machine = now - began_;
  if (expected_machines_.erase(host) > 0) report_times_.push_back(now - began_);
}

void FailoverTimer::on_first_start(Instant now) {
  if (running_ && times_so_far_.first_start.count() < 0) times_so_far_.first_start = now - began_;
}

std::optional<FailoverTimes> FailoverTimer::finish(std::size_t claims_unproven, Instant now) {
  if (!running_ || times_so_far_.records_read.count() < 0) return std::nullopt;
  if (claims_unproven == 0 && times_so_far_.all_located.count() < 0) times_so_far_.all_located = now - began_;
  const bool over = times_so_far_.all_located.count() >= 0 && expected_machines_.empty();
  if (!over && now - began_ < kMaxFailoverTime) return std::nullopt;
  running_ = false;
  times_so_far_.reported_after = now - began_;
  times_so_far_.machines = static_cast<std::uint32_t>(report_times_.size());
  times_so_far_.missing = static_cast<std::uint32_t>(expected_machines_.size());
  if (!report_times_.empty()) {
    times_so_far_.last_machine = report_times_.back();
    times_so_far_.most_machines = report_times_[static_cast<std::size_t>(
        kMostMachinesShare * static_cast<double>(report_times_.size() - 1))];
  }
  log::info(
      "taken_over",
      "term {term}: {silence} s after the last word of the one before, {noticed} s after its hold's end; "
      "then records {read} s ({way}), first machine {first_machine} s, first start {first_start} s, nine "
      "in ten of {machines} machines {most} s, the last {last} s, all claims settled {whole} s; not heard: "
      "{missing}",
      log::with("term", times_so_far_.term), log::with("silence", readiness_text(times_so_far_.silence)),
      log::with("noticed", readiness_text(times_so_far_.vacancy)),
      log::with("read", readiness_text(times_so_far_.records_read)),
      log::with("way", times_so_far_.from_replica ? "copied" : "read"),
      log::with("first_machine", readiness_text(times_so_far_.first_machine)),
      log::with("first_start", readiness_text(times_so_far_.first_start)),
      log::with("machines", times_so_far_.machines),
      log::with("most", readiness_text(times_so_far_.most_machines)),
      log::with("last", readiness_text(times_so_far_.last_machine)),
      log::with("whole", readiness_text(times_so_far_.all_located)),
      log::with("missing", times_so_far_.missing));
  return times_so_far_;
}

}  // namespace wrenusher::leader

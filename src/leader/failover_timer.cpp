#include "wrenusher/leader/failover_timer.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::leader {

namespace {

/// Phases and machines that are not complete after this time are reported as missing.
constexpr Micros kMeasurementTimeout = time::from_seconds(25);
/// `ninety_percent_machines` is the time until this share of the `machines_reported` machines had reported.
constexpr double kMostMachinesShare = 0.9;

/// Formats a duration in seconds, or returns "-" for a phase that has not been reached (negative duration).
std::string seconds_text(Micros duration) {
  return duration.count() < 0 ? "-" : fmt::format("{:.2f}", time::to_seconds(duration));
}

}  // namespace

void FailoverTimer::begin(const events::TermChanged& term, Instant now) {
  measuring_ = true;
  term_began_ = now;
  times_so_far_ = {};
  times_so_far_.term = term.fencing_token;
  if (term.last_heartbeat != Instant{}) times_so_far_.since_last_heartbeat = now - term.last_heartbeat;
  if (term.lease_expiry_noticed != Instant{})
    times_so_far_.since_lease_expiry = now - term.lease_expiry_noticed;
  expected_machines_.clear();
  report_times_.clear();
}

void FailoverTimer::expect_machine(const std::string& host) {
  if (measuring_) expected_machines_.insert(host);
}

void FailoverTimer::on_records_loaded(bool from_replica, Instant now) {
  times_so_far_.from_replica = from_replica;
  times_so_far_.records_read = now - term_began_;
}

void FailoverTimer::on_machine_reported(const std::string& host, Instant now) {
  if (!measuring_) return;
  if (times_so_far_.first_machine.count() < 0) times_so_far_.first_machine = now - term_began_;
  if (expected_machines_.erase(host) > 0) report_times_.push_back(now - term_began_);
}

void FailoverTimer::on_first_start(Instant now) {
  if (measuring_ && times_so_far_.first_start.count() < 0) times_so_far_.first_start = now - term_began_;
}

std::optional<events::FailoverTimes> FailoverTimer::finish(std::size_t unconfirmed_assignments, Instant now) {
  if (!measuring_ || times_so_far_.records_read.count() < 0) return std::nullopt;
  if (unconfirmed_assignments == 0 && times_so_far_.all_located.count() < 0)
    times_so_far_.all_located = now - term_began_;
  const bool complete = times_so_far_.all_located.count() >= 0 && expected_machines_.empty();
  if (!complete && now - term_began_ < kMeasurementTimeout) return std::nullopt;
  measuring_ = false;
  times_so_far_.reported_after = now - term_began_;
  summarize_machines();
  log_times();
  return times_so_far_;
}

void FailoverTimer::summarize_machines() {
  times_so_far_.machines_reported = static_cast<std::uint32_t>(report_times_.size());
  times_so_far_.machines_missing = static_cast<std::uint32_t>(expected_machines_.size());
  if (report_times_.empty()) return;
  times_so_far_.last_machine = report_times_.back();
  times_so_far_.ninety_percent_machines = report_times_[static_cast<std::size_t>(
      kMostMachinesShare * static_cast<double>(report_times_.size() - 1))];
}

void FailoverTimer::log_times() const {
  log::info(
      "failover_finished",
      "term {term}: won {silence} s after the last heartbeat of the previous leader and {vacancy} s after "
      "its lease expired; times since then: records loaded {records} s (from {source}), first machine "
      "reported {first_machine} s, first task started {first_start} s, 90% of {machines} machines reported "
      "{most} s, last machine reported {last} s, all assignments located {located} s; machines that have not "
      "reported: {missing}",
      log::with("term", times_so_far_.term),
      log::with("silence", seconds_text(times_so_far_.since_last_heartbeat)),
      log::with("vacancy", seconds_text(times_so_far_.since_lease_expiry)),
      log::with("records", seconds_text(times_so_far_.records_read)),
      log::with("source", times_so_far_.from_replica ? "replica" : "store"),
      log::with("first_machine", seconds_text(times_so_far_.first_machine)),
      log::with("first_start", seconds_text(times_so_far_.first_start)),
      log::with("machines", times_so_far_.machines_reported),
      log::with("most", seconds_text(times_so_far_.ninety_percent_machines)),
      log::with("last", seconds_text(times_so_far_.last_machine)),
      log::with("located", seconds_text(times_so_far_.all_located)),
      log::with("missing", times_so_far_.machines_missing));
}

}  // namespace wrenusher::leader

#include "wrenusher/worker_gateway/delivery_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenusher::worker_gateway {

namespace {

/// What a lease counts that ran out though reports came and were answered all along.
constexpr int kLeaseLost = 2;

/// A start shows whatever comes of it, and what is reaped shows no more. What is halted may go on for a
/// while.
bool proves_delivery(const WorkerCommand& command) {
  return command.verb != WorkerCommand::Verb::stop;
}

bool is_visible_next(const WorkerCommand& command, const WorkerReport& report) {
  const bool there = std::any_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    return task.task == command.task && task.attempt == command.attempt && task.job_id == command.job_id;
  });
  return there == (command.verb == WorkerCommand::Verb::start);
}

}  // namespace

void DeliveryMonitor::on_reply(std::uint64_t fencing_token, const std::vector<WorkerCommand>& commands) {
  replied_ = true;
  fencing_token_ = fencing_token;
  commands_.clear();
  std::copy_if(commands.begin(), commands.end(), std::back_inserter(commands_), proves_delivery);
}

void DeliveryMonitor::on_report(const WorkerReport& report, bool steady) {
  const bool answered = std::exchange(replied_, false);
  const std::uint64_t before = std::exchange(incarnation_, report.incarnation);
  const bool rose = report.fencing_token > std::exchange(reported_token_, report.fencing_token);
  const std::uint64_t last = std::exchange(sequence_, report.sequence);
  const std::uint64_t calls = std::exchange(polls_, 0);
  if (!answered) return;
  if (report.fencing_token < fencing_token_) {
    ++unobserved_replies_;  // every answer tells it a token that it has to take
  } else if (rose) {
    unobserved_replies_ = 0;
  } else if (report.incarnation != before) {
    // All that was on it is gone, whatever it was told.
    if (steady) unobserved_replies_ += kLeaseLost;
  } else if (!commands_.empty()) {
    const bool any = std::any_of(commands_.begin(), commands_.end(), [&](const WorkerCommand& command) {
      return is_visible_next(command, report);
    });
    unobserved_replies_ = any ? 0 : unobserved_replies_ + 1;
  } else if (steady) {
    // Whoever gets no answer reports to the next node, which sends it back here: that report is missing in
    // the count.
    unobserved_replies_ = report.sequence > last + 1 + calls ? unobserved_replies_ + 1 : 0;
  }
}

}  // namespace wrenusher::worker_gateway

#include "wrenusher/worker_gateway/delivery_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenusher::worker_gateway {

using protocol::TaskReport;
using protocol::WorkerCommand;
using protocol::WorkerReport;

namespace {

/// How many unobserved replies a lease counts for that expired although reports arrived and were answered.
constexpr int kLeaseLost = 2;

/// A start shows in the next report, whatever became of the task, and a task that was to be forgotten shows
/// no more. A task that was to be stopped may go on for a while.
bool proves_delivery(const WorkerCommand& command) {
  return command.verb != WorkerCommand::Verb::stop;
}

bool shows(const WorkerReport& report, const WorkerCommand& command) {
  const bool listed = std::any_of(report.tasks.begin(), report.tasks.end(), [&](const TaskReport& task) {
    return task.task == command.task && task.attempt == command.attempt && task.job_id == command.job_id;
  });
  return listed == (command.verb == WorkerCommand::Verb::start);
}

}  // namespace

void DeliveryMonitor::on_reply(std::uint64_t fencing_token, const std::vector<WorkerCommand>& commands) {
  replied_ = true;
  reply_token_ = fencing_token;
  reply_commands_.clear();
  std::copy_if(commands.begin(), commands.end(), std::back_inserter(reply_commands_), proves_delivery);
}

void DeliveryMonitor::on_report(const WorkerReport& report, bool steady) {
  const bool replied = std::exchange(replied_, false);
  const LastReport last =
      std::exchange(last_report_, {report.fencing_token, report.incarnation, report.sequence});
  const std::uint64_t polls = std::exchange(polls_, 0);
  if (replied) compare(report, last, polls, steady);
}

void DeliveryMonitor::compare(const WorkerReport& report, const LastReport& last, std::uint64_t polls,
                              bool steady) {
  if (report.fencing_token < reply_token_) {
    count(false);  // the worker takes the fencing token of every answer that arrives
  } else if (report.fencing_token > last.fencing_token) {
    count(true);
  } else if (report.incarnation != last.incarnation) {
    // All tasks that were on the machine are gone, whatever it was answered.
    if (steady) unobserved_replies_ += kLeaseLost;
  } else if (!reply_commands_.empty()) {
    count(std::any_of(reply_commands_.begin(), reply_commands_.end(),
                      [&](const WorkerCommand& command) { return shows(report, command); }));
  } else if (steady) {
    // A worker that gets no answer sends its report to the next node, which redirects it here: the sequence
    // number of that report is missing.
    count(report.sequence <= last.sequence + 1 + polls);
  }
}

}  // namespace wrenusher::worker_gateway

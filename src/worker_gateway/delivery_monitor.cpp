#include "wrenusher/worker_gateway/delivery_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenusher::worker_gateway {

using protocol::TaskReport;
using protocol::WorkerCommand;
using protocol::WorkerReport;

namespace {

/// A lease that expired although reports arrived and were answered counts as this many unobserved replies.
constexpr int kUnobservedPerExpiredLease = 2;

/// Returns whether the next report shows if the command arrived. After a start the task is listed, whatever
/// its state; after a forget command the task is no longer listed. A stop proves nothing, since the task may
/// take a while to exit.
bool proves_delivery(const WorkerCommand& command) {
  return command.verb != WorkerCommand::Verb::stop;
}

/// Returns whether the report shows the effect of the start or forget command.
bool shows_effect(const WorkerReport& report, const WorkerCommand& command) {
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

void DeliveryMonitor::on_report(const WorkerReport& report, bool on_time) {
  const bool replied = std::exchange(replied_, false);
  const LastReport last =
      std::exchange(last_report_, {report.fencing_token, report.incarnation, report.sequence});
  const std::uint64_t calls = std::exchange(calls_, 0);
  if (replied) compare(report, last, calls, on_time);
}

void DeliveryMonitor::compare(const WorkerReport& report, const LastReport& last, std::uint64_t calls,
                              bool on_time) {
  if (report.fencing_token < reply_token_) {
    count(false);  // the worker adopts the fencing token of every reply that arrives
  } else if (report.fencing_token > last.fencing_token) {
    count(true);
  } else if (report.incarnation != last.incarnation) {
    // The worker has lost all its tasks, so the effect of single commands cannot be compared.
    if (on_time) unobserved_replies_ += kUnobservedPerExpiredLease;
  } else if (!reply_commands_.empty()) {
    count(std::any_of(reply_commands_.begin(), reply_commands_.end(),
                      [&](const WorkerCommand& command) { return shows_effect(report, command); }));
  } else if (on_time) {
    // A worker that receives no reply sends its next report to another node, which redirects it here. The
    // sequence number of the redirected report is missing.
    count(report.sequence <= last.sequence + 1 + calls);
  }
}

}  // namespace wrenusher::worker_gateway

#pragma once
// Limits on the messages between controllers and workers whose size grows with the number of tasks. PROTOCOL
// limits request bodies, and responses to workers, to 64 KiB in their JSON form. Reports and commands have
// one entry per task, so the limit becomes one on the entries of a message. The limits hold for entries of
// the greatest size that PROTOCOL allows, whatever the jobs' ids and attempt numbers are.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wrenusher::protocol {

/// Maximum size of a request body, and of a response to a worker, in bytes of JSON.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

inline constexpr std::size_t kMaxJobIdBytes = 64;
/// Greatest size of a task's name: the job's id, a slash, and a task number below 100,000.
inline constexpr std::size_t kMaxTaskNameBytes = kMaxJobIdBytes + 1 + 5;
/// Greatest size of an integer below 2^64 in JSON.
inline constexpr std::size_t kMaxCountBytes = 20;
/// Greatest size of a number with a fraction in JSON.
inline constexpr std::size_t kMaxDecimalBytes = 24;

/// Greatest size of a task's entry in a report, with its separator. An exited task's entry is the longest.
inline constexpr std::size_t kMaxTaskEntryBytes =
    std::string_view(R"({"unit":"","try":,"status":"ended","cause":"stopped","kept":false},)").size() +
    kMaxTaskNameBytes + kMaxCountBytes;
/// Room for the fields of a report besides its tasks: four names of up to 200 bytes, numbers and field names.
inline constexpr std::size_t kMaxReportHeadBytes = 2048;
/// Maximum number of tasks in a report, and therefore on a machine: its report lists every task, running or
/// exited, and the controllers refuse a report above the size limit, so that the machine's lease expires.
inline constexpr std::uint32_t kMaxTasksPerMachine =
    (kMaxBodyBytes - kMaxReportHeadBytes) / kMaxTaskEntryBytes;

/// Greatest size of a command, with its separator. A stop is the longest.
inline constexpr std::size_t kMaxCommandBytes =
    std::string_view(R"({"verb":"halt","unit":"","try":,"leeway_s":},)").size() + kMaxTaskNameBytes +
    kMaxCountBytes + kMaxDecimalBytes;
/// Size of a message of commands without its commands; those of a call to a worker have the longer form.
inline constexpr std::size_t kCommandsHeadBytes =
    std::string_view(R"({"epoch":,"tenure":,"orders":[]})").size() + 2 * kMaxCountBytes;
/// Maximum number of commands in the reply to a report, and in a call to a worker.
inline constexpr std::size_t kMaxCommandsPerMessage = (kMaxBodyBytes - kCommandsHeadBytes) / kMaxCommandBytes;

static_assert(kMaxCommandsPerMessage >= kMaxTasksPerMachine,
              "one message must be able to stop all tasks of a machine");

}  // namespace wrenusher::protocol

#pragma once
// The result of a run: the outcome of every job, and whether any rule was broken.

#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

struct Verdict {
  struct Row {
    std::string job_id;
    std::string job_class;
    std::uint32_t tasks = 0;
    std::string state;  ///< done, withdrawn or refused; the current state if the job has not ended
    Micros took{};      ///< from submission to the answer with the final state; 0 if the job has not ended
    bool lost = false;  ///< neither refused nor ended
  };
  std::vector<Row> rows;
  std::vector<std::string> broken;  ///< broken rules, one line each
  std::size_t lost = 0;
  /// No job was lost, no rule was broken, and at least one task was started.
  bool good = false;
};

Verdict judge(const Users& users, const Machines& machines, const Checker& checker);
/// Returns a human-readable table of the jobs and the broken rules.
std::string table(const Verdict& v);

}  // namespace wrenusher::testbed

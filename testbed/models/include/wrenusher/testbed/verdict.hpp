#pragma once
// What a run came to, in the end: every job's fate, and whether anything is wrong.

#include "wrenusher/testbed/users.hpp"

namespace wrenusher::testbed {

struct Verdict {
  struct Row {
    std::string job_id;
    std::string job_class;
    std::uint32_t tasks = 0;
    std::string state;  ///< done, withdrawn, refused, or where it stands if it is not over
    Micros took{};      ///< from submission to the answer that said so; 0 while it is not over
    bool lost = false;  ///< accepted and not over
  };
  std::vector<Row> rows;
  std::vector<std::string> broken;  ///< rules, a line each
  std::size_t lost = 0;
  /// Nothing lost, no rule broken, and anything was run at all.
  bool good = false;
};

Verdict judge(const Users& users, const Machines& machines, const Checker& checker);
/// A table for people.
std::string table(const Verdict& v);

}  // namespace wrenusher::testbed

#pragma once
// What the rules' checker says of a simulated world.

#include <gtest/gtest.h>

#include "wrenusher/testbed/world.hpp"

inline std::string notes(const wrenusher::testbed::World& w) {
  std::string out;
  for (const std::string& n : w.checker.notes()) out += n + "\n";
  return out;
}

inline void expect_kept(const wrenusher::testbed::World& w) {
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
}

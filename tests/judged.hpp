#pragma once
// What the rules' checker says of a simulated world.

#include <gtest/gtest.h>

#include "wrenusher/lab/world.hpp"

inline std::string notes(const wrenusher::lab::World& w) {
  std::string out;
  for (const std::string& n : w.checker.notes()) out += n + "\n";
  return out;
}

inline void expect_kept(const wrenusher::lab::World& w) {
  EXPECT_TRUE(w.checker.broken().empty()) << notes(w);
}

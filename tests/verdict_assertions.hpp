#pragma once
// Test helpers for the broken rules that the checker of a simulated world reports.

#include <gtest/gtest.h>

#include "wrenusher/testbed/world.hpp"

/// Returns the checker's notes, one line each.
inline std::string notes(const wrenusher::testbed::World& world) {
  std::string out;
  for (const std::string& n : world.checker.notes()) out += n + "\n";
  return out;
}

/// Expects that no rule is broken.
inline void expect_kept(const wrenusher::testbed::World& world) {
  EXPECT_TRUE(world.checker.broken().empty()) << notes(world);
}

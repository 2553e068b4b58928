// Tests of the containers that several packages share.

#include <gtest/gtest.h>

#include <string>

#include "wrenusher/containers/aged_set.hpp"

namespace {

using wrenusher::containers::AgedSet;
using wrenusher::time::from_seconds;
using wrenusher::time::Instant;

Instant at(double seconds) {
  return Instant{from_seconds(seconds)};
}

TEST(AgedSetTest, InsertReturnsWhetherKeyIsNew) {
  AgedSet<std::string> set;
  EXPECT_TRUE(set.insert("a", at(1)));
  EXPECT_FALSE(set.insert("a", at(2)));
  EXPECT_TRUE(set.contains("a"));
  EXPECT_EQ(set.size(), 1U);
}

TEST(AgedSetTest, ErasesMembersOlderThanMaxAge) {
  AgedSet<std::string> set;
  set.insert("a", at(1));
  set.insert("b", at(2));
  set.erase_older_than(from_seconds(1), at(2));  // a member of exactly the maximum age is kept
  EXPECT_TRUE(set.contains("a"));
  set.erase_older_than(from_seconds(1), at(2.5));
  EXPECT_FALSE(set.contains("a"));
  EXPECT_TRUE(set.contains("b"));
}

TEST(AgedSetTest, RepeatedInsertKeepsFirstInsertionTime) {
  AgedSet<std::string> set;
  set.insert("a", at(1));
  set.insert("a", at(5));
  set.erase_older_than(from_seconds(2), at(5));
  EXPECT_FALSE(set.contains("a"));
}

TEST(AgedSetTest, ErasedMemberCanBeInsertedAgain) {
  AgedSet<std::string> set;
  set.insert("a", at(1));
  set.erase_older_than(from_seconds(1), at(10));
  EXPECT_TRUE(set.insert("a", at(10)));
  set.erase_older_than(from_seconds(1), at(11));
  EXPECT_TRUE(set.contains("a"));
}

TEST(AgedSetTest, ShrinkErasesOldestMembers) {
  AgedSet<int> set;
  for (int n = 0; n < 5; ++n) set.insert(n, at(n));
  set.shrink_to(2);
  EXPECT_EQ(set.size(), 2U);
  EXPECT_FALSE(set.contains(2));
  EXPECT_TRUE(set.contains(3));
  EXPECT_TRUE(set.contains(4));
}

TEST(AgedSetTest, ClearErasesAllMembers) {
  AgedSet<int> set;
  set.insert(1, at(1));
  set.clear();
  EXPECT_TRUE(set.empty());
  EXPECT_FALSE(set.contains(1));
  EXPECT_TRUE(set.insert(1, at(0)));
}

}  // namespace

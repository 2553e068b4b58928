// The lab on loopback: what controllers are given when they start.

#include "wrenusher/testbed/live_testbed.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace {

using namespace wrenusher::testbed;

// A controller that began while its tunables were written for the next one read none, and kept to the
// defaults: idle machines went back, and no topology was in force until another one led.
TEST(LiveLab, TunablesAreThereBeforeAnyControllerStarts) {
  wrenusher::net::UvRuntime runtime(1000);
  TestbedOptions options;
  options.site = parse_site(small_site_yaml(), "built-in site");
  options.program = "/bin/true";
  options.port = 17600;
  options.tunables = "idle_return_s: 3600\n";
  LiveTestbed lab(runtime, options);
  const std::filesystem::path log = lab.log_of(0);
  const std::filesystem::path tunables = log.parent_path() / "tunables.yaml";
  EXPECT_EQ(wrenusher::config_reader::read_text(tunables.string()), options.tunables);
  // The first controller's log is opened right before it is started; /bin/true writes nothing to it.
  EXPECT_LE(std::filesystem::last_write_time(tunables), std::filesystem::last_write_time(log));
  lab.stop([&] { runtime.stop(); });
  runtime.run();
}

}  // namespace

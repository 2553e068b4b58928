// The live testbed on loopback: the files that controllers get when they start.

#include "wrenusher/testbed/live_testbed.hpp"

#include <gtest/gtest.h>

#include <filesystem>

namespace {

using namespace wrenusher::testbed;

// Guards against a race: a controller that started while the tunables file was rewritten for the next
// controller read no tunables and kept the defaults. Idle machines were then returned to the cloud, and no
// topology was in effect until another controller became leader.
TEST(LiveTestbedTest, WritesTunablesBeforeStartingControllers) {
  wrenusher::net::UvRuntime runtime(1000);
  TestbedOptions options;
  options.site = parse_site(small_site_yaml(), "built-in site");
  options.program = "/bin/true";
  options.port = 17600;
  options.tunables = "idle_return_s: 3600\n";
  LiveTestbed live_testbed(runtime, options);
  const std::filesystem::path log = live_testbed.log_of(0);
  const std::filesystem::path tunables = log.parent_path() / "tunables.yaml";
  EXPECT_EQ(wrenusher::config_reader::read_text(tunables.string()), options.tunables);
  // A controller's log is created right before the controller starts, and /bin/true writes nothing to it. So
  // the modification time of the log is the start time.
  EXPECT_LE(std::filesystem::last_write_time(tunables), std::filesystem::last_write_time(log));
  live_testbed.stop([&] { runtime.stop(); });
  runtime.run();
}

}  // namespace

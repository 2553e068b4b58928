#pragma once
// Names, ports and settings files of the live testbed's controllers.

#include <string>

#include "wrenusher/testbed/live_testbed.hpp"

namespace wrenusher::testbed {

// Offsets from the testbed's first port. The first two ports are the balancer's and the control interface's;
// then come blocks of ten with one port for each controller.
inline constexpr int kClientPort = 10;
inline constexpr int kPeerPort = 20;
inline constexpr int kKvPort = 30;
inline constexpr int kCloudPort = 40;
inline constexpr int kRelayPort = 50;  ///< a block of ten for each controller, one port for each of its peers
inline constexpr int kMachinePort = 200;

/// Returns the host name of a controller.
std::string controller_name(int controller);
/// Returns the contents of a controller's settings file, as JSON.
std::string controller_settings(const TestbedOptions& options, int controller);

}  // namespace wrenusher::testbed

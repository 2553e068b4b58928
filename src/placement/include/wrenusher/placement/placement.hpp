#pragma once
// Package placement: decides which task runs on which machine, with the ranking, ordering and placement steps
// of the paper that docs/design.md names (section IV.B). It reads neither stored records nor clocks: the
// caller passes the time.
//
// This header includes the pure functions. PlacementIndex (placement_index.hpp) keeps the machines and
// waiting jobs in indexes and makes the plans. The package may depend on time, value, runtime, settings,
// protocol and topology.

#include "wrenusher/placement/deadlines.hpp"
#include "wrenusher/placement/machine_fit.hpp"
#include "wrenusher/placement/plan_types.hpp"
#include "wrenusher/placement/preemption.hpp"
#include "wrenusher/placement/quotas.hpp"

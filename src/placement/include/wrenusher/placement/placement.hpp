#pragma once
// Package placement: decides which task runs on which machine, by the paper's rank, order and place (section
// IV.B). It knows neither records nor clocks: the caller passes the time. This header has its pure functions;
// PlacementIndex (placement_index.hpp) keeps what they look at in indexes. It may depend on time, value,
// runtime, settings, protocol and topology.

#include "wrenusher/placement/deadlines.hpp"
#include "wrenusher/placement/machine_fit.hpp"
#include "wrenusher/placement/plan_types.hpp"
#include "wrenusher/placement/preemption.hpp"
#include "wrenusher/placement/quotas.hpp"

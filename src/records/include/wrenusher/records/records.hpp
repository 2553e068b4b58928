#pragma once
// Package records: the records in the state service (the key-value store of the controllers), their keys and
// codecs. It owns no state and may depend on time, value and protocol. The keys and values are:
//   leader            {node, epoch}, attached to the leader's lease; see package membership
//   epoch             {epoch, topology}: the last fencing token and the active topology; see package
//                     membership
//   job/<id>          {spec, t: accepted at (ms), b: tasks per block, wd: cancelled}; written by any node
//   claims/<shard>    [shard, [id, block, version, last attempt, done ranges, [[host, attempt, ranges],
//                     ...]], ...]: blocks (ranges of tasks) of several jobs; only written by the leader.
//                     If there are two copies of a block, the one with the higher version is valid. The value
//                     contains the shard number so that a value stored under the wrong key is detected
//   end/<id>          {s: "done" or "withdrawn", n: tasks}, kept forever
//   catalog           the cloud's last reply to GET /catalog; see package provisioner

#include "wrenusher/records/job_record.hpp"
#include "wrenusher/records/record_keys.hpp"
#include "wrenusher/records/record_snapshot.hpp"
#include "wrenusher/records/shard_record.hpp"

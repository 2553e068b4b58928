#pragma once
// Package records: the records in the state service, their keys and codecs. It owns no state and may depend
// on time, value and protocol. In the names of the state service:
//   leader            {node, epoch}, attached to the leader's lease; package membership
//   epoch             {epoch, topology}: the last fencing token and the topology in force; package membership
//   job/<id>          {spec, t: accepted at (ms), b: tasks per block, wd: cancelled}; put by any node
//   claims/<shard>    [shard, [id, block, version, last attempt, done ranges, [[host, attempt, ranges],
//   ...]], ...]:
//                     blocks of several jobs; put by the leader alone. Of two copies of a block the one with
//                     the higher version counts. The number of the shard stands in the value, so that a value
//                     that came under another's key is found out
//   end/<id>          {s: "done" or "withdrawn", n: tasks}, kept for ever
//   catalog           the cloud's last reply to GET /catalog; package provisioner

#include "wrenusher/records/job_record.hpp"
#include "wrenusher/records/record_keys.hpp"
#include "wrenusher/records/record_snapshot.hpp"
#include "wrenusher/records/shard_record.hpp"

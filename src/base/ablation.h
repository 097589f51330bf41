// Leaves one mechanism out, to measure what it is worth. For measuring only: a
// daemon that serves callers uses all of them.

#ifndef MEDLARSPREAD_BASE_ABLATION_H_
#define MEDLARSPREAD_BASE_ABLATION_H_

#include "src/base/name_table.h"

namespace medlarspread::base {

enum class Mechanism {
  // Stands for none.
  kNothing,
  // A second send of a shard whose reply is overdue.
  kSecondSends,
  // Connections that are opened ahead of second sends.
  kPreparedConnections,
  // Replies of losers that are waited for a moment, to learn from them.
  kLingering,
  // Another send to a leaf that refused for want of room.
  kRepeats,
  // In the choice of a leaf: how slow it was of late.
  kSlowness,
  // That it stands still.
  kStalls,
  // Its share of failures.
  kFailureShare,
  // Going round it for a while after a failure.
  kAvoidance,
  // That it started a moment ago.
  kColdStarts,
  // That a connection has to be opened first.
  kConnectCost,
  // What it has in work for this daemon.
  kInFlight,
  // The window of requests at a late leaf.
  kLeafPace,
  // Closing connections that the last moments did not need.
  kSpareConnections,
  // Refusing what the admitted requests leave no time for.
  kBacklogGate,
  // Handing parts of requests to daemons near the leaves.
  kAggregators,
  // Counting what other daemons tell of the leaves.
  kSharedReports,
};

inline constexpr NameTable<Mechanism, 17> kMechanismNames{{{
    {Mechanism::kNothing, "nothing"},
    {Mechanism::kSecondSends, "second_sends"},
    {Mechanism::kPreparedConnections, "prepared_connections"},
    {Mechanism::kLingering, "lingering"},
    {Mechanism::kRepeats, "repeats"},
    {Mechanism::kSlowness, "slowness"},
    {Mechanism::kStalls, "stalls"},
    {Mechanism::kFailureShare, "failure_share"},
    {Mechanism::kAvoidance, "avoidance"},
    {Mechanism::kColdStarts, "cold_starts"},
    {Mechanism::kConnectCost, "connect_cost"},
    {Mechanism::kInFlight, "in_flight"},
    {Mechanism::kLeafPace, "leaf_pace"},
    {Mechanism::kSpareConnections, "spare_connections"},
    {Mechanism::kBacklogGate, "backlog_gate"},
    {Mechanism::kAggregators, "aggregators"},
    {Mechanism::kSharedReports, "shared_reports"},
}}};

class Ablation {
 public:
  Ablation() = default;
  explicit Ablation(Mechanism without) : without_(without) {}

  bool has(Mechanism mechanism) const { return mechanism != without_; }

 private:
  Mechanism without_ = Mechanism::kNothing;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_ABLATION_H_

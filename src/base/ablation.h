// Ablation: switches one mechanism off to measure its effect. For measurements
// only; a daemon in production uses all of them.

#ifndef MEDLARSPREAD_BASE_ABLATION_H_
#define MEDLARSPREAD_BASE_ABLATION_H_

#include "src/base/name_table.h"

namespace medlarspread::base {

enum class Mechanism {
  // No mechanism is switched off.
  kNothing,
  // Hedging: a second send of a shard request whose reply is overdue.
  kSecondSends,
  // Connections opened in advance for second sends.
  kPreparedConnections,
  // Waiting briefly for replies that are no longer needed, to record their
  // latency.
  kLingering,
  // Retries after a leaf refused a request because it was full.
  kRepeats,
  // Leaf selection: the leaf's recent latency.
  kSlowness,
  // Leaf selection: whether the leaf is stalled.
  kStalls,
  // Leaf selection: the leaf's failure rate.
  kFailureShare,
  // Leaf selection: avoiding a leaf for a while after a failure.
  kAvoidance,
  // Leaf selection: whether the leaf started recently.
  kColdStarts,
  // Leaf selection: the cost of opening a connection first.
  kConnectCost,
  // Leaf selection: this daemon's requests in flight at the leaf.
  kInFlight,
  // The limit on requests in flight at a leaf that replies late.
  kLeafPace,
  // Closing connections that were not needed recently.
  kSpareConnections,
  // Refusing requests that can't meet their deadline behind those admitted
  // before them.
  kBacklogGate,
  // Handing parts of requests over to daemons near the leaves.
  kAggregators,
  // Using other daemons' reports about the leaves.
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

// Tells which mechanisms are switched on: all but at most one.
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

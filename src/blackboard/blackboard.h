// The blackboard: current views that the controllers of one daemon publish for
// each other and the traffic threads. Each entry has one writer, named here.

#ifndef MEDLARSPREAD_BLACKBOARD_BLACKBOARD_H_
#define MEDLARSPREAD_BLACKBOARD_BLACKBOARD_H_

#include "src/blackboard/cell.h"
#include "src/blackboard/views.h"
#include "src/store/position.h"

namespace medlarspread::blackboard {

struct Blackboard {
  // Written by membership::MembershipController.
  Cell<MembershipView> membership;
  // Written by upstream::UpstreamController.
  Cell<UpstreamsView> upstreams;
  // Written by targets::TargetsController. The revision never decreases.
  Cell<TargetsView> targets;
  Cell<RoutesView> routes;
  // Written by daemon::StoreControllers: how far the store's changes are known.
  Cell<store::Position> store;
  // Written by quarantine::VerdictController.
  Cell<QuarantineView> quarantine;
  // Written by burn::BurnController.
  Cell<BurnView> burn;
  // Written by daemon::Daemon.
  Cell<LifecycleView> lifecycle;
};

}  // namespace medlarspread::blackboard

#endif  // MEDLARSPREAD_BLACKBOARD_BLACKBOARD_H_

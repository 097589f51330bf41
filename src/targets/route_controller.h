// Puts the operators' routes into force: only ever a higher revision.

#ifndef MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_
#define MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_

#include "src/base/log.h"
#include "src/base/result.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::targets {

// Runs on the control thread; the only writer of Blackboard::routes.
class RouteController {
 public:
  RouteController(blackboard::Blackboard& blackboard, base::Log log);

  // A revision was read somewhere, perhaps late or stale; true if it came into
  // force. One that can't be read leaves the last good one in force.
  bool DidRead(base::Result<blackboard::RoutesView> routes);

 private:
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_

// Puts the operators' routes into force: only ever a higher revision.

#ifndef MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_
#define MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_

#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/result.h"
#include "src/blackboard/blackboard.h"
#include "src/store/position.h"

namespace medlarspread::targets {

// How routes came to this daemon; for the log.
struct RoutesOrigin {
  // Where they stand in the store.
  store::Position position;
  // "the store", or the address of the peer that passed them on.
  std::string source;
  // How long ago the store had last answered whoever read it; absent if that is
  // not known.
  std::optional<base::Duration> age;
};

// Runs on the control thread; the only writer of Blackboard::routes.
class RouteController {
 public:
  RouteController(blackboard::Blackboard& blackboard, base::Log log);

  // A revision was read somewhere, perhaps late or stale; true if it came into
  // force. One that can't be read leaves the last good one in force.
  bool DidRead(base::Result<blackboard::RoutesView> routes,
               const RoutesOrigin& origin = {});

 private:
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_

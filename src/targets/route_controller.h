// Puts the operators' routes into force; only a higher revision replaces the
// current one.

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

// The origin of routes, for the log.
struct RoutesOrigin {
  // Their position in the store.
  store::Position position;
  // "the store", or the address of the peer that sent them.
  std::string source;
  // The time since the store last answered the daemon that read it; absent if
  // unknown.
  std::optional<base::Duration> age;
};

// Runs on the control thread; the only writer of Blackboard::routes.
class RouteController {
 public:
  RouteController(blackboard::Blackboard& blackboard, base::Log log);

  // Handles routes that were read, which may be late or stale. Returns whether
  // they came into force. Malformed routes leave the last valid ones in force.
  bool DidRead(base::Result<blackboard::RoutesView> routes,
               const RoutesOrigin& origin = {});

 private:
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_ROUTE_CONTROLLER_H_

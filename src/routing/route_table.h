// Finds the route of a request: among the routes of its host, the one with the
// longest prefix that begins the path.

#ifndef MEDLARSPREAD_ROUTING_ROUTE_TABLE_H_
#define MEDLARSPREAD_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::routing {

class RouteTable {
 public:
  using RoutePointer = std::shared_ptr<const blackboard::WorkRoute>;

  explicit RouteTable(std::shared_ptr<const blackboard::RoutesView> view);

  // `host` may be followed by a port; `target` by a query. Null if no route
  // takes the request.
  RoutePointer Find(std::string_view host, std::string_view target) const;

  const blackboard::RoutesView& view() const { return *view_; }

 private:
  const std::shared_ptr<const blackboard::RoutesView> view_;
  // By host in lower case; the longest prefix first.
  std::unordered_map<std::string, std::vector<RoutePointer>> hosts_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_ROUTE_TABLE_H_

// Finds the route of a request: the route of its host with the longest prefix
// of the path.

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

  // `host` may include a port and `target` a query string. Null if no route
  // matches the request.
  RoutePointer Find(std::string_view host, std::string_view target) const;

  const blackboard::RoutesView& view() const { return *view_; }

 private:
  const std::shared_ptr<const blackboard::RoutesView> view_;
  // By lower-case host; the routes with the longest prefix first.
  std::unordered_map<std::string, std::vector<RoutePointer>> hosts_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_ROUTE_TABLE_H_

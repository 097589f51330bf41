// Index of the routes by host and prefix length.

#include "src/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace medlarspread::routing {

namespace {

// Strips the port and converts to lower case, since host names are
// case-insensitive.
std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const blackboard::RoutesView> view)
    : view_(std::move(view)) {
  for (const RoutePointer& route : view_->routes) {
    hosts_[NormalizeHost(route->host)].push_back(route);
  }
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RoutePointer& left, const RoutePointer& right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
}

RouteTable::RoutePointer RouteTable::Find(std::string_view host,
                                          std::string_view target) const {
  const auto row = hosts_.find(NormalizeHost(host));
  if (row == hosts_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const RoutePointer& route : row->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace medlarspread::routing

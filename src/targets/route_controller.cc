// Compares revisions before it publishes routes.

#include "src/targets/route_controller.h"

#include <string>
#include <utility>

namespace medlarspread::targets {

namespace {

std::string Describe(const RoutesOrigin& origin) {
  const std::string age =
      origin.age ? std::to_string(origin.age->count() / 1000) + " ms old"
                 : "of unknown age";
  return ToString(origin.position) + ", from " + origin.source + ", " + age;
}

}  // namespace

RouteController::RouteController(blackboard::Blackboard& blackboard,
                                 base::Log log)
    : blackboard_(blackboard), log_(std::move(log)) {}

bool RouteController::DidRead(base::Result<blackboard::RoutesView> routes,
                              const RoutesOrigin& origin) {
  const auto known = blackboard_.routes.Read();
  if (!routes.is_ok()) {
    log_.DidFail(routes.error(), "ignored malformed routes; revision " +
                                     std::to_string(known->revision) +
                                     " stays in force; " + Describe(origin));
    return false;
  }
  const std::int64_t revision = routes.value().revision;
  if (revision == known->revision) {
    return false;
  }
  if (revision < known->revision) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kTargets,
                .message = "routes of revision " + std::to_string(revision) +
                           " are ignored, " + std::to_string(known->revision) +
                           " is in force; " + Describe(origin)});
    return false;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kTargets,
              .message = "routes of revision " + std::to_string(revision) +
                         " are in force after " +
                         std::to_string(known->revision) + "; " +
                         std::to_string(routes.value().routes.size()) +
                         " routes; " + Describe(origin)});
  blackboard_.routes.Write(std::move(routes.value()));
  return true;
}

}  // namespace medlarspread::targets

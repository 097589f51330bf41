// Map of dispatchers that is guarded by a mutex.

#include "src/routing/dispatcher_set.h"

#include <utility>

namespace medlarspread::routing {

DispatcherSet::DispatcherSet(MakeDispatcher make) : make_(std::move(make)) {}

std::shared_ptr<Dispatcher> DispatcherSet::Of(const std::string& collection) {
  const std::lock_guard lock(mutex_);
  auto& dispatcher = dispatchers_[collection];
  if (!dispatcher) {
    dispatcher = make_(collection);
  }
  return dispatcher;
}

std::vector<DispatcherSet::Row> DispatcherSet::rows() const {
  const std::lock_guard lock(mutex_);
  std::vector<Row> rows;
  for (const auto& [collection, dispatcher] : dispatchers_) {
    rows.push_back({collection, dispatcher->queued(), dispatcher->running()});
  }
  return rows;
}

}  // namespace medlarspread::routing

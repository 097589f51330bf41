// The dispatchers of one daemon: one per collection, created on first use.

#ifndef MEDLARSPREAD_ROUTING_DISPATCHER_SET_H_
#define MEDLARSPREAD_ROUTING_DISPATCHER_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/routing/dispatcher.h"

namespace medlarspread::routing {

// Safe to use from any thread.
class DispatcherSet {
 public:
  using MakeDispatcher =
      std::function<std::shared_ptr<Dispatcher>(const std::string& collection)>;

  explicit DispatcherSet(MakeDispatcher make);

  std::shared_ptr<Dispatcher> Of(const std::string& collection);

  struct Row {
    std::string collection;
    int queued = 0;
    int running = 0;
  };
  std::vector<Row> rows() const;

 private:
  const MakeDispatcher make_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Dispatcher>> dispatchers_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_DISPATCHER_SET_H_

// The client of the platform's key-value store.

#ifndef MEDLARSPREAD_PLATFORM_STORE_CALLS_H_
#define MEDLARSPREAD_PLATFORM_STORE_CALLS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/store/event_source.h"

namespace medlarspread::platform {

struct StoreCallsSettings {
  // "ip:port" of the store.
  std::string address;
  // Timeout of a call, in addition to the time that a watch waits.
  base::Duration timeout = store::kCallTimeout;
};

// Calls share persistent connections, and no call is sent twice. After a call
// without an answer the next ones use new connections. `did_see_era` is called
// for each answer that names the store's era, error responses included, before
// the call's own callback. Runs on the control thread.
class StoreCalls {
 public:
  StoreCalls(boost::asio::io_context& context,
             base::TaskRunner control,
             StoreCallsSettings settings,
             std::function<void(std::int64_t era)> did_see_era,
             base::Log log);
  ~StoreCalls();

  StoreCalls(const StoreCalls&) = delete;
  StoreCalls& operator=(const StoreCalls&) = delete;

  store::EventSource source();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_STORE_CALLS_H_

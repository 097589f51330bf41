// The client of the platform's store.

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
  // How long a call may take beside the time that a watch waits. The store
  // answers in 4 ms, and in 60 times as long on a slow day.
  base::Duration timeout = base::Milliseconds(1'000);
};

// Calls share kept connections; none is sent twice. Each answer that names the
// store's era, also one that turns the call away, is told to `did_see_era`
// before the call's own callback. Runs on the control thread.
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

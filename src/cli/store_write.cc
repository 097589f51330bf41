// Runs an event loop until the write has finished.

#include "src/cli/store_write.h"

#include <chrono>

#include <boost/asio/io_context.hpp>

#include "src/platform/store_calls.h"

namespace medlarspread::cli {

namespace {

// The store usually answers in 4 ms, and takes up to 60 times as long when it
// is slow.
constexpr base::Duration kTimeout = base::Milliseconds(3'000);
constexpr std::int64_t kNoLease = 0;

}  // namespace

base::Status WriteKeyAndWait(const std::string& address,
                             const std::string& key,
                             const std::string& value) {
  boost::asio::io_context context;
  const base::TaskRunner runner(context);
  platform::StoreCalls calls(
      context, runner, {address, kTimeout}, [](std::int64_t) {}, base::Log());
  base::Status result =
      base::MakeError(base::ErrorCode::kTimeout, base::Step::kWriteStore,
                      address, "no reply in time");
  calls.source().put(key, value, kNoLease, [&](const base::Status& written) {
    result = written;
    context.stop();
  });
  context.run_for(2 * kTimeout);
  return result;
}

}  // namespace medlarspread::cli

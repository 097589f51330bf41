// Runs the store's client until its one call has ended.

#include "src/cli/store_write.h"

#include <chrono>

#include <boost/asio/io_context.hpp>

#include "src/platform/store_calls.h"

namespace medlarspread::cli {

namespace {

// The store answers in 4 ms, and in 60 times as long on a slow day.
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
                      address, "no answer in time");
  calls.source().put(key, value, kNoLease, [&](const base::Status& written) {
    result = written;
    context.stop();
  });
  context.run_for(2 * kTimeout);
  return result;
}

}  // namespace medlarspread::cli

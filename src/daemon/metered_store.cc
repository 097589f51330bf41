// Wraps the callback of each store operation.

#include "src/daemon/metered_store.h"

#include <string>
#include <utility>

namespace medlarspread::daemon {

namespace {

using metrics::Counter;
using metrics::Distribution;

template <typename Result>
bool IsFailure(const Result& result) {
  return !result.is_ok() && result.error().code != base::ErrorCode::kConflict &&
         result.error().code != base::ErrorCode::kNotFound;
}

// Wraps a callback: counts the call at once, and a failure and the latency when
// the callback runs.
class CallMeter {
 public:
  CallMeter(metrics::Registry& registry, base::Clock clock)
      : registry_(registry), clock_(std::move(clock)) {}

  template <typename Callback>
  auto Measure(Callback callback) const {
    return Wrap(std::move(callback), true);
  }

  template <typename Callback>
  auto Count(Callback callback) const {
    return Wrap(std::move(callback), false);
  }

 private:
  template <typename Callback>
  auto Wrap(Callback callback, bool is_timed) const {
    registry_.Count(Counter::kStoreCalls);
    return [this_copy = *this, is_timed, started = clock_.Now(),
            callback = std::move(callback)](auto result) {
      if (IsFailure(result)) {
        this_copy.registry_.Count(Counter::kStoreFailures);
      }
      if (is_timed) {
        this_copy.registry_.Observe(Distribution::kStoreLatency,
                                    this_copy.clock_.Now() - started);
      }
      callback(std::move(result));
    };
  }

  metrics::Registry& registry_;
  base::Clock clock_;
};

}  // namespace

store::Store MeterStore(store::Store store,
                        metrics::Registry& registry,
                        const base::Clock& clock) {
  using store::Store;
  const CallMeter meter(registry, clock);
  Store metered;
  metered.read = [meter, read = std::move(store.read)](
                     std::string key, base::Duration timeout,
                     Store::ReadCallback callback) {
    read(std::move(key), timeout, meter.Measure(std::move(callback)));
  };
  metered.compare_and_swap =
      [meter, swap = std::move(store.compare_and_swap)](
          std::string key, std::string value, std::int64_t expected_version,
          base::Duration timeout, Store::WriteCallback callback) {
        swap(std::move(key), std::move(value), expected_version, timeout,
             meter.Measure(std::move(callback)));
      };
  metered.list = [meter, list = std::move(store.list)](
                     std::string prefix, base::Duration timeout,
                     Store::ListCallback callback) {
    list(std::move(prefix), timeout, meter.Measure(std::move(callback)));
  };
  metered.erase = [meter, erase = std::move(store.erase)](
                      std::string key, std::int64_t expected_version,
                      base::Duration timeout, Store::EraseCallback callback) {
    erase(std::move(key), expected_version, timeout,
          meter.Measure(std::move(callback)));
  };
  metered.watch = [meter, watch = std::move(store.watch)](
                      std::string key, std::int64_t after_version,
                      base::Duration wait, Store::ReadCallback callback) {
    watch(std::move(key), after_version, wait,
          meter.Count(std::move(callback)));
  };
  return metered;
}

}  // namespace medlarspread::daemon

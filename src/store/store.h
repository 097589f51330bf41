// The interface to the platform's key-value service: a set of calls that the
// HTTP client provides on a daemon, and a fake in tests.

#ifndef MEDLARSPREAD_STORE_STORE_H_
#define MEDLARSPREAD_STORE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace medlarspread::store {

struct Entry {
  std::string key;
  std::string value;
  // Increases with each write of the key and is never reused.
  std::int64_t version = 0;

  friend bool operator==(const Entry&, const Entry&) = default;
};

// The version that CompareAndSwap expects of a key that must not exist yet.
constexpr std::int64_t kAbsent = 0;

// Every callback runs once, on the sequence that the client was built with.
// Errors: kUnavailable, kUnreachable and kOverloaded mean that nothing was
// done; kConflict that the swap was refused; kUnknownOutcome that a write may
// or may not have taken effect, so that the caller has to read the key back.
struct Store {
  using ReadCallback = std::function<void(base::Result<std::optional<Entry>>)>;
  using WriteCallback = std::function<void(base::Result<std::int64_t>)>;
  using ListCallback = std::function<void(base::Result<std::vector<Entry>>)>;
  using EraseCallback = std::function<void(base::Status)>;

  std::function<void(std::string key, base::Duration timeout, ReadCallback)>
      read;
  std::function<void(std::string key,
                     std::string value,
                     std::int64_t expected_version,
                     base::Duration timeout,
                     WriteCallback)>
      compare_and_swap;
  std::function<void(std::string prefix, base::Duration timeout, ListCallback)>
      list;
  std::function<void(std::string key,
                     std::int64_t expected_version,
                     base::Duration timeout,
                     EraseCallback)>
      erase;
  // Calls back once the key's version is above `after_version`, or without an
  // entry after `wait`.
  std::function<void(std::string key,
                     std::int64_t after_version,
                     base::Duration wait,
                     ReadCallback)>
      watch;
};

enum class VmRole { kEntry, kUpstream };

// One VM of the platform's list, which lags behind the actual state.
struct Vm {
  std::string name;
  VmRole role = VmRole::kEntry;
  std::string address;
  std::string region;
  std::string failure_domain;
  bool is_leaving = false;
  // Empty for entry VMs.
  std::string collection;

  friend bool operator==(const Vm&, const Vm&) = default;
};

using VmListCallback = std::function<void(base::Result<std::vector<Vm>>)>;
using ReadVmList = std::function<void(base::Duration timeout, VmListCallback)>;

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_STORE_H_

// The client of the platform's key-value service: implements store::Store with
// calls over HTTP. It classifies each failed write as certainly not made or
// possibly made, because callers act on that difference.

#ifndef MEDLARSPREAD_STORE_STORE_CLIENT_H_
#define MEDLARSPREAD_STORE_STORE_CLIENT_H_

#include <cstddef>
#include <memory>
#include <string>

#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::store {

// The service rejects larger values.
constexpr std::size_t kMaxValueBytes = 1 << 20;

// The longest wait of a watch. It keeps the HTTP library's own timeout per read
// (30 s) from ending the watch first.
constexpr base::Duration kMaxWatchWait = base::Milliseconds(20000);

struct StoreClientSettings {
  // "ip:port" of the service.
  std::string address;
  // A list of many entries is larger than one value.
  std::size_t max_body_bytes = 16 << 20;
  // How long the reply to a watch may take beyond the wait that was asked for.
  base::Duration watch_margin = base::Milliseconds(2000);
};

class StoreClient {
 public:
  // Callbacks run on `sequence`.
  StoreClient(StoreClientSettings settings, base::TaskRunner sequence);

  // Reads fail with what the HTTP client reports, kOverloaded (429),
  // kUnavailable (any 5xx) or kMalformed. Writes fail with
  //   kUnreachable, kOverloaded, kTooLarge, kInvalidArgument: not made;
  //   kConflict, or kNotFound for an erase: refused, so not made;
  //   kUnknownOutcome: anything else, a 5xx included, because the service
  //   does not promise that a request answered so was not made.
  // The calls may outlive this object.
  Store store() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_STORE_CLIENT_H_

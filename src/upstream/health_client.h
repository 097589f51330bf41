// Reads the health of leaves over HTTP. Shares the limit on connections per
// leaf with queries.

#ifndef MEDLARSPREAD_UPSTREAM_HEALTH_CLIENT_H_
#define MEDLARSPREAD_UPSTREAM_HEALTH_CLIENT_H_

#include <functional>
#include <memory>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_connections.h"
#include "src/upstream/leaf_message.h"

namespace medlarspread::upstream {

// Called once, from any thread. Errors: kUnreachable, kConnectionLost and
// kTimeout if there was no answer; kMalformed if the answer was invalid;
// kOverloaded if nothing was sent because all connections to the leaf were in
// use.
using HealthCallback = std::function<void(base::Result<LeafHealth>)>;
using ReadHealth = std::function<
    void(const blackboard::Upstream&, base::Duration timeout, HealthCallback)>;

class HealthClient {
 public:
  explicit HealthClient(std::shared_ptr<LeafConnections> connections)
      : connections_(std::move(connections)) {}

  // Stays valid after this object is destroyed.
  ReadHealth read_health() const;

 private:
  std::shared_ptr<LeafConnections> connections_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_HEALTH_CLIENT_H_

// Reads the health of leaves over HTTP, through the same bounded connections
// as their queries.

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
// kTimeout if there was no answer; kMalformed if it made no sense; kOverloaded
// if it was not asked because all connections to the leaf were taken.
using HealthCallback = std::function<void(base::Result<LeafHealth>)>;
using ReadHealth = std::function<
    void(const blackboard::Upstream&, base::Duration timeout, HealthCallback)>;

class HealthClient {
 public:
  explicit HealthClient(std::shared_ptr<LeafConnections> connections)
      : connections_(std::move(connections)) {}

  // Stays valid after this object is gone.
  ReadHealth read_health() const;

 private:
  std::shared_ptr<LeafConnections> connections_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_HEALTH_CLIENT_H_

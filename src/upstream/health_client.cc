// Implementation of upstream::HealthClient: `GET /v1/health`.

#include "src/upstream/health_client.h"

#include <string>

namespace medlarspread::upstream {

ReadHealth HealthClient::read_health() const {
  return [connections = connections_](const blackboard::Upstream& upstream,
                                      base::Duration timeout,
                                      HealthCallback callback) {
    const std::string address = upstream.address;
    http::Request message;
    message.path = "/v1/health";
    const bool is_sent = connections->TrySend(
        upstream, LeafConnections::Use::kControl, message, timeout,
        [address, callback](const base::Result<http::Response>& result) {
          callback(DecodeHealth(address, result));
        });
    if (!is_sent) {
      callback(base::MakeError(base::ErrorCode::kOverloaded,
                               base::Step::kSendUpstream, address,
                               "all connections to the leaf are in use"));
    }
  };
}

}  // namespace medlarspread::upstream

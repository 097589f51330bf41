// Dispatches each message from a peer to the component that handles its type.

#ifndef MEDLARSPREAD_DAEMON_MESSAGE_ROUTER_H_
#define MEDLARSPREAD_DAEMON_MESSAGE_ROUTER_H_

#include "src/claims/claim_service.h"
#include "src/membership/membership_controller.h"
#include "src/peer/message.h"
#include "src/routing/sub_query_client.h"
#include "src/routing/sub_query_server.h"
#include "src/targets/targets_controller.h"

namespace medlarspread::daemon {

// The components must outlive the router. Safe to use from any thread.
class MessageRouter {
 public:
  MessageRouter(membership::MembershipController& membership,
                targets::TargetsController& targets,
                claims::ClaimService& claims,
                routing::SubQueryClient& sub_query_client,
                routing::SubQueryServer& sub_query_server);

  void DidReceive(const peer::Sender& sender, const peer::Message& message);
  void DidLosePeer(const std::string& peer);

 private:
  membership::MembershipController& membership_;
  targets::TargetsController& targets_;
  claims::ClaimService& claims_;
  routing::SubQueryClient& sub_query_client_;
  routing::SubQueryServer& sub_query_server_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_MESSAGE_ROUTER_H_

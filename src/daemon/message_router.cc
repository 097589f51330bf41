// Visits the variant of all message types.

#include "src/daemon/message_router.h"

#include <variant>

#include "src/base/overloaded.h"

namespace medlarspread::daemon {

namespace {

namespace wire = peer::wire;

}  // namespace

MessageRouter::MessageRouter(membership::MembershipController& membership,
                             targets::TargetsController& targets,
                             claims::ClaimService& claims,
                             routing::SubQueryClient& sub_query_client,
                             routing::SubQueryServer& sub_query_server)
    : membership_(membership),
      targets_(targets),
      claims_(claims),
      sub_query_client_(sub_query_client),
      sub_query_server_(sub_query_server) {}

void MessageRouter::DidReceive(const peer::Sender& sender,
                               const peer::Message& message) {
  sub_query_client_.DidHearFrom(sender.name);
  std::visit(base::Overloaded{
                 [&](const wire::Heartbeat& heartbeat) {
                   membership_.DidReceiveHeartbeat(sender, heartbeat);
                 },
                 [&](const wire::SubQuery& sub_query) {
                   sub_query_server_.DidReceive(sender, sub_query);
                 },
                 [&](const wire::CancelSubQuery& cancel) {
                   sub_query_server_.DidReceive(sender, cancel);
                 },
                 [&](const wire::ShardReply& reply) {
                   sub_query_client_.DidReceive(sender, reply);
                 },
                 [&](const wire::TargetsRequest& request) {
                   targets_.DidReceive(sender, request);
                 },
                 [&](const wire::TargetsBody& body) {
                   targets_.DidReceive(sender, body);
                 },
                 [&](const wire::ClaimRequest& request) {
                   claims_.DidReceive(sender, request);
                 },
                 [&](const wire::ClaimReply& reply) {
                   claims_.DidReceive(sender, reply);
                 },
             },
             message);
}

void MessageRouter::DidLosePeer(const std::string& peer) {
  sub_query_client_.DidLosePeer(peer);
  sub_query_server_.DidLosePeer(peer);
  claims_.DidLosePeer(peer);
}

}  // namespace medlarspread::daemon

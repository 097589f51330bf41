// Writes each message field by field, the most relevant fields first.

#include "tests/golden/message_text.h"

#include <variant>

#include "src/base/overloaded.h"
#include "src/claims/claim_port.h"
#include "src/routing/shard_request.h"

namespace medlarspread::golden {

namespace {

namespace wire = peer::wire;

std::string RangeText(int low, int high) {
  return "[" + std::to_string(low) + "," + std::to_string(high) + ")";
}

std::string SnapshotText(std::int64_t index, std::int64_t layout) {
  return std::to_string(index) + ":" + std::to_string(layout);
}

std::string SubQueryText(const wire::SubQuery& message) {
  std::string text = "sub_query " + std::to_string(message.sub_query_id) +
                     " request " + message.request_id + " snapshot " +
                     SnapshotText(message.snapshot.index_version,
                                  message.snapshot.layout_version);
  for (const auto& range : message.ranges) {
    text += " " + RangeText(range.low, range.high);
  }
  text += " deadline_left_us " + std::to_string(message.deadline_left_us);
  text += message.is_hedge ? " second_send" : "";
  text += message.is_at_most_once ? " at_most_once" : "";
  return text;
}

std::string ShardReplyText(const wire::ShardReply& message) {
  return "shard_reply " + std::to_string(message.sub_query_id) + " request " +
         message.request_id + " snapshot " +
         SnapshotText(message.snapshot.index_version,
                      message.snapshot.layout_version) +
         " " + RangeText(message.range.low, message.range.high) + " " +
         routing::ShardOutcomeName(
             static_cast<routing::ShardOutcome>(message.outcome)) +
         " sends " + std::to_string(message.sends) + " retry_after_ms " +
         std::to_string(message.retry_after_ms) + " items " + message.items;
}

}  // namespace

std::string TextOf(const peer::Message& message) {
  return std::visit(
      base::Overloaded{
          [](const wire::SubQuery& body) { return SubQueryText(body); },
          [](const wire::ShardReply& body) { return ShardReplyText(body); },
          [](const wire::CancelSubQuery& body) {
            return "cancel_sub_query " + std::to_string(body.sub_query_id);
          },
          [](const wire::ClaimRequest& body) {
            return "claim_request " + std::to_string(body.claim_id) + " " +
                   body.request_id + " nonce " + body.nonce;
          },
          [](const wire::ClaimReply& body) {
            return "claim_reply " + std::to_string(body.claim_id) + " " +
                   body.request_id + " " +
                   claims::ClaimOutcomeName(
                       static_cast<claims::ClaimOutcome>(body.outcome));
          },
          [](const wire::TargetsRequest& body) {
            return "targets_request above " +
                   std::to_string(body.above_revision);
          },
          [](const wire::TargetsBody& body) {
            return "targets_body revision " + std::to_string(body.revision);
          },
          [](const wire::Heartbeat&) { return std::string("heartbeat"); },
      },
      message);
}

std::string TextOf(const upstream::LeafRequest& request) {
  return "query attempt " + request.attempt_id + " request " +
         request.request_id + " snapshot " +
         SnapshotText(request.snapshot.index_version,
                      request.snapshot.layout_version) +
         " " + RangeText(request.range.low, request.range.high) +
         " deadline_left_us " + std::to_string(request.deadline_left.count()) +
         (request.is_at_most_once ? " at_most_once" : "");
}

std::string TextOf(const targets::ChangeOutcome& outcome) {
  return std::visit(
      base::Overloaded{
          [](const targets::ChangeAccepted& change) {
            return "accepted revision " + std::to_string(change.revision);
          },
          [](const targets::ChangeLost& change) {
            return "lost to revision " + std::to_string(change.revision) +
                   " of " + change.winner_change_id;
          },
          [](const targets::ChangeNotFound& change) {
            return "not found " + change.class_name;
          },
          [](const targets::ChangeInvalid& change) {
            return "invalid " + change.field + ": " + change.detail;
          },
          [](const targets::ChangeRefused& change) {
            return "refused " + change.error.ToString();
          },
          [](const targets::ChangeUnknown& change) {
            return "unknown " + change.error.ToString();
          },
      },
      outcome);
}

}  // namespace medlarspread::golden

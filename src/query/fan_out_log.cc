// Log messages of a fanned-out request: its answer, with the missing shards and
// the repeated sends, and leaves that were replaced.

#include "src/query/fan_out_session.h"

namespace medlarspread::query {

namespace {

using base::Step;

// The maximum number of repeated sends listed in one log line.
constexpr int kMaxListedRepeats = 8;

}  // namespace

void FanOutSession::LogAnswer(const ForwardedAnswer& answer) const {
  dependencies_->log.Write(
      {.level = base::LogLevel::kInfo,
       .step = Step::kForward,
       .request_id = request_.request_id,
       .message =
           Describe(answer) + "; route=" + route_.targets.name +
           " revision=" + std::to_string(request_.routes_revision) + " ms=" +
           std::to_string((dependencies_->clock.Now() - arrived_).count() /
                          1000) +
           " sends=" + std::to_string(sends_) + " extra=" +
           std::to_string(extra_sends_) + " lost=" + std::to_string(lost_) +
           " fingerprint=" + quarantine::ToText(request_.fingerprint) +
           DescribeMissing() + DescribeRepeats()});
}

void FanOutSession::LogFailedSend(const Shard& shard,
                                  const Attempt& attempt,
                                  const upstream::ForwardReply& reply) const {
  dependencies_->log.DidFail(
      reply.error,
      "a send of " + shard.collection + " to " + attempt.leaf.name +
          " over connection " + std::to_string(attempt.connection) +
          " failed after " + std::to_string(reply.service_time.count() / 1000) +
          " ms",
      request_.request_id);
}

void FanOutSession::LogReplaced(const blackboard::Upstream& leaf,
                                bool is_replaced) const {
  dependencies_->log.Write(
      {.level = base::LogLevel::kWarning,
       .step = Step::kReadUpstream,
       .peer = leaf.address,
       .request_id = request_.request_id,
       .message = "leaf " + leaf.name + " of " + leaf.collection +
                  (is_replaced ? " is gone: another leaf has its address; "
                                 "it receives no more requests"
                               : " answers again; it receives requests "
                                 "again")});
}

std::string FanOutSession::DescribeMissing() const {
  std::string text;
  for (const Shard& shard : shards_) {
    if (shard.state == ShardState::kAnswered) {
      continue;
    }
    text += (text.empty() ? " missing=" : ",") + shard.collection +
            "/sends:" + std::to_string(shard.sends) +
            "/obstacle:" + kSendObstacleNames.NameOf(shard.obstacle);
    if (!shard.attempts.empty()) {
      text += "/last:" + shard.attempts.back()->leaf.name;
    }
  }
  return text;
}

std::string FanOutSession::DescribeRepeats() const {
  std::string text;
  int unnamed = 0;
  int named = 0;
  for (const Shard& shard : shards_) {
    for (const auto& attempt : shard.attempts) {
      if (attempt->cause == SendCause::kFirst && !attempt->paid) {
        continue;
      }
      if (named == kMaxListedRepeats) {
        ++unnamed;
        continue;
      }
      ++named;
      text += (text.empty() ? " repeats=" : ",") + shard.collection + "/" +
              kSendCauseNames.NameOf(attempt->cause) + "/" +
              (attempt->paid ? admission::kAllowanceNames.NameOf(*attempt->paid)
                             : "free") +
              "/" + attempt->leaf.name;
    }
  }
  return unnamed == 0 ? text : text + ",+" + std::to_string(unnamed);
}

}  // namespace medlarspread::query

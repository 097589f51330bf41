// Conversion field by field.

#include "src/routing/wire_conversion.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace medlarspread::routing {

namespace {

using base::Duration;

std::int32_t ToMicroseconds(Duration duration) {
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      duration.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

std::int32_t ToMillisecondsRoundedUp(Duration duration) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  return ToMicroseconds(duration + Duration(kMicrosecondsPerMillisecond - 1)) /
         static_cast<std::int32_t>(kMicrosecondsPerMillisecond);
}

}  // namespace

peer::wire::KeyRange ToWire(const blackboard::KeyRange& range) {
  peer::wire::KeyRange message;
  message.low = range.low;
  message.high = range.high;
  return message;
}

blackboard::KeyRange FromWire(const peer::wire::KeyRange& range) {
  return {range.low, range.high};
}

peer::wire::Snapshot ToWire(const blackboard::Snapshot& snapshot) {
  peer::wire::Snapshot message;
  message.index_version = snapshot.index_version;
  message.layout_version = snapshot.layout_version;
  return message;
}

blackboard::Snapshot FromWire(const peer::wire::Snapshot& snapshot) {
  return {snapshot.index_version, snapshot.layout_version};
}

peer::wire::SubQuery ToWire(std::uint64_t id,
                            const ShardRequest& common,
                            const std::vector<blackboard::KeyRange>& ranges,
                            base::MonotonicTime now) {
  peer::wire::SubQuery message;
  message.sub_query_id = static_cast<std::int64_t>(id);
  message.request_id = common.request_id;
  message.class_name = common.class_name;
  message.collection = common.collection;
  message.snapshot = ToWire(common.snapshot);
  for (const auto& range : ranges) {
    message.ranges.push_back(ToWire(range));
  }
  message.deadline_left_us = ToMicroseconds(common.deadline - now);
  message.target_left_us = ToMicroseconds(common.target_due - now);
  message.query = *common.query;
  message.is_hedge = common.is_hedge;
  message.is_at_most_once = common.is_at_most_once;
  return message;
}

std::vector<ShardRequest> FromWire(const peer::wire::SubQuery& message,
                                   base::MonotonicTime now) {
  const auto query = std::make_shared<const std::string>(message.query);
  std::vector<ShardRequest> requests;
  for (const auto& range : message.ranges) {
    ShardRequest request;
    request.request_id = message.request_id;
    request.class_name = message.class_name;
    request.collection = message.collection;
    request.snapshot = FromWire(message.snapshot);
    request.range = FromWire(range);
    request.target_due = now + Duration(message.target_left_us);
    request.deadline = now + Duration(message.deadline_left_us);
    request.query = query;
    request.is_hedge = message.is_hedge;
    request.is_at_most_once = message.is_at_most_once;
    if (!request.range.is_valid()) {
      return {};
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

peer::wire::ShardReply ToWire(std::uint64_t id,
                              const ShardRequest& request,
                              const ShardResult& result) {
  peer::wire::ShardReply message;
  message.sub_query_id = static_cast<std::int64_t>(id);
  message.request_id = request.request_id;
  message.range = ToWire(request.range);
  message.snapshot = ToWire(request.snapshot);
  message.outcome = static_cast<std::int32_t>(result.outcome);
  message.items = result.items;
  message.retry_after_ms = ToMillisecondsRoundedUp(result.retry_after);
  message.error_code = result.error.code.value();
  message.error_step = static_cast<std::int32_t>(result.error.step);
  message.error_peer = result.error.peer;
  message.detail = result.error.detail;
  message.upstream = result.upstream;
  message.sends = result.sends;
  message.load.queued = result.load.queued;
  message.load.running = result.load.running;
  message.load.slots = result.load.slots;
  message.load.expected_wait_us = ToMicroseconds(result.load.expected_wait);
  message.load.service_excess_us = ToMicroseconds(result.load.service_excess);
  message.service_us = ToMicroseconds(result.service_time);
  message.held_us = ToMicroseconds(result.held);
  return message;
}

std::optional<ShardResult> FromWire(const peer::wire::ShardReply& reply) {
  if (reply.outcome < static_cast<int>(ShardOutcome::kAnswered) ||
      reply.outcome > static_cast<int>(ShardOutcome::kUnknown)) {
    return std::nullopt;
  }
  ShardResult result;
  result.outcome = static_cast<ShardOutcome>(reply.outcome);
  result.items = reply.items;
  result.retry_after = base::Milliseconds(reply.retry_after_ms);
  result.error = base::MakeError(static_cast<base::ErrorCode>(reply.error_code),
                                 static_cast<base::Step>(reply.error_step),
                                 reply.error_peer, reply.detail);
  result.upstream = reply.upstream;
  result.sends = reply.sends;
  result.load = {reply.load.queued, reply.load.running, reply.load.slots,
                 Duration(reply.load.expected_wait_us),
                 Duration(reply.load.service_excess_us)};
  result.service_time = Duration(reply.service_us);
  result.held = Duration(reply.held_us);
  return result;
}

}  // namespace medlarspread::routing

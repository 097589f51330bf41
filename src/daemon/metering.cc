// Maps traffic events to counters and distributions.

#include "src/daemon/metering.h"

namespace medlarspread::daemon {

using metrics::ClassCounter;
using metrics::ClassDistribution;
using metrics::Counter;
using metrics::Gauge;
using upstream::LeafOutcome;

void Metering::DidAnswerCaller(const burn::RequestRecord& record) {
  switch (record.outcome) {
    case burn::RequestOutcome::kAnswered:
      registry_.Count(ClassCounter::kRequestsAnswered, record.class_name);
      if (record.coverage < 1.0) {
        registry_.Count(ClassCounter::kRequestsPartial, record.class_name);
      }
      registry_.Observe(ClassDistribution::kRequestLatency, record.class_name,
                        record.latency);
      break;
    case burn::RequestOutcome::kRefused:
      registry_.Count(ClassCounter::kRequestsRefused, record.class_name);
      break;
    case burn::RequestOutcome::kUnknown:
      registry_.Count(ClassCounter::kRequestsUnknown, record.class_name);
      break;
  }
}

void Metering::DidReceiveLeafReply(const upstream::LeafReply& reply) {
  registry_.Count(Counter::kUpstreamSends);
  if (reply.outcome == LeafOutcome::kAnswered) {
    registry_.Count(Counter::kUpstreamAnswers);
    registry_.Observe(metrics::Distribution::kShardLatency, reply.service_time);
  } else if (upstream::MayHaveRun(reply.outcome)) {
    registry_.Count(Counter::kUpstreamLosses);
  } else {
    registry_.Count(Counter::kUpstreamRefusals);
  }
}

void Metering::DidLosePeer() {
  registry_.Count(Counter::kPeerLinksLost);
}

void Metering::CountGrowth(Counter counter,
                           std::uint64_t total,
                           std::uint64_t& last) {
  registry_.Count(counter, static_cast<std::int64_t>(total - last));
  last = total;
}

std::string Metering::Render(const Traffic& traffic,
                             const peer::PeerNetwork& network,
                             const blackboard::Blackboard& blackboard,
                             std::uint64_t invalid_requests) {
  int queued = 0;
  for (const auto& row : traffic.dispatchers().rows()) {
    queued += row.queued;
  }
  registry_.Set(Gauge::kShardRequestsQueued, queued);
  registry_.Set(Gauge::kRequestsInFlight, traffic.queries().in_flight());
  registry_.Set(
      Gauge::kLiveVms,
      static_cast<std::int64_t>(blackboard.membership.Read()->members.size()));
  registry_.Set(Gauge::kTargetsRevision, blackboard.targets.Read()->revision);
  {
    const std::lock_guard lock(mutex_);
    CountGrowth(Counter::kPeerBytesSent, network.sent().total().bytes,
                last_sent_);
    CountGrowth(Counter::kPeerBytesReceived, network.received().total().bytes,
                last_received_);
    CountGrowth(Counter::kRequestsInvalid, invalid_requests, last_invalid_);
  }
  return registry_.Render();
}

}  // namespace medlarspread::daemon

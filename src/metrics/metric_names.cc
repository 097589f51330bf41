// The names and help texts of all metrics.

#include "src/metrics/metric_names.h"

#include <cassert>
#include <utility>

namespace medlarspread::metrics {

namespace {

template <typename Metric>
using Rows = std::vector<std::pair<Metric, MetricText>>;

const Rows<Counter>& CounterRows() {
  static const Rows<Counter> rows = {
      {Counter::kRequestsInvalid,
       {"medlarspread_requests_invalid_total",
        "Caller requests that were malformed or of an unknown class."}},
      {Counter::kRequestsFannedOutForPeers,
       {"medlarspread_requests_fanned_out_for_peers_total",
        "Requests to all shards that other daemons handed over to this one."}},
      {Counter::kUpstreamSends,
       {"medlarspread_upstream_sends_total",
        "Shard requests sent to upstreams, second sends included."}},
      {Counter::kUpstreamAnswers,
       {"medlarspread_upstream_answers_total",
        "Complete answers received from upstreams."}},
      {Counter::kUpstreamRefusals,
       {"medlarspread_upstream_refusals_total",
        "Shard requests that an upstream refused without running them."}},
      {Counter::kUpstreamLosses,
       {"medlarspread_upstream_losses_total",
        "Shard requests that may have run but gave no usable answer."}},
      {Counter::kUpstreamReplaced,
       {"medlarspread_upstream_replaced_total",
        "Shard requests that reached a different upstream than expected at "
        "its address."}},
      {Counter::kUpstreamResponsesOverLimit,
       {"medlarspread_upstream_responses_over_limit_total",
        "Shard requests that failed since the upstream sent more than a "
        "response may have."}},
      {Counter::kRepeatsEarned,
       {"medlarspread_repeats_earned_total",
        "Extra sends of a shard request, charged to the budget that requests "
        "earn."}},
      {Counter::kRepeatsSlack,
       {"medlarspread_repeats_slack_total",
        "Extra sends of a shard request, charged to this VM's share of the "
        "slack."}},
      {Counter::kResendsUnsent,
       {"medlarspread_resends_unsent_total",
        "Sends that replace one that did not leave this VM; not charged to a "
        "budget."}},
      {Counter::kLeavesEnded,
       {"medlarspread_leaves_ended_total",
        "Upstream processes that ended while they ran requests of this VM."}},
      {Counter::kRequestsConvicted,
       {"medlarspread_requests_convicted_total",
        "Requests found to crash the upstreams that run them."}},
      {Counter::kRequestsQuarantined,
       {"medlarspread_requests_quarantined_total",
        "Attempts refused because their request crashes upstreams."}},
      {Counter::kPeerBytesSent,
       {"medlarspread_peer_sent_bytes_total", "Bytes sent to other daemons."}},
      {Counter::kPeerBytesReceived,
       {"medlarspread_peer_received_bytes_total",
        "Bytes received from other daemons."}},
      {Counter::kPeerLinksLost,
       {"medlarspread_peer_links_lost_total",
        "Connections to other daemons that were lost."}},
      {Counter::kStoreCalls,
       {"medlarspread_store_calls_total",
        "Calls to the platform's key-value service. A watch counts as one "
        "call."}},
      {Counter::kStoreFailures,
       {"medlarspread_store_failures_total",
        "Calls to the platform's key-value service without a usable "
        "answer."}},
  };
  return rows;
}

const Rows<ClassCounter>& ClassCounterRows() {
  static const Rows<ClassCounter> rows = {
      {ClassCounter::kRequestsAnswered,
       {"medlarspread_requests_answered_total",
        "Requests answered, partial answers included."}},
      {ClassCounter::kRequestsPartial,
       {"medlarspread_requests_partial_total",
        "Requests answered without covering the whole key space."}},
      {ClassCounter::kRequestsRefused,
       {"medlarspread_requests_refused_total",
        "Requests refused and not run."}},
      {ClassCounter::kRequestsUnknown,
       {"medlarspread_requests_unknown_total",
        "Requests whose outcome is unknown."}},
  };
  return rows;
}

const Rows<Gauge>& GaugeRows() {
  static const Rows<Gauge> rows = {
      {Gauge::kRequestsInFlight,
       {"medlarspread_requests_in_flight",
        "Caller requests that are not answered yet."}},
      {Gauge::kShardRequestsQueued,
       {"medlarspread_shard_requests_queued",
        "Shard requests on this VM that wait for a slot."}},
      {Gauge::kLiveVms,
       {"medlarspread_live_vms", "VMs that this VM considers live."}},
      {Gauge::kTargetsRevision,
       {"medlarspread_targets_revision",
        "Revision of the targets in force on this VM."}},
      {Gauge::kStoreEra,
       {"medlarspread_store_era",
        "Number of times the store was restored from a backup, as known to "
        "this VM."}},
      {Gauge::kStoreRevision,
       {"medlarspread_store_revision",
        "Latest store revision known to this VM."}},
  };
  return rows;
}

const Rows<Distribution>& DistributionRows() {
  static const Rows<Distribution> rows = {
      {Distribution::kShardLatency,
       {"medlarspread_shard_latency_seconds",
        "Time from the send to an upstream until its answer; quantiles are "
        "estimates."}},
      {Distribution::kStoreLatency,
       {"medlarspread_store_latency_seconds",
        "Duration of calls to the platform's key-value service; quantiles are "
        "estimates."}},
  };
  return rows;
}

const Rows<ClassDistribution>& ClassDistributionRows() {
  static const Rows<ClassDistribution> rows = {
      {ClassDistribution::kRequestLatency,
       {"medlarspread_request_latency_seconds",
        "Time from the arrival of a request until its answer, for answered "
        "requests; quantiles are estimates."}},
  };
  return rows;
}

template <typename Metric>
const MetricText& Find(const Rows<Metric>& rows, Metric metric) {
  for (const auto& [row_metric, text] : rows) {
    if (row_metric == metric) {
      return text;
    }
  }
  assert(false && "metric without a row");
  return rows.front().second;
}

template <typename Metric>
std::vector<Metric> Collect(const Rows<Metric>& rows) {
  std::vector<Metric> metrics;
  metrics.reserve(rows.size());
  for (const auto& [metric, text] : rows) {
    metrics.push_back(metric);
  }
  return metrics;
}

}  // namespace

const MetricText& TextOf(Counter counter) {
  return Find(CounterRows(), counter);
}

const MetricText& TextOf(ClassCounter counter) {
  return Find(ClassCounterRows(), counter);
}

const MetricText& TextOf(Gauge gauge) {
  return Find(GaugeRows(), gauge);
}

const MetricText& TextOf(Distribution distribution) {
  return Find(DistributionRows(), distribution);
}

const MetricText& TextOf(ClassDistribution distribution) {
  return Find(ClassDistributionRows(), distribution);
}

const std::vector<Counter>& AllCounters() {
  static const std::vector<Counter> all = Collect(CounterRows());
  return all;
}

const std::vector<ClassCounter>& AllClassCounters() {
  static const std::vector<ClassCounter> all = Collect(ClassCounterRows());
  return all;
}

const std::vector<Gauge>& AllGauges() {
  static const std::vector<Gauge> all = Collect(GaugeRows());
  return all;
}

const std::vector<Distribution>& AllDistributions() {
  static const std::vector<Distribution> all = Collect(DistributionRows());
  return all;
}

const std::vector<ClassDistribution>& AllClassDistributions() {
  static const std::vector<ClassDistribution> all =
      Collect(ClassDistributionRows());
  return all;
}

}  // namespace medlarspread::metrics

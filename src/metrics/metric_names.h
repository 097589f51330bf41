// All metrics of the daemon, with their exposed names and help texts.

#ifndef MEDLARSPREAD_METRICS_METRIC_NAMES_H_
#define MEDLARSPREAD_METRICS_METRIC_NAMES_H_

#include <vector>

namespace medlarspread::metrics {

// Monotonic counters, reset when the process restarts.
enum class Counter {
  kRequestsInvalid,
  kRequestsFannedOutForPeers,
  kUpstreamSends,
  kUpstreamAnswers,
  kUpstreamRefusals,
  kUpstreamLosses,
  kUpstreamReplaced,
  kUpstreamResponsesOverLimit,
  kRepeatsEarned,
  kRepeatsSlack,
  kResendsUnsent,
  kLeavesEnded,
  kRequestsConvicted,
  kRequestsQuarantined,
  kPeerBytesSent,
  kPeerBytesReceived,
  kPeerLinksLost,
  kStoreCalls,
  kStoreFailures,
};

// Counters with the class as a label.
enum class ClassCounter {
  kRequestsAnswered,
  kRequestsPartial,
  kRequestsRefused,
  kRequestsUnknown,
};

// Current values.
enum class Gauge {
  kRequestsInFlight,
  kShardRequestsQueued,
  kLiveVms,
  kTargetsRevision,
  kStoreEra,
  kStoreRevision,
};

// Latency distributions, exposed in seconds.
enum class Distribution {
  kShardLatency,
  kStoreLatency,
};

// Latency distributions with the class as a label.
enum class ClassDistribution {
  kRequestLatency,
};

struct MetricText {
  // The exposed name, including the unit.
  const char* name;
  const char* help;
};

const MetricText& TextOf(Counter counter);
const MetricText& TextOf(ClassCounter counter);
const MetricText& TextOf(Gauge gauge);
const MetricText& TextOf(Distribution distribution);
const MetricText& TextOf(ClassDistribution distribution);

// All values of each enum, in the order of exposition.
const std::vector<Counter>& AllCounters();
const std::vector<ClassCounter>& AllClassCounters();
const std::vector<Gauge>& AllGauges();
const std::vector<Distribution>& AllDistributions();
const std::vector<ClassDistribution>& AllClassDistributions();

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_METRIC_NAMES_H_

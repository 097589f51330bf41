// All metrics of the daemon and the table of their exposed names. A metric that
// isn't here doesn't exist.

#ifndef MEDLARSPREAD_METRICS_METRIC_NAMES_H_
#define MEDLARSPREAD_METRICS_METRIC_NAMES_H_

#include <vector>

namespace medlarspread::metrics {

// Totals that only grow while the process runs.
enum class Counter {
  kRequestsInvalid,
  kRequestsFannedOutForPeers,
  kUpstreamSends,
  kUpstreamAnswers,
  kUpstreamRefusals,
  kUpstreamLosses,
  kUpstreamReplaced,
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

// Totals per class of work.
enum class ClassCounter {
  kRequestsAnswered,
  kRequestsPartial,
  kRequestsRefused,
  kRequestsUnknown,
};

// Values of the moment.
enum class Gauge {
  kRequestsInFlight,
  kShardRequestsQueued,
  kLiveVms,
  kTargetsRevision,
  kStoreEra,
  kStoreRevision,
};

// Latencies, in seconds when exposed.
enum class Distribution {
  kShardLatency,
  kStoreLatency,
};

// Latencies per class of work.
enum class ClassDistribution {
  kRequestLatency,
};

struct MetricText {
  // As exposed, with its unit.
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

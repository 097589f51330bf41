// Estimates quantiles of a stream of latencies in constant memory with the
// extended P2 algorithm of Boost.Accumulators. Quantiles can't be aggregated
// over VMs; the burn report uses exact counts instead.

#ifndef MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_
#define MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace medlarspread::metrics {

// The estimated quantiles, as fractions of 1.
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

// One value per entry of kQuantiles, in seconds.
using QuantileValues = std::array<double, kQuantiles.size()>;

// Not thread-safe.
class LatencyAccumulator {
 public:
  LatencyAccumulator();
  ~LatencyAccumulator();
  LatencyAccumulator(LatencyAccumulator&&) noexcept;
  LatencyAccumulator& operator=(LatencyAccumulator&&) noexcept;

  void Add(double seconds);
  std::size_t count() const;
  // Exact for the first few samples. All zero if there are no samples.
  QuantileValues Quantiles() const;

 private:
  // Defined in the .cc file, because the Boost header compiles slowly.
  struct Estimator;

  std::unique_ptr<Estimator> estimator_;
  // The first samples, for exact quantiles: the algorithm has no estimate until
  // it has as many samples as markers.
  std::vector<double> first_samples_;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_

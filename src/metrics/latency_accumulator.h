// Quantiles of a stream of latencies in constant memory, by the extended P2
// algorithm of Boost.Accumulators. They are estimates, and can't be added up
// over VMs; the burn report counts exactly instead.

#ifndef MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_
#define MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace medlarspread::metrics {

// The quantiles that are kept, as fractions of 1.
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

// One value per entry of kQuantiles, in seconds.
using QuantileValues = std::array<double, kQuantiles.size()>;

// Not safe for use from several threads at once.
class LatencyAccumulator {
 public:
  LatencyAccumulator();
  ~LatencyAccumulator();
  LatencyAccumulator(LatencyAccumulator&&) noexcept;
  LatencyAccumulator& operator=(LatencyAccumulator&&) noexcept;

  void Add(double seconds);
  std::size_t count() const;
  // Exact for the first few samples. Zeros if there is none.
  QuantileValues Quantiles() const;

 private:
  // Hides the library's header, which compiles slowly.
  struct Estimator;

  std::unique_ptr<Estimator> estimator_;
  // The first samples: the algorithm has no estimate before it has as many
  // samples as markers.
  std::vector<double> first_samples_;
};

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_LATENCY_ACCUMULATOR_H_

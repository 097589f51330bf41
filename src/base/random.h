// The random number generator that decisions use. It is seeded explicitly, so
// that a test or a golden session can replay the same choices.

#ifndef MEDLARSPREAD_BASE_RANDOM_H_
#define MEDLARSPREAD_BASE_RANDOM_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace medlarspread::base {

// An unpredictable seed, so that the identifiers of different VMs don't
// collide. It is not logged, because no random choice of a live VM needs to be
// replayed.
std::uint64_t MakeUnpredictableSeed();

// Thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound). `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound);
  // Uniform in [0, 1).
  double Unit();
  // `digits` lower-case hexadecimal digits.
  std::string Hexadecimal(int digits);

 private:
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_RANDOM_H_

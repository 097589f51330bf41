// The random source that decisions draw from. It is seeded explicitly, so that
// a test or a golden session replays the same choices.

#ifndef MEDLARSPREAD_BASE_RANDOM_H_
#define MEDLARSPREAD_BASE_RANDOM_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace medlarspread::base {

// A seed that nobody can predict, so that identifiers of different VMs do not
// meet. It is not logged: nothing that it decides needs to be replayed on a
// live VM.
std::uint64_t MakeUnpredictableSeed();

// Safe to use from any thread.
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

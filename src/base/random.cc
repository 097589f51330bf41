// A 64-bit Mersenne Twister protected by a mutex.

#include "src/base/random.h"

#include <cassert>

namespace medlarspread::base {

std::uint64_t MakeUnpredictableSeed() {
  std::random_device device;
  constexpr int kBitsPerWord = 32;
  return (static_cast<std::uint64_t>(device()) << kBitsPerWord) | device();
}

std::uint64_t Random::Below(std::uint64_t bound) {
  assert(bound > 0);
  const std::lock_guard lock(mutex_);
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
}

double Random::Unit() {
  const std::lock_guard lock(mutex_);
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

std::string Random::Hexadecimal(int digits) {
  static constexpr char kDigits[] = "0123456789abcdef";
  constexpr std::uint64_t kBase = 16;
  std::string text;
  for (int i = 0; i < digits; ++i) {
    text += kDigits[Below(kBase)];
  }
  return text;
}

}  // namespace medlarspread::base

// Prints the memory that one remembered claim takes, by the allocator's count.

#include <malloc.h>

#include <cstdint>
#include <string>

#include <spdlog/fmt/fmt.h>

#include "src/base/random.h"
#include "src/claims/recent_claims.h"
#include "src/claims/recorded_claims.h"

namespace {

constexpr std::size_t kClaims = 100'000;
constexpr int kDigits = 16;

std::size_t UsedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Remember>
void Measure(const char* name, Remember remember) {
  medlarspread::base::Random random(1);
  const std::size_t before = UsedBytes();
  for (std::size_t count = 0; count < kClaims; ++count) {
    remember("1764691200000-" + random.Hexadecimal(kDigits),
             random.Hexadecimal(kDigits));
  }
  fmt::print("{}: {} bytes per claim\n", name,
             (UsedBytes() - before) / kClaims);
}

}  // namespace

int main() {
  medlarspread::claims::RecordedClaims recorded;
  Measure("in a key's memory",
          [&recorded](const std::string& id, const std::string& nonce) {
            recorded.Add(id, nonce);
          });
  medlarspread::claims::RecentClaims recent(kClaims);
  Measure("in the recent claims",
          [&recent](const std::string& id, const std::string& /*nonce*/) {
            recent.Add(id);
          });
  fmt::print("in a key's value: {} bytes per claim\n",
             recorded.text().size() / kClaims);
  return 0;
}

// Parses the textual form of holdings.

#include "emulator/leaf/leaf_settings.h"

#include <cstdio>
#include <sstream>

namespace medlarspread::emulator {

base::Result<std::vector<blackboard::Holding>> ParseHoldings(
    const std::string& text) {
  std::vector<blackboard::Holding> holdings;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    long version = 0;
    long layout = 0;
    blackboard::Holding holding;
    constexpr int kFields = 4;
    if (std::sscanf(part.c_str(), "%ld:%ld:%d-%d", &version, &layout,
                    &holding.range.low, &holding.range.high) != kFields ||
        !holding.range.is_valid()) {
      return base::MakeError(base::ErrorCode::kInvalidArgument,
                             base::Step::kSettings, "", "holding " + part);
    }
    holding.snapshot = {version, layout};
    holdings.push_back(holding);
  }
  return holdings;
}

}  // namespace medlarspread::emulator

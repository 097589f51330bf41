// Counts arrivals in sliding windows.

#include "emulator/support/arrival_record.h"

#include <algorithm>
#include <sstream>

namespace medlarspread::emulator {

bool ArrivalRecord::DidArrive(const std::string& request_id,
                              const std::string& collection,
                              base::MonotonicTime at) {
  Row& row = rows_[collection];
  const bool is_first = row.requests.insert(request_id).second;
  (is_first ? row.firsts : row.extras).push_back(at);
  return is_first;
}

std::vector<std::string> ArrivalRecord::FindExcess(
    const admission::ExtraSendBound& bound) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::vector<std::string> found;
  for (const auto& [collection, seen] : rows_) {
    const Row& row = seen;
    double worst = 0.0;
    std::ostringstream text;
    for (const base::MonotonicTime begin : row.extras) {
      const auto requests_from = [&](base::MonotonicTime from) {
        return CountIn(row.firsts, from, from + bound.window);
      };
      const auto extras = CountIn(row.extras, begin, begin + bound.window);
      const auto requests = std::max({requests_from(begin),
                                      requests_from(begin - bound.window / 2),
                                      requests_from(begin - bound.window)});
      const double allowed =
          bound.share * static_cast<double>(requests) + bound.slack;
      if (static_cast<double>(extras) - allowed <= worst) {
        continue;
      }
      worst = static_cast<double>(extras) - allowed;
      text.str("");
      text << collection << " got " << extras
           << " sends beyond the first of their request in a window from "
           << static_cast<double>(begin.microseconds) / kMicrosecondsPerSecond
           << " s, for " << requests << " requests; " << allowed
           << " are allowed";
    }
    if (worst > 0.0) {
      found.push_back(text.str());
    }
  }
  return found;
}

std::ptrdiff_t ArrivalRecord::CountIn(const Times& times,
                                      base::MonotonicTime begin,
                                      base::MonotonicTime end) {
  return std::lower_bound(times.begin(), times.end(), end) -
         std::lower_bound(times.begin(), times.end(), begin);
}

}  // namespace medlarspread::emulator

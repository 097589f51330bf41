// Formats answers for the log.

#include "src/query/forwarded_request.h"

#include "src/base/overloaded.h"

namespace medlarspread::query {

std::string Describe(const ForwardedAnswer& answer) {
  return std::visit(
      base::Overloaded{[](const LeafResponse& passed) {
                         return "passed on status " +
                                std::to_string(passed.message.result_int());
                       },
                       [](const MergedRecords& gathered) {
                         return "answered, " +
                                std::to_string(gathered.missing) +
                                " shards missing";
                       },
                       [](const NoRoute&) { return std::string("no route"); },
                       [](const Refused& refused) {
                         return "refused, not run: " + refused.error.ToString();
                       },
                       [](const Unknown& unknown) {
                         return "may have run: " + unknown.error.ToString();
                       }},
      answer);
}

}  // namespace medlarspread::query

// Encodes holdings as JSON.

#include "emulator/leaf/holding_json.h"

#include <cpprest/json.h>

namespace medlarspread::emulator {

std::string HoldingsJson(const std::vector<blackboard::Holding>& holdings) {
  using web::json::value;
  value rows = value::array();
  for (const blackboard::Holding& holding : holdings) {
    value row;
    row["index_version"] = value::number(holding.snapshot.index_version);
    row["layout_version"] = value::number(holding.snapshot.layout_version);
    row["low"] = value::number(holding.range.low);
    row["high"] = value::number(holding.range.high);
    rows[rows.size()] = std::move(row);
  }
  return rows.serialize();
}

}  // namespace medlarspread::emulator

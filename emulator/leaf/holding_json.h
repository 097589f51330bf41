// Encodes a leaf's holdings as JSON, for health pages and refusals.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_
#define MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_

#include <string>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::emulator {

// Returns a JSON array as text.
std::string HoldingsJson(const std::vector<blackboard::Holding>& holdings);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_

// The JSON form of a leaf's holdings, as health and refusals carry it.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_
#define MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_

#include <string>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::emulator {

// A JSON array as text.
std::string HoldingsJson(const std::vector<blackboard::Holding>& holdings);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_HOLDING_JSON_H_

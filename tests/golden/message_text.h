// Formats what crosses an interface as one line of text, for the record of a
// session.

#ifndef MEDLARSPREAD_TESTS_GOLDEN_MESSAGE_TEXT_H_
#define MEDLARSPREAD_TESTS_GOLDEN_MESSAGE_TEXT_H_

#include <string>

#include "src/peer/message.h"
#include "src/targets/targets_change.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::golden {

std::string TextOf(const peer::Message& message);
std::string TextOf(const upstream::LeafRequest& request);
std::string TextOf(const targets::ChangeOutcome& outcome);

}  // namespace medlarspread::golden

#endif  // MEDLARSPREAD_TESTS_GOLDEN_MESSAGE_TEXT_H_

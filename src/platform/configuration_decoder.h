// Decodes the operators' configuration and the entries of leaves.

#ifndef MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_
#define MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_

#include <string>

#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_directory.h"

namespace medlarspread::platform {

// The key of the configuration, which the operators write.
constexpr const char* kConfigurationKey = "op/config";
// Before the identifier of a leaf in the key of its entry.
constexpr const char* kLeafKeyPrefix = "servers/";

// kMalformed if the text is not a whole configuration.
base::Result<blackboard::RoutesView> DecodeConfiguration(
    const std::string& text);

// The entry of the leaf that is called `id`. Its region stays empty, since the
// entry does not name it. kMalformed if the leaf can't have written it: a field
// is missing, of another type or out of range, or the state is unknown.
base::Result<upstream::LeafEntry> DecodeLeaf(const std::string& id,
                                             const std::string& text,
                                             base::MonotonicTime now);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_

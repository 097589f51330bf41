// Decodes the operators' configuration and the entries of leaves.

#ifndef MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_
#define MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_

#include <string>

#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_directory.h"

namespace medlarspread::platform {

// Key of the configuration, which is written by the operators.
constexpr const char* kConfigurationKey = "op/config";
// Key prefix of a leaf's entry; the leaf's identifier follows.
constexpr const char* kLeafKeyPrefix = "servers/";

// Fails with kMalformed if the text is not a complete configuration.
base::Result<blackboard::RoutesView> DecodeConfiguration(
    const std::string& text);

// Decodes the entry of the leaf with identifier `id`. The region stays empty,
// since entries don't contain it. Fails with kMalformed if the entry is
// invalid: a field is missing, of another type or out of range, or the state is
// unknown.
base::Result<upstream::LeafEntry> DecodeLeaf(const std::string& id,
                                             const std::string& text,
                                             base::MonotonicTime now);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_CONFIGURATION_DECODER_H_

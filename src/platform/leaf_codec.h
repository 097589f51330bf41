// Translates between the types of the query module and the leaves' HTTP
// messages.

#ifndef MEDLARSPREAD_PLATFORM_LEAF_CODEC_H_
#define MEDLARSPREAD_PLATFORM_LEAF_CODEC_H_

#include "src/upstream/forward_client.h"

namespace medlarspread::platform {

upstream::ForwardCodec MakeLeafCodec();

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_LEAF_CODEC_H_

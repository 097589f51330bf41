// Translates between callers' HTTP messages and the query core.

#ifndef MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_
#define MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_

#include "src/base/result.h"
#include "src/http1/message.h"
#include "src/query/forward_service.h"
#include "src/query/forwarded_request.h"

namespace medlarspread::platform {

// kInvalidArgument if the request lacks its identifier or host.
base::Result<query::IncomingRequest> DecodeRequest(http1::Request request);

// The answer to a request of the given version and method.
http1::Response EncodeAnswer(query::ForwardedAnswer answer);

// The answer to a request that could not be decoded.
http1::Response EncodeInvalid(const base::Error& error);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_

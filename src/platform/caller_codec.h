// Translates between callers' HTTP messages and the types of the query module.

#ifndef MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_
#define MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_

#include "src/base/result.h"
#include "src/http1/message.h"
#include "src/query/forward_service.h"
#include "src/query/forwarded_request.h"

namespace medlarspread::platform {

// Fails with kInvalidArgument if the request has no identifier or host.
base::Result<query::IncomingRequest> DecodeRequest(http1::Request request);

// The HTTP response for an answer.
http1::Response EncodeAnswer(query::ForwardedAnswer answer);

// The HTTP response to a request that could not be decoded.
http1::Response EncodeInvalid(const base::Error& error);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_CALLER_CODEC_H_

// Encoding that requests to leaves and requests to other daemons have in
// common.

#ifndef MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_
#define MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_

#include "src/base/clock.h"
#include "src/http1/message.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::platform {

// Sets how long the sender will wait from now on.
void SetTimeLeft(http1::Request& request, base::Duration time_left);

// The caller's request with the remaining time, as it is forwarded.
http1::Request MakeForwardedMessage(const upstream::ForwardCall& call);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_

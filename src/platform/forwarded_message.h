// What requests to leaves and to other daemons have in common on the wire.

#ifndef MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_
#define MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_

#include "src/base/clock.h"
#include "src/http1/message.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::platform {

// States how long the sender will wait from now on.
void SetTimeLeft(http1::Request& request, base::Duration time_left);

// The caller's request as it is passed on, with the time that is left.
http1::Request MakeForwardedMessage(const upstream::ForwardCall& call);

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_FORWARDED_MESSAGE_H_

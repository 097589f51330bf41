// The caller's message is forwarded byte for byte, except for the fields that
// concern its connection.

#include "src/platform/forwarded_message.h"

#include <chrono>
#include <string>

#include "src/platform/header_names.h"

namespace medlarspread::platform {

namespace {

constexpr int kHttpVersion = 11;

}  // namespace

void SetTimeLeft(http1::Request& request, base::Duration time_left) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  request.set(kDeadline, std::to_string(milliseconds.count()));
}

http1::Request MakeForwardedMessage(const upstream::ForwardCall& call) {
  http1::Request request = *call.message;
  request.version(kHttpVersion);
  SetTimeLeft(request, call.time_left);
  if (!request.body().empty()) {
    request.content_length(request.body().size());
  }
  return request;
}

}  // namespace medlarspread::platform

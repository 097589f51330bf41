// HTTP/1.1 messages as they travel through this system: opaque, byte for byte.
//
// The library's own message type is used as it is, because it keeps the
// target, the order and the case of the header fields, and the body unchanged.

#ifndef MEDLARSPREAD_HTTP1_MESSAGE_H_
#define MEDLARSPREAD_HTTP1_MESSAGE_H_

#include <cstddef>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "src/base/clock.h"

namespace medlarspread::http1 {

using Fields = boost::beast::http::fields;
using Request =
    boost::beast::http::request<boost::beast::http::string_body, Fields>;
using Response =
    boost::beast::http::response<boost::beast::http::string_body, Fields>;
using Status = boost::beast::http::status;

// What a caller may send, and how long it may take.
struct MessageLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 1 << 20;
  // From the first byte of a request to the end of its header.
  base::Duration header_timeout = base::Milliseconds(3'000);
  // How long a connection may stay open without a request.
  base::Duration idle_timeout = base::Milliseconds(15'000);
};

// Removes the fields that concern one connection only, those that a
// `Connection` field names included. They are never passed on.
void RemoveConnectionFields(Fields& fields);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_MESSAGE_H_

// HTTP/1.1 messages that are forwarded without interpretation.
//
// Uses Boost.Beast's message type, because it preserves the target, the order
// and the case of the header fields, and the body.

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

// Limits on the size of requests and on the time they may take to arrive.
struct MessageLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 1 << 20;
  // From the first byte of a request to the end of its header.
  base::Duration header_timeout = base::Milliseconds(3'000);
  // How long a connection may stay open without a request.
  base::Duration idle_timeout = base::Milliseconds(15'000);
};

// Removes the hop-by-hop fields, including those that a `Connection` field
// names. They must not be forwarded.
void RemoveHopByHopFields(Fields& fields);

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_MESSAGE_H_

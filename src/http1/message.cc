// Knows the hop-by-hop fields of HTTP/1.1.

#include "src/http1/message.h"

#include <string>
#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace medlarspread::http1 {

namespace {

namespace http = boost::beast::http;

std::vector<std::string> NamedByConnection(const Fields& fields) {
  std::vector<std::string> names;
  const auto [begin, end] = fields.equal_range(http::field::connection);
  for (auto row = begin; row != end; ++row) {
    for (const auto& name : http::token_list(row->value())) {
      names.emplace_back(name);
    }
  }
  return names;
}

}  // namespace

void RemoveHopByHopFields(Fields& fields) {
  for (const std::string& name : NamedByConnection(fields)) {
    fields.erase(name);
  }
  for (const http::field name :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::proxy_authenticate, http::field::proxy_authorization}) {
    fields.erase(name);
  }
}

}  // namespace medlarspread::http1

// The real cli::Exchange: one HTTP request, waited for.

#ifndef MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_
#define MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_

#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http/message.h"

namespace medlarspread::cli {

// Starts the HTTP library's threads on first use.
base::Result<http::Response> SendAndWait(const std::string& address,
                                         const http::Request& request,
                                         base::Duration timeout);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_

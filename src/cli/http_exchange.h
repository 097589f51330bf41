// The production implementation of cli::Exchange: one blocking HTTP request.

#ifndef MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_
#define MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_

#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/http/message.h"

namespace medlarspread::cli {

// Sends `request` and blocks until the response or an error. The first call
// starts the threads of the HTTP library.
base::Result<http::Response> SendAndWait(const std::string& address,
                                         const http::Request& request,
                                         base::Duration timeout);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_HTTP_EXCHANGE_H_

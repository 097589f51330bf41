// Sends one change of targets until its outcome is known. The change keeps its
// identifier over all attempts, so that a change whose reply was lost is found
// again rather than made twice.

#ifndef MEDLARSPREAD_CLI_CHANGE_SENDER_H_
#define MEDLARSPREAD_CLI_CHANGE_SENDER_H_

#include <string>

#include "src/base/result.h"
#include "src/cli/admin_client.h"
#include "src/cli/environment.h"
#include "src/cli/exit_code.h"

namespace medlarspread::cli {

class ChangeSender {
 public:
  ChangeSender(const Environment& environment, const AdminClient& client)
      : environment_(environment), client_(client) {}

  // A new identifier: "<milliseconds since 1970>-<16 hexadecimal digits>".
  static std::string MakeChangeId(const Environment& environment);

  // `request` must carry `change_id`. Prints the outcome.
  ExitCode Send(const http::Request& request,
                const std::string& change_id,
                bool is_json) const;

 private:
  // The first reply that settles the matter, or the unknown outcome itself.
  base::Result<http::Response> SendUntilSettled(
      const http::Request& request) const;

  const Environment& environment_;
  const AdminClient& client_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CHANGE_SENDER_H_

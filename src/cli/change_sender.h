// Sends one change of targets and retries while its outcome is unknown. All
// attempts carry the same change identifier, so that a change whose reply was
// lost is recognized and not applied twice.

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

  // Returns a new identifier: "<milliseconds since 1970>-<16 hexadecimal
  // digits>".
  static std::string MakeChangeId(const Environment& environment);

  // `request` must contain `change_id`. Prints the outcome.
  ExitCode Send(const http::Request& request,
                const std::string& change_id,
                bool is_json) const;

 private:
  // Returns the first reply that determines the outcome. If no attempt gets
  // one, returns the reply to the first attempt.
  base::Result<http::Response> SendUntilOutcomeKnown(
      const http::Request& request) const;

  const Environment& environment_;
  const AdminClient& client_;
};

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_CHANGE_SENDER_H_

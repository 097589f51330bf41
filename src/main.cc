// The one binary: every role is a subcommand of it.

#include "src/cli/main.h"
#include "src/daemon/serve.h"

int main(int argument_count, char** arguments) {
  return medlarspread::cli::Main(argument_count, arguments,
                                 medlarspread::daemon::Serve);
}

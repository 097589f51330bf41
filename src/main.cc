// Entry point of the medlarspread binary. Every role is a subcommand.

#include "src/cli/main.h"
#include "src/daemon/serve.h"

int main(int argument_count, char** arguments) {
  return medlarspread::cli::Main(argument_count, arguments,
                                 medlarspread::daemon::Serve);
}

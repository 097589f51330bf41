// Creates the production environment and runs the command line.

#include "src/cli/main.h"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

#include "src/cli/command_line.h"
#include "src/cli/http_exchange.h"
#include "src/cli/store_write.h"

namespace medlarspread::cli {

namespace {

std::optional<std::string> ReadVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}  // namespace

int Main(int argument_count, const char* const* arguments, Serve serve) {
  base::Random random(base::MakeUnpredictableSeed());
  const Environment environment{
      .out = std::cout,
      .error = std::cerr,
      .variable = ReadVariable,
      .exchange = SendAndWait,
      .write_key = WriteKeyAndWait,
      .sleep = [](base::Duration pause) { std::this_thread::sleep_for(pause); },
      .clock = base::Clock(),
      .random = random,
      .serve = std::move(serve)};
  const std::vector<std::string> words(arguments + 1,
                                       arguments + argument_count);
  const ExitCode code = CommandLine(environment).Run(words);
  std::cout.flush();
  return static_cast<int>(code);
}

}  // namespace medlarspread::cli

// The version of medlarspread.

#ifndef MEDLARSPREAD_CLI_VERSION_H_
#define MEDLARSPREAD_CLI_VERSION_H_

namespace medlarspread::cli {

constexpr const char* kVersion = "0.1.0";

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_VERSION_H_

// A single blocking write to the platform's store.

#ifndef MEDLARSPREAD_CLI_STORE_WRITE_H_
#define MEDLARSPREAD_CLI_STORE_WRITE_H_

#include <string>

#include "src/base/result.h"

namespace medlarspread::cli {

// Writes a key without a lease to the store at `address` and waits for the
// result. On kTimeout the key may have been written.
base::Status WriteKeyAndWait(const std::string& address,
                             const std::string& key,
                             const std::string& value);

}  // namespace medlarspread::cli

#endif  // MEDLARSPREAD_CLI_STORE_WRITE_H_

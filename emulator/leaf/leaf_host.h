// Runs any number of leaves in this process, each with its own listener, and
// optionally registers them in a platform's VM list.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_LEAF_HOST_H_
#define MEDLARSPREAD_EMULATOR_LEAF_LEAF_HOST_H_

#include <memory>
#include <string>
#include <vector>

#include "emulator/leaf/leaf_service.h"
#include "src/http/listener.h"

namespace medlarspread::emulator {

class LeafHost {
 public:
  explicit LeafHost(base::Clock clock) : clock_(clock) {}

  // Starts a leaf and prints its ready line.
  base::Status Start(const LeafSettings& settings);
  // Adds all leaves to the VM list of the platform at `address`.
  base::Status Register(const std::string& platform_address) const;

 private:
  struct Leaf {
    LeafSettings settings;
    std::unique_ptr<http::Listener> listener;
  };

  std::string VmRows() const;

  const base::Clock clock_;
  std::vector<Leaf> leaves_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_LEAF_HOST_H_

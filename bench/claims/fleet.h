// A fleet of ClaimServices over one store in memory, in manual time: counts the
// calls that claims cost, whatever the speed of this VM.

#ifndef MEDLARSPREAD_BENCH_CLAIMS_FLEET_H_
#define MEDLARSPREAD_BENCH_CLAIMS_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_service.h"
#include "tests/claims/fake_store.h"

namespace medlarspread::claims {

struct Load {
  int daemons = 9;
  double claims_per_second = 1.0;
  // How long before its submission an identifier was made, at most; drawn
  // evenly from 0 to this.
  std::int64_t oldest_ms = 50;
  // Varied to weigh other ways against the settings in use.
  ClaimSettings settings{};
  base::Duration warm_up = base::Milliseconds(5'000);
  base::Duration measured = base::Milliseconds(60'000);
};

// Rates are per second of the measured time, for the whole fleet.
struct Cost {
  double swaps = 0;
  double conflicts = 0;
  double reads = 0;
  double lists = 0;
  double erases = 0;
  double bytes = 0;
  double granted = 0;
  double wait_median_ms = 0;
  double wait_99_ms = 0;
  std::size_t keys = 0;
  // Processor time of this bench per claim, store and links included.
  double processor_us_per_claim = 0;
};

class Fleet {
 public:
  Fleet(const Load& load, std::uint64_t seed);

  Cost Run();

 private:
  struct Daemon {
    blackboard::Blackboard blackboard;
    std::unique_ptr<ClaimService> service;
  };

  void Boot(int index);
  base::Status Send(int from, const std::string& to, peer::Message message);
  // Submits a claim at a random daemon and plans the next one.
  void Submit();
  ClaimCounts Sum();

  const Load load_;
  base::Random random_;
  std::shared_ptr<base::ManualTime> time_;
  std::shared_ptr<base::ManualScheduler> scheduler_;
  base::TaskRunner runner_;
  std::shared_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::int64_t submitted_ = 0;
  std::vector<base::Duration> waits_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_BENCH_CLAIMS_FLEET_H_

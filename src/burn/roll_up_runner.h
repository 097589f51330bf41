// Runs passes of the roll-up. Any VM may repeat any step without counting
// anything twice; failed work is left to the next pass.

#ifndef MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_
#define MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/burn_settings.h"
#include "src/burn/day_roll_up.h"
#include "src/burn/domain_roll_up.h"
#include "src/burn/store_steps.h"
#include "src/store/store.h"

namespace medlarspread::burn {

// Runs on the control sequence. The `done` callback of Run() must keep it
// alive.
class RollUpRunner {
 public:
  RollUpRunner(const BurnSettings& settings,
               const base::Clock& clock,
               const store::Store& store,
               const blackboard::Blackboard& board,
               const base::Log& log);

  // Does the work this VM is responsible for according to the member list, then
  // runs `done`. Must not be called while a pass is in progress.
  void Run(std::function<void()> done);

 private:
  const base::Clock clock_;
  const blackboard::Blackboard& board_;
  const std::shared_ptr<StoreSteps> steps_;
  DomainRollUp domains_;
  DayRollUp days_;
  std::int64_t passes_ = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_

// Counts what becomes of requests, writes the counts to the platform's store
// in groups, and reports how the classes did against their targets.
//
// Each VM incarnation writes absolute totals, one value per ten minutes, which
// it alone overwrites by compare-and-swap: a write that is repeated because its
// reply was lost counts nothing twice. Closed values are rolled up per failure
// domain and hour, and those per day. docs/design/11-burn-report.md says why.

#ifndef MEDLARSPREAD_BURN_BURN_CONTROLLER_H_
#define MEDLARSPREAD_BURN_BURN_CONTROLLER_H_

#include <functional>
#include <memory>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/burn_settings.h"
#include "src/burn/report.h"
#include "src/burn/request_record.h"
#include "src/burn/segment_reader.h"
#include "src/store/store.h"

namespace medlarspread::burn {

struct ReportQuery {
  // Only this class; empty for all.
  std::string class_name;
};

// Lives on the control sequence. Must be owned by a std::shared_ptr: calls to
// the store that are still under way keep it alive. `random` and `board` must
// outlive it.
class BurnController : public std::enable_shared_from_this<BurnController> {
 public:
  using ReportCallback = std::function<void(BurnReport)>;

  BurnController(BurnSettings settings,
                 base::Clock clock,
                 base::Random& random,
                 base::TaskRunner control,
                 store::Store store,
                 blackboard::Blackboard& board,
                 base::Log log = {});
  ~BurnController();

  // Counts one request. Cheap, callable from any thread; stays valid after the
  // controller is gone.
  RecordRequest recorder() const;

  // Starts to collect, write, watch the members and roll up.
  void Start();

  // Writes the last counts and says in the store that this incarnation has
  // ended, then runs `done` on the control sequence; also when the store does
  // not take the counts within a few tries. Call it when the last request has
  // been recorded, from any thread. Nothing is written afterwards.
  void Stop(std::function<void()> done);

  // Computes the report and passes it on the control sequence. Never fails:
  // without the store it covers less and says so. From any thread.
  void Report(ReportQuery query, ReportCallback callback);

 private:
  struct State;

  // Each runs on the control sequence and starts itself again.
  void Collect();
  void Flush();
  void RollUp();

  void TakeCounts();
  void ScheduleRollUp();
  void FlushLast();
  void After(base::Duration delay, void (BurnController::*method)());
  BurnReport MakeReport(const ReportQuery& query,
                        base::Result<StoredCounts> read);

  const std::unique_ptr<State> state_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_BURN_CONTROLLER_H_

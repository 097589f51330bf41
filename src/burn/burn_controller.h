// Counts the outcomes of requests, writes the counts to the platform's store in
// batches, and reports how each class did against its service-level targets.
//
// Each VM incarnation writes absolute totals, one value per ten minutes, which
// only it overwrites, by compare-and-swap. A write that is repeated because its
// reply was lost is therefore not counted twice. Closed values are rolled up
// per failure domain and hour, and the hours per day.
// docs/design/11-burn-report.md gives the reasons.

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
  // Limits the report to this class; empty for all classes.
  std::string class_name;
};

// Runs on the control sequence. Must be owned by a std::shared_ptr, because
// pending store calls keep it alive. `random` and `board` must outlive it.
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

  // Returns a function that counts one request. It is cheap, may be called from
  // any thread, and stays valid after the controller is destroyed.
  RecordRequest recorder() const;

  // Starts the periodic tasks: collecting and writing counts, watching the
  // membership, and rolling up.
  void Start();

  // Writes the last counts and marks this incarnation as ended in the store,
  // then runs `done` on the control sequence. `done` also runs if the store
  // does not accept the counts after several attempts. Call it, from any
  // thread, after the last request has been recorded; nothing is written
  // afterwards.
  void Stop(std::function<void()> done);

  // Computes the report and passes it to `callback` on the control sequence.
  // Never fails: without the store, the report is marked as partial. May be
  // called from any thread.
  void Report(ReportQuery query, ReportCallback callback);

 private:
  struct State;

  // Each runs on the control sequence and schedules its next run.
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

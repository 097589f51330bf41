// The HTTP service of one emulated leaf: queries, cancellation, health, load
// and, under /control, calls that tests use to change its state and inject
// faults. All state is accessed on one sequence.
//
// Control calls:
//   PUT /control sets the fields present in the body:
//     "state":"serving"|"cold"|"draining"; "refuses_when_draining":bool (if
//       false, a draining leaf still answers and reports its state in the
//       reply);
//     "holdings":"VERSION:LAYOUT:LOW-HIGH,..."; "health_lag_ms": delay until
//       the health page shows changes of state and holdings; "slow_factor";
//     "refuse":"shed"|"draining"|"cold"|"" refuses every query;
//     "faults":{"empty"|"truncated"|...: share}; "late_ms"
//   GET /control/runs?request_id=..  returns RunLog::ToJson()

#ifndef MEDLARSPREAD_EMULATOR_LEAF_LEAF_SERVICE_H_
#define MEDLARSPREAD_EMULATOR_LEAF_LEAF_SERVICE_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "emulator/leaf/leaf_settings.h"
#include "emulator/leaf/reply_faults.h"
#include "emulator/leaf/run_log.h"
#include "emulator/leaf/work_queue.h"
#include "emulator/support/lagged.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/http/listener.h"

namespace medlarspread::emulator {

class LeafService : public std::enable_shared_from_this<LeafService> {
 public:
  LeafService(LeafSettings settings,
              base::Clock clock,
              base::TaskRunner runner);

  // Called by the listener on any thread.
  void DidReceive(const http::Request& request, http::Responder respond);

 private:
  struct Health {
    LeafState state = LeafState::kServing;
    std::vector<blackboard::Holding> holdings;
  };

  void Handle(const http::Request& request, const http::Responder& respond);
  void HandleQuery(const std::string& body, const http::Responder& respond);
  // Returns the refusal required by the state, the snapshot or a fault, if any.
  std::optional<http::Response> RefusalOf(const LeafQuery& query) const;
  void Submit(const LeafQuery& query, const http::Responder& respond);
  void DidEnd(const LeafQuery& query,
              base::Duration service,
              const http::Responder& respond,
              WorkEnd end,
              bool ran);
  void Answer(const LeafQuery& query,
              base::Duration service,
              const http::Responder& respond);
  // Sends the reply after the simulated network delay.
  void ReplyLater(const http::Responder& respond, http::Response response);

  http::Response HandleCancel(const std::string& body);
  http::Response HealthPage();
  http::Response LoadPage() const;
  http::Response HandleControl(const std::string& body);

  base::Duration DrawServiceTime();
  // The delay before a query reaches the leaf: the network delay, plus the time
  // to open a connection if concurrency exceeds its previous maximum.
  base::Duration ArrivalDelay();
  bool Holds(const LeafQuery& query) const;
  const char* StateName() const { return kLeafStates.NameOf(health_.state); }
  LeafLoad Load() const;

  const LeafSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner runner_;
  base::Random random_;
  std::mt19937_64 engine_;
  const std::shared_ptr<WorkQueue> queue_;
  RunLog run_log_;

  // The leaf's actual health, and the delayed view on its health page.
  Health health_;
  Lagged<Health> shown_health_;
  base::Duration health_lag_{};

  bool refuses_when_draining_ = true;
  double slow_factor_ = 1.0;
  // If not empty, every query is refused with this error.
  std::string forced_refusal_;
  ReplyFaultShares fault_shares_;
  base::Duration late_ = base::Milliseconds(500);
  std::string previous_answer_;
  // Requests whose replies are withheld, which keeps their connections open.
  std::vector<http::Responder> withheld_;

  // The number of unanswered queries, and its maximum so far. Callers keep that
  // many connections open and reuse them.
  int in_flight_ = 0;
  int connections_opened_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_LEAF_SERVICE_H_

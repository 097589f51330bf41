// One leaf's HTTP service: queries, cancellation, health, load and, under
// /control, what tests do to it. All state lives on one sequence.
//
// Control calls:
//   PUT /control sets the fields that are given:
//     "state":"serving"|"cold"|"draining"; "refuses_when_draining":bool (else
//       a draining leaf still answers and says so in the reply);
//     "holdings":"VERSION:LAYOUT:LOW-HIGH,..."; "health_lag_ms": health shows
//       changes of state and holdings only after it; "slow_factor";
//     "refuse":"shed"|"draining"|"cold"|"" refuses every query;
//     "faults":{"empty"|"truncated"|...: share}; "late_ms"
//   GET /control/runs?request_id=..  see RunLog

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
  // The refusal that the state, the snapshot and the faults call for, if any.
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
  // Sends the reply once the network's delay has passed.
  void ReplyLater(const http::Responder& respond, http::Response response);

  http::Response HandleCancel(const std::string& body);
  http::Response HealthPage();
  http::Response LoadPage() const;
  http::Response HandleControl(const std::string& body);

  base::Duration DrawServiceTime();
  // The delay before a query reaches the leaf: the network's, and that of a
  // new connection if more requests are in hand than ever before.
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

  // What the leaf really is, and what its health page shows.
  Health health_;
  Lagged<Health> shown_health_;
  base::Duration health_lag_{};

  bool refuses_when_draining_ = true;
  double slow_factor_ = 1.0;
  // Every query is refused with this error unless it is empty.
  std::string refuse_;
  ReplyFaultShares fault_shares_;
  base::Duration late_ = base::Milliseconds(500);
  std::string previous_answer_;
  // Replies that are never sent; they hold their connections open.
  std::vector<http::Responder> lost_;

  // Queries that have come and are not yet answered, and the most of them so
  // far: callers keep that many connections open and reuse them.
  int in_hand_ = 0;
  int connections_opened_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_LEAF_SERVICE_H_

// Carries out one change of the targets, from the operator's request to its
// outcome. Handles lost replies, store outages, concurrent changes by other
// operators and restored stores. Reports a change as accepted only if it is in
// the store.

#ifndef MEDLARSPREAD_TARGETS_CHANGE_SESSION_H_
#define MEDLARSPREAD_TARGETS_CHANGE_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/store/store.h"
#include "src/targets/held_targets.h"
#include "src/targets/peer_exchange.h"
#include "src/targets/targets_change.h"
#include "src/targets/targets_settings.h"

namespace medlarspread::targets {

// Used on the control sequence only. Keeps itself alive until the outcome.
class ChangeSession : public std::enable_shared_from_this<ChangeSession> {
 public:
  ChangeSession(const TargetsSettings& settings,
                base::Clock clock,
                base::TaskRunner control,
                store::Store store,
                std::shared_ptr<HeldTargets> held,
                std::shared_ptr<PeerExchange> peers,
                TargetsChange change,
                ChangeCallback callback);

  // Steps:
  //   1. Read the record and offer it to this daemon like any other.
  //   2. If the record lists the change, it was made: accepted.
  //   3. If a live daemon has a higher revision, fetch its body first.
  //   4. Check the change against the revision in force and apply it to that.
  //      This is the record read, or a higher one if the store was restored.
  //   5. Write the result by compare-and-swap on the version read. On success,
  //      if it came into force here: accepted. Otherwise, or after a conflict
  //      or an unknown outcome: go to 1.
  void Start();

 private:
  void Read();
  void DidRead(base::Result<std::optional<store::Entry>> result);
  // Finishes if the change is recorded already; returns whether it did.
  bool FinishIfRecorded(const std::optional<TargetsRecord>& stored);
  void ApplyOn(std::int64_t version);
  // Returns the change that this one conflicts with, if there is one.
  std::optional<ChangeLost> FindConflict();
  void Write(const TargetsRecord& next, std::int64_t version);
  void DidWrite(base::Result<std::int64_t> result,
                const std::string& body,
                std::int64_t version);
  void DidStore(const std::string& body, std::int64_t version);

  // Reads again after a pause, or finishes with `error` if no time is left.
  void RetryOrFail(const base::Error& error);
  // Finishes with ChangeRefused, or with ChangeUnknown if a write may still
  // take effect.
  void FinishWithError(const base::Error& error);
  void Finish(ChangeOutcome outcome);

  const TargetsSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::Store store_;
  const std::shared_ptr<HeldTargets> held_;
  const std::shared_ptr<PeerExchange> peers_;
  const TargetsChange change_;
  ChangeCallback callback_;
  const base::MonotonicTime deadline_;

  // The revision in force here when the last read of the store was sent.
  std::int64_t revision_at_call_ = 0;
  // As long as the store holds this version, an earlier write of this session
  // may still come into force: one of unknown outcome that expected the
  // version, or one that produced it but is below the revision that came into
  // force here meanwhile.
  std::optional<std::int64_t> pending_write_version_;
  // The class as it was when the change was first applied, to detect a change
  // of the same class by another operator since.
  bool has_initial_targets_ = false;
  std::optional<blackboard::ClassTargets> initial_targets_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_CHANGE_SESSION_H_

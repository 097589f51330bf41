// One change of the targets, from the operator's request to its outcome. It
// lives through lost replies, outages, races with other operators and stores
// that were restored, and says "accepted" only of what is in the store.

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

  // 1. The record is read and offered to this daemon like any other.
  // 2. If the change is recorded in it, it was made: accepted.
  // 3. If a live daemon holds a higher revision, its body is fetched first.
  // 4. The change is checked against the revision in force and applied to it;
  //    that is the record read, or a higher one if the store was restored.
  // 5. The result is written by compare-and-swap on the version read. Success:
  //    accepted, if it came into force here. Else, or on a conflict or an
  //    unknown outcome: go to 1.
  void Start();

 private:
  void Read();
  void DidRead(base::Result<std::optional<store::Entry>> result);
  // Whether the change was found, and the session therefore ended.
  bool FinishIfRecorded(const std::optional<TargetsRecord>& stored);
  void ApplyOn(std::int64_t version);
  // The change that this one loses to, if it does.
  std::optional<ChangeLost> FindConflict();
  void Write(const TargetsRecord& next, std::int64_t version);
  void DidWrite(base::Result<std::int64_t> result,
                const std::string& body,
                std::int64_t version);
  void DidStore(const std::string& body, std::int64_t version);

  // Goes on while time is left. `error` is reported once it is not.
  void RetryOrFail(const base::Error& error);
  // Says "refused", or "unknown" if a write may still have taken effect.
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

  // What was in force here when the store was asked last.
  std::int64_t revision_at_call_ = 0;
  // As long as the store shows this version, an earlier write of this session
  // may still come into force: one of unknown outcome that expected it, or one
  // that led to it but is below what came into force here meanwhile.
  std::optional<std::int64_t> pending_write_version_;
  // The class as it was when the change was first applied, to notice that
  // another operator has changed the same class since.
  bool has_initial_targets_ = false;
  std::optional<blackboard::ClassTargets> initial_targets_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_CHANGE_SESSION_H_

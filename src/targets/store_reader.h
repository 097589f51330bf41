// Reads and watches the record of targets in the store. Only a few daemons of
// each failure domain do so. Each determines from the membership view whether
// it is one of them, so that no election or coordination is needed.

#ifndef MEDLARSPREAD_TARGETS_STORE_READER_H_
#define MEDLARSPREAD_TARGETS_STORE_READER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/store/store.h"
#include "src/targets/held_targets.h"
#include "src/targets/targets_settings.h"

namespace medlarspread::targets {

// Used on the control sequence only. Owned by shared pointer, because its
// timers and calls keep it alive. At any time one call of the store or one
// timer is pending, besides at most one repair.
class StoreReader : public std::enable_shared_from_this<StoreReader> {
 public:
  StoreReader(const TargetsSettings& settings,
              base::Random& random,
              base::TaskRunner control,
              store::Store store,
              blackboard::Blackboard& blackboard,
              std::shared_ptr<HeldTargets> held);

  void Start();
  // Makes no further calls; pending ones end without effect.
  void Stop();

  // Whether this daemon is one of the readers of its failure domain.
  bool is_reader() const;

 private:
  void StepAfter(base::Duration delay);
  // Steps:
  //   1. A daemon that is not a reader only checks its role again later.
  //   2. Read the record, because a watch does not notice a restored store
  //      whose version went back.
  //   3. Watch it until it changes or the wait is over; go to 1.
  void Step();
  void Read();
  void Watch();
  void DidRead(base::Result<std::optional<store::Entry>> result);
  void DidWatch(base::Result<std::optional<store::Entry>> result);
  void DidLearn(const std::optional<store::Entry>& entry);
  void DidFail(const base::Error& error);

  // Writes the targets in force over a lower record that a restore of the store
  // has left, if the store still has `lower_version`.
  void ScheduleRepair(std::int64_t lower_version);
  void Repair(std::int64_t lower_version);

  const TargetsSettings settings_;
  base::Random& random_;
  const base::TaskRunner control_;
  const store::Store store_;
  blackboard::Blackboard& blackboard_;
  const std::shared_ptr<HeldTargets> held_;

  bool is_stopped_ = false;
  bool should_watch_ = false;
  bool is_repairing_ = false;
  // The last version seen; kAbsent if the key does not exist.
  std::int64_t version_ = store::kAbsent;
  // The revision in force here when the pending call was sent.
  std::int64_t revision_at_call_ = 0;
  // Zero after a successful call.
  base::Duration backoff_{};
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_STORE_READER_H_

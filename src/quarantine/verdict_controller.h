// Keeps the verdicts on requests in the store, and the blackboard's view of
// them from what the store says.
//
// The store is what remembers a verdict: through a restart or loss of power of
// all daemons, and for daemons that were cut off. It costs one writing call a
// verdict, and nothing to read: verdicts come with all other news.
//
// A store that is restored from a copy has lost the latest verdicts and lifts.
// Daemons that know them keep to them; each waits for a time of its own, and
// writes what nobody has written again by then.
//
// Runs on the control thread; the only writer of Blackboard::quarantine.

#ifndef MEDLARSPREAD_QUARANTINE_VERDICT_CONTROLLER_H_
#define MEDLARSPREAD_QUARANTINE_VERDICT_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/quarantine/fingerprint.h"

namespace medlarspread::quarantine {

class VerdictController
    : public std::enable_shared_from_this<VerdictController> {
 public:
  // Writes a key that outlives every lease.
  using Put = std::function<void(std::string key,
                                 std::string value,
                                 std::function<void(base::Status)> done)>;

  VerdictController(base::TaskRunner control,
                    std::shared_ptr<base::Random> random,
                    Put put,
                    blackboard::Blackboard& blackboard,
                    base::Log log);

  void Stop() { is_stopped_ = true; }

  // Writes what this daemon has found, again and again until the store has it.
  void Record(const Fingerprint& fingerprint,
              blackboard::QuarantineEntry entry);
  // The same for what another daemon has found, in case that one could not: if
  // the store does not have it after a while.
  void RecordIfMissing(const Fingerprint& fingerprint,
                       blackboard::QuarantineEntry entry);

  // The store was restored from a copy.
  void DidRestoreStore();
  // The key of a fingerprint was written; or removed, if `value` is absent.
  void DidChange(const std::string& fingerprint,
                 const std::optional<std::string>& value);

 private:
  void Write(const std::string& fingerprint);
  bool is_known(const std::string& fingerprint) const;
  // Whether what the store says is older than what it has lost in a restore.
  bool IsLost(const std::string& fingerprint,
              const std::optional<blackboard::QuarantineEntry>& entry) const;
  void WriteAgainIfMissing(const std::string& fingerprint);
  // A time of its own for this daemon.
  base::Duration ByChance(base::Duration longest);

  const base::TaskRunner control_;
  const std::shared_ptr<base::Random> random_;
  const Put put_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  // What the store says, by the text of the fingerprint.
  blackboard::QuarantineView view_;
  // What the store has not taken yet.
  std::map<std::string, blackboard::QuarantineEntry> pending_;
  // What it has taken, but has not told of yet.
  std::map<std::string, blackboard::QuarantineEntry> acknowledged_;
  // What was known when the store was restored; empty once that is settled.
  std::map<std::string, blackboard::QuarantineEntry> at_risk_;
  // What is to be written again unless somebody else does.
  std::set<std::string> lost_;
  int restores_ = 0;
  bool is_stopped_ = false;
};

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_VERDICT_CONTROLLER_H_

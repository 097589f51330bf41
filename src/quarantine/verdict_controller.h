// Writes verdicts on requests to the store, and updates the blackboard's view
// of them from the store.
//
// The store preserves verdicts through a restart or power loss of all daemons,
// and for daemons that were disconnected. Each verdict costs one write call;
// reading costs nothing, since verdicts arrive with all other store events.
//
// A store that is restored from a backup has lost the latest verdicts and
// lifts. Daemons that know these continue to apply them. Each daemon waits for
// a random time, and then writes what no other daemon has written again.
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
  // Writes a key that is not bound to a lease.
  using Put = std::function<void(std::string key,
                                 std::string value,
                                 std::function<void(base::Status)> done)>;

  VerdictController(base::TaskRunner control,
                    std::shared_ptr<base::Random> random,
                    Put put,
                    blackboard::Blackboard& blackboard,
                    base::Log log);

  void Stop() { is_stopped_ = true; }

  // Writes a verdict that this daemon has found, and retries until the store
  // accepts it.
  void Record(const Fingerprint& fingerprint,
              blackboard::QuarantineEntry entry);
  // Writes a verdict that another daemon has found, if the store does not have
  // it after a while, in case that daemon could not write it.
  void RecordIfMissing(const Fingerprint& fingerprint,
                       blackboard::QuarantineEntry entry);

  // Called when the store was restored from a backup.
  void DidRestoreStore();
  // Called when the key of a fingerprint was written, or removed if `value` is
  // absent.
  void DidChange(const std::string& fingerprint,
                 const std::optional<std::string>& value);

 private:
  void Write(const std::string& fingerprint);
  bool is_known(const std::string& fingerprint) const;
  // Whether the state in the store is older than one that was lost in a
  // restore.
  bool IsLost(const std::string& fingerprint,
              const std::optional<blackboard::QuarantineEntry>& entry) const;
  void RewriteIfMissing(const std::string& fingerprint);
  // A random duration of up to `longest`, so that daemons do not all act at
  // once.
  base::Duration RandomDelay(base::Duration longest);

  const base::TaskRunner control_;
  const std::shared_ptr<base::Random> random_;
  const Put put_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  // The state in the store, keyed by the text of the fingerprint.
  blackboard::QuarantineView view_;
  // Verdicts that the store has not accepted yet.
  std::map<std::string, blackboard::QuarantineEntry> pending_;
  // Verdicts that the store has accepted, but whose event has not arrived yet.
  std::map<std::string, blackboard::QuarantineEntry> acknowledged_;
  // The verdicts known when the store was restored; empty once the restore has
  // settled.
  std::map<std::string, blackboard::QuarantineEntry> known_at_restore_;
  // Verdicts to be written again unless another daemon does so first.
  std::set<std::string> to_rewrite_;
  int restores_ = 0;
  bool is_stopped_ = false;
};

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_VERDICT_CONTROLLER_H_

// Blocks requests that crash the leaves that execute them.
//
// Steps:
//   1. A session reports each send whose connection broke before an answer.
//      Only the connection may have been lost, so the leaf's address is probed:
//      if it refuses a connection, the leaf's process has ended. If it accepts
//      one, the process is alive; if it does not respond, the machine has lost
//      its power or its link, for which no request is to blame.
//   2. The ledger records the end of the process under each request that was
//      running at the leaf, and judges these requests (suspect_ledger.h).
//   3. Ends that add to the evidence, completions of suspects, and convictions
//      are reported to all daemons: at once, since a caller's next retry
//      reaches another daemon within some 10 ms, and kReportSends times, since
//      datagrams may be lost.
//   4. If a whole service crashes repeatedly, such as after a faulty release,
//      its most frequent requests are convicted too. So one retry of each
//      convicted request may be sent to one leaf, by the one daemon that
//      rendezvous hashing selects, and no earlier than kRetrialAfter after that
//      daemon first refused the request. An answer clears the request;
//      otherwise only an operator can.
//   5. A conviction is written to the store, from which daemons learn it that
//      start later or were disconnected. Until the store has accepted it, it is
//      reported periodically.
//
// Runs on the traffic thread.

#ifndef MEDLARSPREAD_QUARANTINE_QUARANTINE_H_
#define MEDLARSPREAD_QUARANTINE_QUARANTINE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/blackboard/blackboard.h"
#include "src/http1/port_check.h"
#include "src/quarantine/run_report.h"
#include "src/quarantine/suspect_ledger.h"

namespace medlarspread::quarantine {

struct QuarantinePorts {
  // Probes the leaf's address; the callback runs once, never before this
  // function has returned.
  std::function<void(const blackboard::Upstream&,
                     std::function<void(http1::PortState)>)>
      check;
  // VerdictController::Record() and RecordIfMissing().
  std::function<void(const Fingerprint&, blackboard::QuarantineEntry)> record;
  std::function<void(const Fingerprint&, blackboard::QuarantineEntry)>
      record_if_missing;
  // Called when there are reports that should be sent without delay.
  std::function<void()> has_reports;
  // Called when a leaf's process was found to have ended during requests, and
  // when a request was convicted.
  std::function<void()> did_end_leaf;
  std::function<void()> did_convict;
};

class Quarantine : public std::enable_shared_from_this<Quarantine> {
 public:
  Quarantine(base::Clock clock,
             std::shared_ptr<base::Random> random,
             const blackboard::Blackboard& blackboard,
             QuarantinePorts ports,
             base::Log log);

  // The standing of the request by all that this daemon, its peers and the
  // store know.
  Standing StandingOf(const Fingerprint& fingerprint) const;
  // The delay after which the caller should retry an accused or convicted
  // request.
  base::Duration RetryAfter(const Fingerprint& fingerprint) const;

  // Returns whether a convicted request may be sent once more (step 4). If so,
  // the retrial counts as used from then on.
  bool TakeRetrial(const Fingerprint& fingerprint);

  // Called when the connection of a send broke before an answer. `sent` is the
  // time of the send.
  void DidLose(const Fingerprint& fingerprint,
               const blackboard::Upstream& leaf,
               base::MonotonicTime sent);
  // Called when a leaf answered the request.
  void DidComplete(const Fingerprint& fingerprint);

  // Returns up to `most` reports to send to the other daemons, and convicts
  // requests that are due. Called several times a second.
  std::vector<RunReport> TakeReports(std::size_t most);
  // Handles a report of another daemon.
  void DidHear(const RunReport& report);

 private:
  // A report that is to be sent `times` more times.
  struct QueuedReport {
    RunReport report;
    int times = 0;
  };

  // The requests whose connections to one leaf broke, while the leaf's address
  // is being probed.
  struct Check {
    std::string address;
    std::vector<std::pair<Fingerprint, EndedRun>> runs;
  };

  // The time since which this daemon has refused a convicted request.
  struct Refusals {
    base::MonotonicTime since;
    bool is_retrial_used = false;
  };

  bool is_selected_for_retrial(const Fingerprint& fingerprint) const;
  void DidCheck(const std::string& leaf, http1::PortState state);
  void DidEndLeaf(const Fingerprint& fingerprint, const EndedRun& run);
  void ConvictDue();
  void ReportUnrecorded();
  void QueueReport(RunReport report);
  void ReportContradiction(const Fingerprint& fingerprint,
                           SuspectLedger::Contradiction contradicted);
  // The state in the store, if it is binding: a cleared request counts like one
  // that is not in the store.
  std::optional<blackboard::QuarantineState> RecordedState(
      const Fingerprint& fingerprint) const;

  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const blackboard::Blackboard& blackboard_;
  const QuarantinePorts ports_;
  const base::Log log_;
  SuspectLedger ledger_;
  // Keyed by the leaf's name.
  std::map<std::string, Check> checks_;
  std::deque<QueuedReport> queued_reports_;
  // Keyed by convicted request; requests that were not received are not listed.
  std::map<Fingerprint, Refusals> refusals_;
  base::MonotonicTime last_unrecorded_report_;
};

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_QUARANTINE_H_

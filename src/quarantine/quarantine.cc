// Handles lost connections, reports of other daemons, and convictions.

#include "src/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::quarantine {

namespace {

using base::MonotonicTime;
using blackboard::QuarantineEntry;
using blackboard::QuarantineState;

// The number of times that each report is sent. Each time, another strong
// daemon of each failure domain forwards it. If one in ten datagrams is lost on
// each of two hops, 7 of 1,000 daemons receive none of the three.
constexpr int kReportSends = 3;
// The maximum number of reports waiting to be sent; at six per 100 ms this is
// half a second's worth. Beyond it the oldest are dropped, which have been sent
// at least once.
constexpr std::size_t kMaxQueuedReports = 30;
// The maximum number of leaves probed at the same time, and of requests
// recorded for each of them.
constexpr std::size_t kMaxChecks = 64;
constexpr std::size_t kMaxRunsPerCheck = 32;
// The interval at which a conviction that is not in the store is reported
// again: short enough that a daemon that has just started learns of it before
// it has received callers' requests for long.
constexpr base::Duration kUnrecordedReportInterval = base::Milliseconds(1'000);
// The average number of daemons that report it again in each interval.
constexpr double kUnrecordedReporters = 8.0;
// The retry delay of a convicted request, which stays blocked until an operator
// lifts the verdict.
constexpr base::Duration kRetryAfterVerdict = base::Milliseconds(60'000);

// A faulty release is rolled back within some minutes; callers of a request
// that was convicted because of it wait at most this long.
constexpr base::Duration kRetrialAfter = base::Milliseconds(60'000);
// The delay of a datagram to the farthest region over two hops makes reported
// times appear later by up to this much. Without this correction, two leaves
// that ended at the same moment could look as if one ended after the other.
constexpr base::Duration kMaxReportDelay = base::Milliseconds(20);
constexpr std::size_t kMaxRefusals = 4096;

std::string Describe(const std::vector<EndedRun>& runs, MonotonicTime now) {
  std::string text;
  for (const EndedRun& run : runs) {
    text += (text.empty() ? "" : ", ") + run.leaf + " " +
            std::to_string((now - run.ended).count() / 1000) + " ms ago";
  }
  return text;
}

}  // namespace

Quarantine::Quarantine(base::Clock clock,
                       std::shared_ptr<base::Random> random,
                       const blackboard::Blackboard& blackboard,
                       QuarantinePorts ports,
                       base::Log log)
    : clock_(std::move(clock)),
      random_(std::move(random)),
      blackboard_(blackboard),
      ports_(std::move(ports)),
      log_(std::move(log)) {}

std::optional<QuarantineState> Quarantine::RecordedState(
    const Fingerprint& fingerprint) const {
  const auto view = blackboard_.quarantine.Read();
  if (view->entries.empty()) {
    return std::nullopt;
  }
  const auto row = view->entries.find(ToText(fingerprint));
  if (row == view->entries.end() ||
      row->second.state == QuarantineState::kCleared) {
    return std::nullopt;
  }
  return row->second.state;
}

Standing Quarantine::StandingOf(const Fingerprint& fingerprint) const {
  const auto recorded = RecordedState(fingerprint);
  if (!recorded) {
    return ledger_.StandingOf(fingerprint);
  }
  return *recorded == QuarantineState::kLifted ? Standing::kClear
                                               : Standing::kConvicted;
}

bool Quarantine::is_selected_for_retrial(const Fingerprint& fingerprint) const {
  const auto view = blackboard_.membership.Read();
  std::vector<std::string> names;
  for (const auto& [name, member] : view->members) {
    names.push_back(name);
  }
  const auto ranked = base::RankByRendezvous(ToText(fingerprint), names);
  return !ranked.empty() && ranked.front() == view->self;
}

bool Quarantine::TakeRetrial(const Fingerprint& fingerprint) {
  const auto recorded = RecordedState(fingerprint);
  const bool has_capacity =
      refusals_.contains(fingerprint) || refusals_.size() < kMaxRefusals;
  if (recorded != QuarantineState::kConvicted || !has_capacity) {
    return false;
  }
  const MonotonicTime now = clock_.Now();
  Refusals& refusals =
      refusals_.try_emplace(fingerprint, Refusals{now, false}).first->second;
  if (refusals.is_retrial_used || now - refusals.since < kRetrialAfter ||
      !is_selected_for_retrial(fingerprint)) {
    return false;
  }
  refusals.is_retrial_used = true;
  ports_.record(fingerprint,
                {QuarantineState::kRetried, clock_.WallMilliseconds(), ""});
  log_.Write({.level = base::LogLevel::kWarning,
              .step = base::Step::kAdmit,
              .message = "fingerprint " + ToText(fingerprint) +
                         " is sent once more, to one leaf"});
  return true;
}

base::Duration Quarantine::RetryAfter(const Fingerprint& fingerprint) const {
  if (StandingOf(fingerprint) != Standing::kAccused) {
    return kRetryAfterVerdict;
  }
  return std::max(base::Duration{},
                  ledger_.ConvictionTimeOf(fingerprint) - clock_.Now());
}

void Quarantine::DidLose(const Fingerprint& fingerprint,
                         const blackboard::Upstream& leaf,
                         MonotonicTime sent) {
  const bool is_checked = checks_.contains(leaf.name);
  if (!is_checked && checks_.size() >= kMaxChecks) {
    return;
  }
  Check& check = checks_[leaf.name];
  if (check.runs.size() < kMaxRunsPerCheck) {
    check.runs.push_back({fingerprint, {sent, clock_.Now(), leaf.name, true}});
  }
  if (is_checked) {
    return;
  }
  check.address = leaf.address;
  ports_.check(leaf, [self = weak_from_this(),
                      name = leaf.name](http1::PortState state) {
    if (const auto quarantine = self.lock()) {
      quarantine->DidCheck(name, state);
    }
  });
}

void Quarantine::DidCheck(const std::string& leaf, http1::PortState state) {
  const auto check = checks_.extract(leaf);
  if (check.empty() || state != http1::PortState::kRefused) {
    return;
  }
  ports_.did_end_leaf();
  std::string requests;
  for (const auto& [fingerprint, run] : check.mapped().runs) {
    requests += " " + ToText(fingerprint);
  }
  log_.Write(
      {.level = base::LogLevel::kWarning,
       .step = base::Step::kReadUpstream,
       .peer = check.mapped().address,
       .message = "leaf " + leaf +
                  " has ended while executing these fingerprints:" + requests});
  for (const auto& [fingerprint, run] : check.mapped().runs) {
    const int rounds = ledger_.RoundsOf(fingerprint);
    DidEndLeaf(fingerprint, run);
    if (ledger_.RoundsOf(fingerprint) > rounds) {
      QueueReport(
          {fingerprint, RunFinding::kLeafEnded, run.began, run.ended, leaf});
    }
  }
}

void Quarantine::DidEndLeaf(const Fingerprint& fingerprint,
                            const EndedRun& run) {
  if (RecordedState(fingerprint)) {
    return;
  }
  const Standing before = ledger_.StandingOf(fingerprint);
  const auto contradicted = ledger_.DidEndLeaf(fingerprint, run, clock_.Now());
  if (contradicted) {
    ReportContradiction(fingerprint, *contradicted);
    return;
  }
  const Standing after = ledger_.StandingOf(fingerprint);
  if (before != after) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kAdmit,
                .message = std::string("fingerprint ") + ToText(fingerprint) +
                           " is " + kStandingNames.NameOf(after) + ": leaf " +
                           run.leaf + " ended while executing it"});
  }
}

void Quarantine::ReportContradiction(
    const Fingerprint& fingerprint,
    SuspectLedger::Contradiction contradicted) {
  QueueReport({fingerprint, RunFinding::kCompleted, contradicted.completed,
               contradicted.completed, ""});
}

void Quarantine::DidComplete(const Fingerprint& fingerprint) {
  const MonotonicTime now = clock_.Now();
  const bool was_suspect = ledger_.DidComplete(fingerprint, now);
  const auto recorded = RecordedState(fingerprint);
  const bool is_recorded = recorded == QuarantineState::kConvicted ||
                           recorded == QuarantineState::kRetried;
  if (is_recorded) {
    refusals_.erase(fingerprint);
    ports_.record(fingerprint,
                  {QuarantineState::kCleared, clock_.WallMilliseconds(), ""});
  }
  if (!was_suspect && !is_recorded) {
    return;
  }
  QueueReport({fingerprint, RunFinding::kCompleted, now, now, ""});
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kAdmit,
              .message = "fingerprint " + ToText(fingerprint) +
                         " is cleared: one of its runs has completed"});
}

std::vector<RunReport> Quarantine::TakeReports(std::size_t most) {
  ConvictDue();
  ReportUnrecorded();
  std::vector<RunReport> reports;
  std::deque<QueuedReport> again;
  while (reports.size() < most && !queued_reports_.empty()) {
    QueuedReport queued = std::move(queued_reports_.front());
    queued_reports_.pop_front();
    reports.push_back(queued.report);
    if (--queued.times > 0) {
      again.push_back(std::move(queued));
    }
  }
  queued_reports_.insert(queued_reports_.end(), again.begin(), again.end());
  return reports;
}

void Quarantine::ConvictDue() {
  const MonotonicTime now = clock_.Now();
  for (const Conviction& conviction : ledger_.ConvictDue(now)) {
    const Fingerprint& fingerprint = conviction.fingerprint;
    const std::string evidence = Describe(conviction.runs, now);
    ports_.did_convict();
    const QuarantineEntry entry{QuarantineState::kConvicted,
                                clock_.WallMilliseconds(), evidence};
    // All daemons that received the evidence convict within a short time; one
    // of them writes the verdict.
    if (conviction.is_own) {
      ports_.record(fingerprint, entry);
    } else {
      ports_.record_if_missing(fingerprint, entry);
    }
    QueueReport({fingerprint, RunFinding::kConvicted, now, now, ""});
    log_.Write(
        {.level = base::LogLevel::kError,
         .step = base::Step::kAdmit,
         .message = "fingerprint " + ToText(fingerprint) +
                    " is convicted and is not sent to any leaf; " +
                    "leaves that ended while executing it: " + evidence});
  }
}

void Quarantine::ReportUnrecorded() {
  const MonotonicTime now = clock_.Now();
  if (ledger_.convicted().empty() ||
      now - last_unrecorded_report_ < kUnrecordedReportInterval) {
    return;
  }
  last_unrecorded_report_ = now;
  const auto daemons =
      static_cast<double>(blackboard_.membership.Read()->members.size());
  const std::set<Fingerprint> convicted = ledger_.convicted();
  for (const Fingerprint& fingerprint : convicted) {
    if (RecordedState(fingerprint)) {
      // From now on the state in the store is binding, also if it changes.
      ledger_.Forget(fingerprint);
    } else if (random_->Unit() * daemons < kUnrecordedReporters) {
      QueueReport({fingerprint, RunFinding::kConvicted, now, now, ""});
    }
  }
}

void Quarantine::QueueReport(RunReport report) {
  if (queued_reports_.size() >= kMaxQueuedReports) {
    queued_reports_.pop_front();
  }
  queued_reports_.push_back({std::move(report), kReportSends});
  ports_.has_reports();
}

void Quarantine::DidHear(const RunReport& report) {
  const Fingerprint& fingerprint = report.fingerprint;
  switch (report.finding) {
    case RunFinding::kLeafEnded:
      DidEndLeaf(fingerprint,
                 {report.began - kMaxReportDelay, report.ended, report.leaf});
      return;
    case RunFinding::kCompleted:
      (void)ledger_.DidComplete(fingerprint, report.ended);
      return;
    case RunFinding::kConvicted:
      break;
  }
  if (RecordedState(fingerprint) ||
      !ledger_.DidReceiveConviction(fingerprint)) {
    return;
  }
  log_.Write({.level = base::LogLevel::kWarning,
              .step = base::Step::kAdmit,
              .message = "fingerprint " + ToText(fingerprint) +
                         " is convicted by another daemon"});
  ports_.record_if_missing(
      fingerprint, {QuarantineState::kConvicted, clock_.WallMilliseconds(),
                    "told by a daemon"});
}

}  // namespace medlarspread::quarantine

// The part of MembershipCore that merges received heartbeats and replies to
// them.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/membership/membership_core.h"

namespace medlarspread::membership {

namespace {

using peer::wire::Heartbeat;

// A larger number of changes comes from a full table. Those are not passed on,
// since the other daemons exchange tables as well: doing so would keep a newly
// started daemon busy for minutes.
constexpr std::size_t kMaxPassedOn = 16;
// How often the records of one domain are requested, and for how many domains
// at once. This bounds the cost of table comparisons.
constexpr base::Duration kWantedInterval = base::Milliseconds(2000);
constexpr std::size_t kMaxWantedDomains = 4;
// Added to the ages that other daemons report, because they don't include the
// time in transit. Without it, an age that is passed back and forth would
// shrink with each hop, and an unreachable domain would eventually seem to have
// been heard from.
constexpr base::Duration kRelayAllowance = base::Milliseconds(250);

}  // namespace

void MembershipCore::DidReceiveHeartbeat(const peer::Sender& sender,
                                         const Heartbeat& heartbeat) {
  if (!is_running_) {
    return;
  }
  if (heartbeat.sender.name != sender.name) {
    // The peer links' notice to an older incarnation has no sender record.
    MergeOthers(heartbeat);
    return;
  }
  const bool is_outdated = MergeSender(heartbeat);
  MergeOthers(heartbeat);
  if (!is_running_) {
    return;
  }
  MergeDraining(heartbeat);
  MergeUnreachable(heartbeat);
  MergeSummaries(heartbeat);
  ReportTargets(heartbeat.sender);
  if (KindOf(heartbeat) == HeartbeatKind::kTable && !is_settled_) {
    DidSettle();
  }
  Reply(heartbeat, is_outdated);
}

// Returns whether a newer record of the sender is known.
bool MembershipCore::MergeSender(const Heartbeat& heartbeat) {
  const Record& record = heartbeat.sender;
  const MergeResult result = table_.Merge(record, clock_.Now());
  const Record* known = table_.Find(record.name);
  // A sender that was declared gone counts as heard from only once it has
  // refuted that.
  if (known != nullptr && IsPresent(*known) &&
      known->incarnation == record.incarnation) {
    detector_.DidHear(record.name);
    prober_.DidHear(record.name);
    DidHearDomain(record.failure_domain);
  }
  if (result == MergeResult::kRevisionChanged) {
    MarkChanged();
  }
  if (result == MergeResult::kRefuted || result == MergeResult::kStateChanged) {
    MarkChanged();
    messenger_.AddRecent(record.name);
    detector_.DidRefute(record.name);
  }
  if (result == MergeResult::kStateChanged) {
    PassOn({record}, is_own_domain(record.failure_domain));
  }
  return result == MergeResult::kOutdated;
}

void MembershipCore::DidHearDomain(const std::string& domain) {
  if (is_own_domain(domain) || !reachability_.DidHear(domain, clock_.Now())) {
    return;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kMembership,
              .message = "failure domain is reachable again: " + domain});
  MarkChanged();
  messenger_.SpreadInDomain({});
}

void MembershipCore::MergeOthers(const Heartbeat& heartbeat) {
  std::vector<Record> changed;
  for (const Record& record : heartbeat.others) {
    if (StateOf(record) == RecordState::kSuspected) {
      detector_.DidRequestProbe(record, heartbeat.sender.name);
    }
    MergeRecord(record, heartbeat.sender.name, changed);
    if (!is_running_) {
      return;
    }
  }
  if (!changed.empty()) {
    MarkChanged();
  }
  if (changed.size() > kMaxPassedOn ||
      KindOf(heartbeat) == HeartbeatKind::kTable) {
    return;
  }
  for (const Record& record : changed) {
    messenger_.AddRecent(record.name);
  }
  PassOn(changed, is_own_domain(heartbeat.sender.failure_domain));
}

void MembershipCore::MergeRecord(const Record& record,
                                 const std::string& from,
                                 std::vector<Record>& changed) {
  switch (table_.Merge(record, clock_.Now())) {
    case MergeResult::kUnchanged:
    case MergeResult::kOutdated:
      return;
    case MergeResult::kRevisionChanged:
      MarkChanged();
      return;
    case MergeResult::kRefuted:
      prober_.DidHear(record.name);
      DidHearDomain(record.failure_domain);
      detector_.DidRefute(record.name);
      messenger_.AddRecent(record.name);
      return;
    case MergeResult::kStateChanged:
      if (record.name == settings_.name) {
        is_announcement_due_ = true;
        MarkChanged();
        return;
      }
      if (IsPresent(record)) {
        detector_.DidRefute(record.name);
      }
      changed.push_back(*table_.Find(record.name));
      return;
    case MergeResult::kSelfRefuted:
      // The daemon that suspects this one is told at once, the others in the
      // next round.
      is_announcement_due_ =
          is_announcement_due_ || StateOf(record) == RecordState::kGone;
      if (!from.empty() && from != settings_.name) {
        messenger_.Send(from, messenger_.Compose(HeartbeatKind::kUpdate));
      }
      return;
    case MergeResult::kSelfReplaced:
      HandleReplacement(record.incarnation);
      return;
  }
}

void MembershipCore::PassOn(const std::vector<Record>& changed,
                            bool is_from_own_domain) {
  std::vector<Record> own;
  std::vector<Record> foreign;
  for (const Record& record : changed) {
    (is_own_domain(record.failure_domain) ? own : foreign).push_back(record);
  }
  if (!own.empty() && messenger_.IsDelegate()) {
    messenger_.SpreadToDomains(own);
  }
  if (!foreign.empty() && !is_from_own_domain) {
    messenger_.SpreadInDomain(foreign);
  }
}

void MembershipCore::MergeDraining(const Heartbeat& heartbeat) {
  bool has_new_notice = false;
  for (const auto& [upstream, age_ms] : heartbeat.draining_upstreams) {
    const base::Duration age = base::Milliseconds(age_ms);
    if (!notices_.Add(upstream, age, clock_.Now())) {
      continue;
    }
    has_new_notice = true;
    if (callbacks_.did_hear_draining) {
      callbacks_.did_hear_draining(upstream, age);
    }
  }
  if (has_new_notice && !is_own_domain(heartbeat.sender.failure_domain)) {
    messenger_.SpreadInDomain({});
  }
}

void MembershipCore::MergeUnreachable(const Heartbeat& heartbeat) {
  if (!is_own_domain(heartbeat.sender.failure_domain) ||
      messenger_.IsDelegate()) {
    return;
  }
  const auto delegates =
      table_.DelegatesOf(settings_.failure_domain, settings_.delegates);
  const bool is_authoritative =
      KindOf(heartbeat) == HeartbeatKind::kTable ||
      std::find(delegates.begin(), delegates.end(), heartbeat.sender.name) !=
          delegates.end();
  if (is_authoritative &&
      reachability_.SetUnreachable(heartbeat.unreachable_domains)) {
    MarkChanged();
  }
}

void MembershipCore::MergeSummaries(const Heartbeat& heartbeat) {
  if (heartbeat.domains.empty()) {
    return;
  }
  for (const auto& [domain, summary] : heartbeat.domains) {
    if (!is_own_domain(domain)) {
      MergeSummary(domain, summary, domain == heartbeat.sender.failure_domain);
    }
  }
  auto wanted = ChooseWanted(heartbeat);
  if (wanted.empty()) {
    return;
  }
  Heartbeat request = messenger_.Compose(HeartbeatKind::kUpdate);
  request.wanted_domains = std::move(wanted);
  messenger_.Send(heartbeat.sender.name, std::move(request));
}

void MembershipCore::MergeSummary(const std::string& domain,
                                  const peer::wire::DomainSummary& summary,
                                  bool is_from_domain) {
  if (summary.age_ms < 0 || summary.age_ms == INT32_MAX) {
    return;
  }
  const base::MonotonicTime now = clock_.Now();
  const base::Duration age =
      base::Milliseconds(summary.age_ms) + kRelayAllowance;
  if (is_from_domain || age < reachability_.AgeOf(domain, now)) {
    if (messenger_.LowestRevisionOf(domain) != summary.lowest_revision) {
      messenger_.SetLowestRevision(domain, summary.lowest_revision);
      MarkChanged();
    }
  }
  if (reachability_.DidHear(domain, now - age)) {
    MarkChanged();
  }
}

std::vector<std::string> MembershipCore::ChooseWanted(
    const Heartbeat& heartbeat) {
  std::vector<std::string> wanted;
  const base::MonotonicTime now = clock_.Now();
  for (const auto& [domain, summary] : heartbeat.domains) {
    if (wanted.size() == kMaxWantedDomains) {
      break;
    }
    const auto [asked, is_first] = wanted_at_.try_emplace(domain, now);
    const std::int64_t digest =
        messenger_.DigestFor(domain, heartbeat.sender.failure_domain);
    if (digest == summary.digest ||
        (!is_first && now - asked->second < kWantedInterval)) {
      continue;
    }
    asked->second = now;
    wanted.push_back(domain);
  }
  return wanted;
}

void MembershipCore::ReportTargets(const Record& sender) {
  const Record& self = table_.self();
  const bool is_other = sender.targets_revision > self.targets_revision ||
                        (sender.targets_revision == self.targets_revision &&
                         sender.targets_digest != self.targets_digest);
  if (is_other && callbacks_.did_see_targets) {
    callbacks_.did_see_targets(sender.name, sender.targets_revision,
                               sender.targets_digest);
  }
}

void MembershipCore::Reply(const Heartbeat& heartbeat, bool is_outdated) {
  const std::string& peer = heartbeat.sender.name;
  const bool is_probe = KindOf(heartbeat) == HeartbeatKind::kProbe;
  if (!is_probe && !is_outdated && heartbeat.wanted_domains.empty()) {
    return;
  }
  // A daemon that is not settled itself sends no table: it may know no more
  // than the requester.
  const bool is_table = heartbeat.wants_table && is_settled_;
  Heartbeat reply = messenger_.ComposeWithRecent(
      is_table ? HeartbeatKind::kTable : HeartbeatKind::kAnswer);
  if (heartbeat.wants_table) {
    reply.others = table_.AllRecords();
    const std::string& domain = heartbeat.sender.failure_domain;
    reply.domains = is_own_domain(domain) ? messenger_.SummarizeAll()
                                          : messenger_.SummarizeFor(domain);
  }
  for (const std::string& domain : heartbeat.wanted_domains) {
    const auto records = table_.RecordsOf(domain);
    reply.others.insert(reply.others.end(), records.begin(), records.end());
  }
  const Record* known = table_.Find(peer);
  if (is_outdated && known != nullptr) {
    reply.others.push_back(*known);
  }
  messenger_.Send(peer, std::move(reply));
}

}  // namespace medlarspread::membership

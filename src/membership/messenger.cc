// Implementation of membership::Messenger.

#include "src/membership/messenger.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace medlarspread::membership {

namespace {

using peer::wire::Heartbeat;

// With four exchanges a round in each direction, a record on this many
// heartbeats of each daemon that has it practically always reaches 94 daemons,
// since each of them passes it on as often.
constexpr int kRecentCopies = 8;
constexpr std::size_t kMaxRecentPerHeartbeat = 8;

std::int32_t ToMilliseconds(base::Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::int32_t>(std::min<std::int64_t>(count, INT32_MAX));
}

}  // namespace

Messenger::Messenger(const MembershipSettings& settings,
                     const base::Clock& clock,
                     base::Random& random,
                     peer::PeerPort port,
                     MemberTable& table,
                     DomainReachability& reachability,
                     DrainingNotices& notices,
                     std::function<void(const std::string&)> before_send)
    : settings_(settings),
      clock_(clock),
      random_(random),
      port_(std::move(port)),
      table_(table),
      reachability_(reachability),
      notices_(notices),
      before_send_(std::move(before_send)) {}

Heartbeat Messenger::Compose(HeartbeatKind kind) {
  Heartbeat heartbeat;
  heartbeat.sender = table_.self();
  heartbeat.kind = static_cast<int>(kind);
  heartbeat.draining_upstreams = notices_.Current(clock_.Now());
  heartbeat.unreachable_domains = reachability_.Unreachable();
  return heartbeat;
}

Heartbeat Messenger::ComposeWithRecent(HeartbeatKind kind) {
  Heartbeat heartbeat = Compose(kind);
  for (auto row = recent_.begin();
       row != recent_.end() &&
       heartbeat.others.size() < kMaxRecentPerHeartbeat;) {
    const Record* record = table_.Find(row->first);
    if (record != nullptr) {
      heartbeat.others.push_back(*record);
    }
    if (record == nullptr || --row->second == 0) {
      row = recent_.erase(row);
    } else {
      ++row;
    }
  }
  return heartbeat;
}

void Messenger::Send(const std::string& peer, Heartbeat heartbeat) {
  before_send_(peer);
  const Record* known = table_.Find(peer);
  if (known != nullptr && !IsPresent(*known)) {
    // Tells a VM that counts as gone about it, so that it can refute it.
    heartbeat.others.push_back(*known);
  }
  // NOTE: the status is ignored. An unreachable peer does not answer, and
  // membership detects that.
  static_cast<void>(port_.send(peer, std::move(heartbeat)));
}

void Messenger::SpreadInDomain(const std::vector<Record>& records) {
  const auto names = table_.PresentIn(table_.self().failure_domain);
  std::set<std::string> receivers(names.begin(), names.end());
  for (const Record& record : records) {
    if (record.name != table_.self().name &&
        record.failure_domain == table_.self().failure_domain) {
      receivers.insert(record.name);
    }
  }
  Heartbeat heartbeat = Compose(HeartbeatKind::kUpdate);
  heartbeat.others = records;
  for (const std::string& name : receivers) {
    Send(name, heartbeat);
  }
}

void Messenger::SpreadToDomains(const std::vector<Record>& records) {
  Heartbeat heartbeat = Compose(HeartbeatKind::kUpdate);
  heartbeat.others = records;
  for (const std::string& domain : table_.Domains()) {
    if (domain == table_.self().failure_domain ||
        !reachability_.IsReachable(domain)) {
      continue;
    }
    const std::string peer = PickDelegateOf(domain);
    if (!peer.empty()) {
      Send(peer, heartbeat);
    }
  }
}

void Messenger::AddRecent(const std::string& name) {
  recent_[name] = kRecentCopies;
}

std::map<std::string, peer::wire::DomainSummary> Messenger::SummarizeAll()
    const {
  std::map<std::string, peer::wire::DomainSummary> summaries;
  for (const std::string& domain : table_.Domains()) {
    summaries[domain] = SummaryOf(domain, table_.self().failure_domain);
  }
  return summaries;
}

std::map<std::string, peer::wire::DomainSummary> Messenger::SummarizeFor(
    const std::string& other_domain) const {
  std::map<std::string, peer::wire::DomainSummary> summaries;
  for (const std::string& domain :
       {table_.self().failure_domain, other_domain}) {
    summaries[domain] = SummaryOf(domain, other_domain);
  }
  return summaries;
}

peer::wire::DomainSummary Messenger::SummaryOf(
    const std::string& domain,
    const std::string& peer_domain) const {
  peer::wire::DomainSummary summary;
  summary.digest = DigestFor(domain, peer_domain);
  summary.lowest_revision = LowestRevisionOf(domain);
  summary.age_ms =
      domain == table_.self().failure_domain
          ? 0
          : ToMilliseconds(reachability_.AgeOf(domain, clock_.Now()));
  return summary;
}

std::int64_t Messenger::DigestFor(const std::string& domain,
                                  const std::string& peer_domain) const {
  const bool is_within =
      domain == table_.self().failure_domain && domain == peer_domain;
  return table_.DigestOf(
      domain, is_within ? MemberTable::DigestScope::kMembersAndRevisions
                        : MemberTable::DigestScope::kMembers);
}

std::int64_t Messenger::LowestRevisionOf(const std::string& domain) const {
  if (domain == table_.self().failure_domain) {
    return table_.LowestRevisionOf(domain);
  }
  const auto row = lowest_revisions_.find(domain);
  return row == lowest_revisions_.end() ? 0 : row->second;
}

void Messenger::SetLowestRevision(const std::string& domain,
                                  std::int64_t revision) {
  lowest_revisions_[domain] = revision;
}

bool Messenger::IsDelegate() const {
  const auto delegates =
      table_.DelegatesOf(table_.self().failure_domain, settings_.delegates);
  return std::find(delegates.begin(), delegates.end(), table_.self().name) !=
         delegates.end();
}

std::string Messenger::PickDelegateOf(const std::string& domain) {
  const auto delegates = table_.DelegatesOf(domain, settings_.delegates);
  if (!delegates.empty()) {
    return delegates[random_.Below(delegates.size())];
  }
  // All daemons of the domain are leaving; any of them will do.
  const auto present = table_.PresentIn(domain);
  return present.empty() ? std::string()
                         : present[random_.Below(present.size())];
}

}  // namespace medlarspread::membership

// Implementation of membership::DomainProber.

#include "src/membership/domain_prober.h"

#include <utility>

#include "src/membership/shuffle.h"

namespace medlarspread::membership {

DomainProber::DomainProber(const MembershipSettings& settings,
                           const base::Clock& clock,
                           base::Random& random,
                           MemberTable& table,
                           DomainReachability& reachability,
                           Messenger& messenger,
                           FailureDetector& detector)
    : settings_(settings),
      clock_(clock),
      random_(random),
      table_(table),
      reachability_(reachability),
      messenger_(messenger),
      detector_(detector),
      probes_(settings.answer_timeout, settings.suspicion_timeout) {}

bool DomainProber::RunRound() {
  for (const std::string& name :
       probes_.CheckTimeouts(clock_.Now()).suspected) {
    Suspect(name);
  }
  if (clock_.Now() >= next_probe_) {
    next_probe_ = clock_.Now() + settings_.domain_interval;
    ProbeNextDomain();
  }
  ProbeFailingDomains();
  return reachability_.MarkUnreachable(clock_.Now());
}

void DomainProber::ProbeNextDomain() {
  if (remaining_.empty()) {
    remaining_ = table_.Domains();
    std::erase(remaining_, table_.self().failure_domain);
    Shuffle(remaining_, random_);
  }
  if (remaining_.empty()) {
    return;
  }
  Probe(messenger_.PickDelegateOf(remaining_.back()));
  remaining_.pop_back();
}

// Probes a random daemon of each failing domain instead of a delegate: the
// delegates may be what failed.
void DomainProber::ProbeFailingDomains() {
  for (const std::string& domain : reachability_.Failing()) {
    if (!reachability_.IsReachable(domain)) {
      // Already known to be unreachable; the regular probes are enough.
      continue;
    }
    const auto present = table_.PresentIn(domain);
    if (!present.empty()) {
      Probe(present[random_.Below(present.size())]);
    }
  }
}

void DomainProber::Probe(const std::string& name) {
  if (table_.Find(name) == nullptr) {
    return;
  }
  probes_.DidProbe(name, clock_.Now());
  peer::wire::Heartbeat probe = messenger_.Compose(HeartbeatKind::kProbe);
  probe.domains = messenger_.SummarizeFor(table_.Find(name)->failure_domain);
  messenger_.Send(name, std::move(probe));
}

void DomainProber::Suspect(const std::string& name) {
  probes_.DidHear(name);
  const Record* record = table_.Find(name);
  if (record == nullptr) {
    return;
  }
  const base::MonotonicTime now = clock_.Now();
  reachability_.DidFail(record->failure_domain, now - settings_.answer_timeout,
                        now);
  auto other_delegates =
      table_.DelegatesOf(table_.self().failure_domain, settings_.delegates);
  std::erase(other_delegates, table_.self().name);
  detector_.ProbeIndirectly(name, std::move(other_delegates));
}

void DomainProber::DidHear(const std::string& name) {
  probes_.DidHear(name);
}

void DomainProber::Postpone(base::Duration delay) {
  probes_.Postpone(delay);
}

void DomainProber::Clear() {
  probes_.Clear();
  reachability_.Restart(clock_.Now());
}

}  // namespace medlarspread::membership

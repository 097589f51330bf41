// Implementation of membership::DomainProber.

#include "src/membership/domain_prober.h"

#include <utility>

#include "src/membership/shuffle.h"

namespace medlarspread::membership {

DomainProber::DomainProber(const MembershipSettings& settings,
                           const base::Clock& clock,
                           base::Random& random,
                           MemberTable& table,
                           DomainWatch& watch,
                           Messenger& messenger,
                           FailureDetector& detector)
    : settings_(settings),
      clock_(clock),
      random_(random),
      table_(table),
      watch_(watch),
      messenger_(messenger),
      detector_(detector),
      probes_(settings.answer_timeout, settings.suspicion_timeout) {}

bool DomainProber::DidStartRound() {
  for (const std::string& name : probes_.Judge(clock_.Now()).suspected) {
    Suspect(name);
  }
  if (clock_.Now() >= next_probe_) {
    next_probe_ = clock_.Now() + settings_.domain_interval;
    ProbeNextDomain();
  }
  ProbeFailingDomains();
  return watch_.Judge(clock_.Now());
}

void DomainProber::ProbeNextDomain() {
  if (turn_.empty()) {
    turn_ = table_.Domains();
    std::erase(turn_, table_.self().failure_domain);
    Shuffle(turn_, random_);
  }
  if (turn_.empty()) {
    return;
  }
  Probe(messenger_.PickDelegateOf(turn_.back()));
  turn_.pop_back();
}

// Probes a random daemon of each failing domain instead of a delegate: the
// delegates may be what failed.
void DomainProber::ProbeFailingDomains() {
  for (const std::string& domain : watch_.Failing()) {
    if (!watch_.IsReachable(domain)) {
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
  watch_.DidFail(record->failure_domain, now - settings_.answer_timeout, now);
  auto fellows =
      table_.DelegatesOf(table_.self().failure_domain, settings_.delegates);
  std::erase(fellows, table_.self().name);
  detector_.AskAbout(name, std::move(fellows));
}

void DomainProber::DidHear(const std::string& name) {
  probes_.DidHear(name);
}

void DomainProber::Postpone(base::Duration delay) {
  probes_.Postpone(delay);
}

void DomainProber::Clear() {
  probes_.Clear();
  watch_.Restart(clock_.Now());
}

}  // namespace medlarspread::membership

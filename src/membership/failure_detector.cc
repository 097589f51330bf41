// Implementation of membership::FailureDetector.

#include "src/membership/failure_detector.h"

#include <algorithm>
#include <utility>

#include "src/membership/shuffle.h"

namespace medlarspread::membership {

FailureDetector::FailureDetector(const MembershipSettings& settings,
                                 const base::Clock& clock,
                                 base::Random& random,
                                 base::Log log,
                                 MemberTable& table,
                                 Messenger& messenger)
    : settings_(settings),
      clock_(clock),
      random_(random),
      log_(std::move(log)),
      table_(table),
      messenger_(messenger),
      probes_(settings.answer_timeout, settings.suspicion_timeout) {}

void FailureDetector::ProbeNext(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    is_successor_next_ = !is_successor_next_;
    std::string name = is_successor_next_ ? Successor() : std::string();
    if (name.empty() || probes_.IsPending(name)) {
      name = NextInRotation();
    }
    if (!name.empty()) {
      Probe(name);
    }
  }
}

void FailureDetector::Probe(const std::string& name) {
  probes_.DidProbe(name, clock_.Now());
  messenger_.Send(name, messenger_.ComposeWithRecent(HeartbeatKind::kProbe));
}

// The present daemon that follows this one in name order, wrapping around;
// empty if there is none.
std::string FailureDetector::Successor() const {
  const auto names = table_.PresentIn(table_.self().failure_domain);
  const auto next =
      std::upper_bound(names.begin(), names.end(), table_.self().name);
  if (next != names.end()) {
    return *next;
  }
  return names.empty() ? std::string() : names.front();
}

// The next present daemon without a pending probe; empty if there is none.
std::string FailureDetector::NextInRotation() {
  for (bool is_second_pass : {false, true}) {
    while (!remaining_.empty()) {
      const std::string name = std::move(remaining_.back());
      remaining_.pop_back();
      if (table_.IsPresentMember(name) && !probes_.IsPending(name)) {
        return name;
      }
    }
    if (!is_second_pass) {
      remaining_ = table_.PresentIn(table_.self().failure_domain);
      Shuffle(remaining_, random_);
    }
  }
  return "";
}

void FailureDetector::ProbeAbsent(const std::string& name) {
  messenger_.Send(name, messenger_.Compose(HeartbeatKind::kProbe));
}

void FailureDetector::DidHear(const std::string& name) {
  probes_.DidHear(name);
}

void FailureDetector::DidRefute(const std::string& name) {
  probes_.DidHear(name);
  const auto row = requesters_.find(name);
  const Record* record = table_.Find(name);
  if (row == requesters_.end() || record == nullptr) {
    return;
  }
  for (const std::string& requester : row->second.names) {
    peer::wire::Heartbeat heartbeat =
        messenger_.Compose(HeartbeatKind::kUpdate);
    heartbeat.others = {*record};
    messenger_.Send(requester, std::move(heartbeat));
  }
  requesters_.erase(row);
}

void FailureDetector::DidRequestProbe(const Record& suspected,
                                      const std::string& requester) {
  const Record* known = table_.Find(suspected.name);
  if (known == nullptr || suspected.name == table_.self().name) {
    return;
  }
  if (IsPresent(*known) && IsNewer(*known, suspected)) {
    // The daemon has already refuted this suspicion.
    peer::wire::Heartbeat heartbeat =
        messenger_.Compose(HeartbeatKind::kUpdate);
    heartbeat.others = {*known};
    messenger_.Send(requester, std::move(heartbeat));
    return;
  }
  ProbeRequesters& requesters = requesters_[suspected.name];
  requesters.names.insert(requester);
  requesters.expires = clock_.Now() + settings_.suspicion_timeout;
  peer::wire::Heartbeat probe = messenger_.Compose(HeartbeatKind::kProbe);
  probe.others = {suspected};
  messenger_.Send(suspected.name, std::move(probe));
}

void FailureDetector::ProbeIndirectly(const std::string& name,
                                      std::vector<std::string> helpers) {
  const Record* known = table_.Find(name);
  if (known == nullptr) {
    return;
  }
  Record suspected = *known;
  SetState(suspected, RecordState::kSuspected);
  peer::wire::Heartbeat probe = messenger_.Compose(HeartbeatKind::kProbe);
  probe.others = {suspected};
  messenger_.Send(name, probe);
  peer::wire::Heartbeat question = messenger_.Compose(HeartbeatKind::kUpdate);
  question.others = {suspected};
  std::erase(helpers, name);
  for (const std::string& helper : helpers) {
    messenger_.Send(helper, question);
  }
}

bool FailureDetector::CheckTimeouts() {
  const base::MonotonicTime now = clock_.Now();
  std::erase_if(requesters_,
                [now](const auto& row) { return row.second.expires < now; });
  const ProbeTracker::TimedOut timed_out = probes_.CheckTimeouts(now);
  for (const std::string& name : timed_out.suspected) {
    Suspect(name);
  }
  DeclareGone(timed_out.gone);
  return !timed_out.gone.empty();
}

void FailureDetector::Suspect(const std::string& name) {
  auto helpers = table_.PresentIn(table_.self().failure_domain);
  std::erase(helpers, name);
  Shuffle(helpers, random_);
  if (helpers.size() > settings_.helpers) {
    helpers.resize(settings_.helpers);
  }
  ProbeIndirectly(name, std::move(helpers));
}

void FailureDetector::DeclareGone(const std::vector<std::string>& names) {
  std::vector<Record> gone;
  for (const std::string& name : names) {
    const Record* known = table_.Find(name);
    if (known == nullptr || !IsPresent(*known)) {
      continue;
    }
    Record record = *known;
    SetState(record, RecordState::kGone);
    table_.Merge(record, clock_.Now());
    messenger_.AddRecent(name);
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kMembership,
                .peer = name,
                .message = "declared gone: it did not answer this daemon or "
                           "its helpers in time"});
    gone.push_back(std::move(record));
  }
  if (gone.empty()) {
    return;
  }
  messenger_.SpreadInDomain(gone);
  if (messenger_.IsDelegate()) {
    messenger_.SpreadToDomains(gone);
  }
}

void FailureDetector::Postpone(base::Duration delay) {
  probes_.Postpone(delay);
}

void FailureDetector::Clear() {
  probes_.Clear();
  requesters_.clear();
}

}  // namespace medlarspread::membership

// Chooses the receivers and the times of datagrams.

#include "src/gossip/report_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace medlarspread::gossip {

namespace {

// How often a daemon sends its observations. At this interval each relay in a
// fleet of 1,500 receives some hundred datagrams a second, and the whole fleet
// is still informed within a fraction of a second.
constexpr base::Duration kSendInterval = base::Milliseconds(100);
// The least interval between sends of reports that should not wait for the next
// regular one.
constexpr base::Duration kMinSendInterval = base::Milliseconds(10);
constexpr base::Duration kForwardInterval = base::Milliseconds(200);
// A daemon is a relay if its processor share is at least this fraction of the
// strongest one's.
constexpr double kStrongShareRatio = 0.5;
// The most runs that wait to be forwarded. Each is reported more than once, so
// a dropped one comes again.
constexpr std::size_t kMaxQueuedRuns = 4 * kMaxRuns;

using blackboard::Member;
using blackboard::MembershipView;

// The relays of each failure domain.
std::map<std::string, std::vector<const Member*>> FindRelays(
    const MembershipView& view) {
  std::map<std::string, double> strongest;
  for (const auto& [name, member] : view.members) {
    double& best = strongest[member.failure_domain];
    best = std::max(best, member.processor_share);
  }
  std::map<std::string, std::vector<const Member*>> relays;
  for (const auto& [name, member] : view.members) {
    if (!member.query_address.empty() &&
        member.processor_share >=
            kStrongShareRatio * strongest[member.failure_domain]) {
      relays[member.failure_domain].push_back(&member);
    }
  }
  return relays;
}

}  // namespace

ReportExchange::ReportExchange(base::Clock clock,
                               base::TaskRunner runner,
                               std::shared_ptr<base::Random> random,
                               const blackboard::Blackboard& blackboard,
                               ReportPorts ports)
    : clock_(std::move(clock)),
      runner_(std::move(runner)),
      random_(std::move(random)),
      blackboard_(blackboard),
      ports_(std::move(ports)) {}

void ReportExchange::Start() {
  runner_.After(kSendInterval, [self = shared_from_this()] {
    if (!self->is_stopped_) {
      self->SendFindings();
      self->Start();
    }
  });
}

void ReportExchange::SendSoon() {
  if (is_send_scheduled_ || is_stopped_) {
    return;
  }
  is_send_scheduled_ = true;
  const base::Duration since = clock_.Now() - last_sent_;
  runner_.After(std::max(base::Duration{}, kMinSendInterval - since),
                [self = shared_from_this()] {
                  self->is_send_scheduled_ = false;
                  if (!self->is_stopped_) {
                    self->SendFindings();
                  }
                });
}

void ReportExchange::SendFindings() {
  last_sent_ = clock_.Now();
  for (const routing::LeafReport& report : ports_.collect()) {
    unsent_reports_.Add(report);
  }
  auto runs = ports_.collect_runs(kMaxRuns);
  if (unsent_reports_.is_empty() && runs.empty()) {
    return;
  }
  const ReportDatagram datagram{unsent_reports_.Take(kMaxReports), true,
                                std::move(runs)};
  const auto view = blackboard_.membership.Read();
  for (const auto& [domain, relays] : FindRelays(*view)) {
    const Member* chosen = relays[random_->Below(relays.size())];
    if (chosen->name == view->self) {
      QueueForForwarding(datagram);
      ForwardQueued();
    } else {
      Send(chosen->query_address, datagram);
    }
  }
}

void ReportExchange::DidReceive(const std::string& bytes,
                                const std::string& peer) {
  const auto datagram = Decode(bytes, peer, clock_.Now());
  if (!datagram.is_ok() || is_stopped_) {
    return;
  }
  DeliverReports(datagram.value().reports);
  for (const quarantine::RunReport& report : datagram.value().runs) {
    ports_.did_receive_run(report);
  }
  if (datagram.value().is_to_be_passed_on) {
    QueueForForwarding(datagram.value());
    ForwardQueued();
  }
}

void ReportExchange::QueueForForwarding(const ReportDatagram& datagram) {
  for (const routing::LeafReport& report : datagram.reports) {
    queued_reports_.Add(report);
  }
  for (const quarantine::RunReport& report : datagram.runs) {
    if (queued_runs_.size() < kMaxQueuedRuns) {
      queued_runs_.push_back(report);
    }
  }
}

void ReportExchange::DeliverReports(
    const std::vector<routing::LeafReport>& reports) {
  const auto leaves = blackboard_.upstreams.Read();
  for (const routing::LeafReport& report : reports) {
    if (leaves->upstreams.contains(report.leaf)) {
      ports_.did_receive_report(report);
    }
  }
}

void ReportExchange::ForwardQueued() {
  const bool has_queued = !queued_reports_.is_empty() || !queued_runs_.empty();
  if (is_forward_scheduled_ || !has_queued) {
    return;
  }
  const base::MonotonicTime now = clock_.Now();
  const base::MonotonicTime due = last_forwarded_ + kForwardInterval;
  if (last_forwarded_ != base::MonotonicTime{} && now < due) {
    is_forward_scheduled_ = true;
    runner_.After(due - now, [self = shared_from_this()] {
      self->is_forward_scheduled_ = false;
      if (!self->is_stopped_) {
        self->ForwardQueued();
      }
    });
    return;
  }
  last_forwarded_ = now;
  ReportDatagram datagram{queued_reports_.Take(kMaxReports), false};
  while (datagram.runs.size() < kMaxRuns && !queued_runs_.empty()) {
    datagram.runs.push_back(std::move(queued_runs_.front()));
    queued_runs_.pop_front();
  }
  const auto view = blackboard_.membership.Read();
  const auto self = view->members.find(view->self);
  if (self == view->members.end()) {
    return;
  }
  for (const auto& [name, member] : view->members) {
    if (name != view->self && !member.query_address.empty() &&
        member.failure_domain == self->second.failure_domain) {
      Send(member.query_address, datagram);
    }
  }
  ForwardQueued();
}

void ReportExchange::Send(const std::string& address,
                          const ReportDatagram& datagram) {
  ports_.send(address, Encode(datagram, clock_.Now()));
}

}  // namespace medlarspread::gossip

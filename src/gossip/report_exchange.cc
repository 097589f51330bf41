// Who is told, and when.

#include "src/gossip/report_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace medlarspread::gossip {

namespace {

// How often a daemon looks whether it has something to tell. Seldom enough for
// a fleet of 1,500 to send its strong daemons some hundred datagrams a second
// each, and a fraction of the second within which the whole fleet should know.
constexpr base::Duration kTellInterval = base::Milliseconds(100);
constexpr base::Duration kPassOnInterval = base::Milliseconds(200);
// A daemon with this part of the strongest one's processor passes reports on.
constexpr double kStrongPart = 0.5;

using blackboard::Member;
using blackboard::MembershipView;

// Those that pass reports on in each failure domain.
std::map<std::string, std::vector<const Member*>> FindStrong(
    const MembershipView& view) {
  std::map<std::string, double> strongest;
  for (const auto& [name, member] : view.members) {
    double& best = strongest[member.failure_domain];
    best = std::max(best, member.processor_share);
  }
  std::map<std::string, std::vector<const Member*>> strong;
  for (const auto& [name, member] : view.members) {
    if (!member.query_address.empty() &&
        member.processor_share >=
            kStrongPart * strongest[member.failure_domain]) {
      strong[member.failure_domain].push_back(&member);
    }
  }
  return strong;
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
  runner_.After(kTellInterval, [self = shared_from_this()] {
    if (!self->is_stopped_) {
      self->Tell();
      self->Start();
    }
  });
}

void ReportExchange::Tell() {
  for (const routing::LeafReport& report : ports_.collect()) {
    found_.Add(report);
  }
  if (found_.is_empty()) {
    return;
  }
  const ReportDatagram datagram{found_.Take(kMostReports), true};
  const auto view = blackboard_.membership.Read();
  for (const auto& [domain, strong] : FindStrong(*view)) {
    const Member* chosen = strong[random_->Below(strong.size())];
    if (chosen->name == view->self) {
      for (const routing::LeafReport& report : datagram.reports) {
        to_pass_on_.Add(report);
      }
      PassOn();
    } else {
      Send(chosen->query_address, datagram);
    }
  }
}

void ReportExchange::DidReceive(const std::string& bytes,
                                const std::string& peer) {
  const auto datagram = Decode(bytes, peer);
  if (!datagram.is_ok() || is_stopped_) {
    return;
  }
  Hear(datagram.value().reports);
  if (!datagram.value().is_to_be_passed_on) {
    return;
  }
  for (const routing::LeafReport& report : datagram.value().reports) {
    to_pass_on_.Add(report);
  }
  PassOn();
}

void ReportExchange::Hear(const std::vector<routing::LeafReport>& reports) {
  const auto leaves = blackboard_.upstreams.Read();
  for (const routing::LeafReport& report : reports) {
    if (leaves->upstreams.contains(report.leaf)) {
      ports_.did_hear(report);
    }
  }
}

void ReportExchange::PassOn() {
  if (is_passing_on_ || to_pass_on_.is_empty()) {
    return;
  }
  const base::MonotonicTime now = clock_.Now();
  const base::MonotonicTime due = passed_on_ + kPassOnInterval;
  if (passed_on_ != base::MonotonicTime{} && now < due) {
    is_passing_on_ = true;
    runner_.After(due - now, [self = shared_from_this()] {
      self->is_passing_on_ = false;
      if (!self->is_stopped_) {
        self->PassOn();
      }
    });
    return;
  }
  passed_on_ = now;
  const ReportDatagram datagram{to_pass_on_.Take(kMostReports), false};
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
  PassOn();
}

void ReportExchange::Send(const std::string& address,
                          const ReportDatagram& datagram) {
  ports_.send(address, Encode(datagram));
}

}  // namespace medlarspread::gossip

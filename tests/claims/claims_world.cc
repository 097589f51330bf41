// Simulates the daemons, links and time of the claims tests.

#include "tests/claims/claims_world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/claims/claim_protocol.h"
#include "src/claims/grouping_order.h"

namespace medlarspread::claims {

namespace {

constexpr base::Duration kStep = base::Milliseconds(1);
constexpr base::Duration kLinkDelay = base::Milliseconds(1);
constexpr base::Duration kLateLinkDelay = base::Milliseconds(900);
// Tasks that post tasks to another daemon run within one step.
constexpr int kRoundsPerStep = 4;

}  // namespace

ClaimsWorld::ClaimsWorld(int daemons)
    : time_(std::make_shared<base::ManualTime>(1'000'000, kStartMilliseconds)),
      network_(std::make_shared<base::ManualScheduler>(time_)),
      store_(std::make_shared<FakeStore>(base::TaskRunner(network_))),
      daemons_(Index(daemons)) {
  for (int index = 0; index < daemons; ++index) {
    Boot(index);
  }
}

std::string ClaimsWorld::MakeId(const std::string& suffix,
                                std::int64_t age_ms) const {
  return std::to_string(time_->wall_milliseconds() - age_ms) + "-" + suffix;
}

std::size_t ClaimsWorld::Ask(int index,
                             const std::string& request_id,
                             base::Duration deadline) {
  const std::size_t question = questions_.size();
  questions_.push_back({request_id, {}, 0, false});
  const std::string nonce = "n" + std::to_string(question);
  daemons_[Index(index)].service->port()(
      request_id, nonce, deadline, [this, question](const ClaimResult& result) {
        Question& asked = questions_[question];
        ++asked.answers;
        asked.result = result;
        asked.was_granted |= result.outcome == ClaimOutcome::kGranted;
      });
  return question;
}

void ClaimsWorld::Advance(base::Duration duration) {
  const base::MonotonicTime end = network_->Now() + duration;
  RunReady();
  while (network_->Now() < end) {
    time_->Advance(std::min(kStep, end - network_->Now()));
    RunReady();
  }
}

void ClaimsWorld::RunReady() {
  for (int round = 0; round < kRoundsPerStep; ++round) {
    network_->RunReady();
    for (Daemon& daemon : daemons_) {
      if (!daemon.is_paused) {
        daemon.scheduler->RunReady();
      }
    }
  }
}

int ClaimsWorld::grants(const std::string& request_id) const {
  return static_cast<int>(std::count_if(
      questions_.begin(), questions_.end(), [&](const Question& question) {
        return question.was_granted && question.request_id == request_id;
      }));
}

int ClaimsWorld::max_grants() const {
  int most = 0;
  for (const Question& question : questions_) {
    most = std::max(most, grants(question.request_id));
  }
  return most;
}

int ClaimsWorld::max_answers() const {
  int most = 0;
  for (const Question& question : questions_) {
    most = std::max(most, question.answers);
  }
  return most;
}

void ClaimsWorld::Boot(int index) {
  Daemon& daemon = daemons_[Index(index)];
  daemon.scheduler = std::make_shared<base::ManualScheduler>(time_);
  daemon.blackboard = std::make_unique<blackboard::Blackboard>();
  daemon.is_paused = false;
  ++daemon.incarnation;
  daemon.service = std::make_unique<ClaimService>(
      settings, base::Clock(time_), random_, base::TaskRunner(daemon.scheduler),
      store_->store(),
      peer::PeerPort{
          [this, index](const std::string& to, peer::Message message) {
            return Send(index, to, std::move(message));
          }},
      *daemon.blackboard);
  std::vector<int> all(daemons_.size());
  for (std::size_t other = 0; other < all.size(); ++other) {
    all[other] = static_cast<int>(other);
  }
  SetView(index, all);
  daemon.service->Start();
}

void ClaimsWorld::Restart(int index) {
  Daemon& daemon = daemons_[Index(index)];
  const int incarnation = daemon.incarnation;
  ended_.push_back(std::move(daemon));
  daemon = Daemon();
  daemon.incarnation = incarnation;
  Boot(index);
}

void ClaimsWorld::Stop(int index, std::function<void()> did_stop) {
  daemons_[Index(index)].service->Stop(std::move(did_stop));
}

void ClaimsWorld::SetView(int index, const std::vector<int>& live) {
  blackboard::MembershipView view;
  view.self = Name(index);
  for (const int other : live) {
    blackboard::Member member;
    member.name = Name(other);
    view.members[member.name] = member;
  }
  daemons_[Index(index)].blackboard->membership.Write(view);
}

int ClaimsWorld::GroupingDaemon(const std::string& request_id) const {
  const auto view = daemons_.front().blackboard->membership.Read();
  const std::string key =
      BucketKey(request_id, MadeAtMilliseconds(request_id).value());
  return std::stoi(GroupingOrder(*view, key).front().substr(2));
}

ClaimCounts ClaimsWorld::Counts(int index) {
  ClaimCounts counts;
  daemons_[Index(index)].service->ReadCounts(
      [&counts](ClaimCounts read) { counts = read; });
  RunReady();
  return counts;
}

base::Status ClaimsWorld::Send(int from,
                               const std::string& to,
                               peer::Message message) {
  const base::TaskRunner links(network_);
  const int target = std::stoi(to.substr(2));
  const auto deliver = [this, from, target, message] {
    Deliver(from, target, message);
  };
  switch (next_link_fault()) {
    case LinkFault::kNone:
      links.After(kLinkDelay, deliver);
      break;
    case LinkFault::kLose:
      break;
    case LinkFault::kDuplicate:
      links.After(kLinkDelay, deliver);
      links.After(kLinkDelay * 3, deliver);
      break;
    case LinkFault::kLate:
      links.After(kLateLinkDelay, deliver);
      break;
    case LinkFault::kRefuse:
      return base::MakeError(base::ErrorCode::kUnreachable,
                             base::Step::kPeerLink, to, "fake");
  }
  return base::Done();
}

void ClaimsWorld::Deliver(int from, int to, const peer::Message& message) {
  ClaimService& service = *daemons_[Index(to)].service;
  const peer::Sender sender{Name(from), daemons_[Index(from)].incarnation};
  if (const auto* request = std::get_if<peer::wire::ClaimRequest>(&message)) {
    service.DidReceive(sender, *request);
  }
  if (const auto* reply = std::get_if<peer::wire::ClaimReply>(&message)) {
    service.DidReceive(sender, *reply);
  }
}

}  // namespace medlarspread::claims

// Sends and answers requests for targets.

#include "src/targets/peer_exchange.h"

#include <algorithm>
#include <utility>

namespace medlarspread::targets {

using blackboard::MemberState;

PeerExchange::PeerExchange(const TargetsSettings& settings,
                           base::Random& random,
                           base::TaskRunner control,
                           peer::PeerPort peers,
                           blackboard::Blackboard& blackboard,
                           std::shared_ptr<HeldTargets> held,
                           base::Log log)
    : settings_(settings),
      random_(random),
      control_(std::move(control)),
      peers_(std::move(peers)),
      blackboard_(blackboard),
      held_(std::move(held)),
      log_(std::move(log)) {}

void PeerExchange::DidSeeRevision(const std::string& peer,
                                  std::int64_t revision,
                                  std::int64_t digest) {
  if (peer == settings_.self || digest == 0) {
    return;
  }
  revisions_[peer] = revision;
  highest_seen_ = std::max(highest_seen_, revision);
  if (revision == 0) {
    held_->DidFindNoTargets();
    return;
  }
  if (revision == held_->revision() && digest != held_->digest()) {
    held_->DidSeeOtherDigest(peer);
    return;
  }
  if (revision > held_->revision()) {
    // NOTE: requests at once. Heartbeats go to a few peers at a time, so the
    // requests spread over the daemons that have the targets by then; a random
    // delay would only slow the propagation down, see
    // docs/design/08-targets.md.
    if (!is_waiting_) {
      Request(peer);
    }
  }
}

void PeerExchange::DidReceiveRequest(
    const peer::Sender& sender,
    const peer::wire::TargetsRequest& request) {
  peer::wire::TargetsBody reply;
  reply.revision = held_->revision();
  if (held_->revision() > request.above_revision) {
    reply.body = held_->body();
  }
  const base::Status status = peers_.send(sender.name, std::move(reply));
  if (!status.is_ok()) {
    // The peer will repeat its request to this daemon or another.
    log_.DidFail(status.error(), "could not send the targets to a peer");
  }
}

void PeerExchange::DidReceiveBody(const peer::Sender& sender,
                                  const peer::wire::TargetsBody& body) {
  if (body.body.empty()) {
    return;
  }
  if (held_->Offer(body.body, sender.name) == OfferOutcome::kApplied) {
    timer_.Cancel();
    is_waiting_ = false;
  }
}

std::int64_t PeerExchange::HighestLive() const {
  std::int64_t highest = 0;
  const auto membership = blackboard_.membership.Read();
  for (const auto& [name, member] : membership->members) {
    if (member.state == MemberState::kGone || name == settings_.self) {
      continue;
    }
    const auto seen = revisions_.find(name);
    const std::int64_t revision = seen == revisions_.end() ? 0 : seen->second;
    highest = std::max({highest, member.targets_revision, revision});
  }
  return highest;
}

std::int64_t PeerExchange::HighestSeen() const {
  return std::max(highest_seen_, HighestLive());
}

void PeerExchange::RequestNow() {
  if (!is_waiting_) {
    RequestAny();
  }
}

void PeerExchange::Stop() {
  is_stopped_ = true;
  timer_.Cancel();
  is_waiting_ = false;
}

void PeerExchange::Request(const std::string& peer) {
  if (is_stopped_) {
    return;
  }
  peer::wire::TargetsRequest request;
  request.above_revision = held_->revision();
  if (!peers_.send(peer, request).is_ok()) {
    // Unreachable; its next heartbeat adds it again.
    revisions_.erase(peer);
  }
  is_waiting_ = true;
  timer_ =
      control_.After(settings_.request_timeout, [self = shared_from_this()] {
        self->is_waiting_ = false;
        self->RequestAny();
      });
}

void PeerExchange::RequestAny() {
  const std::vector<std::string> ahead = PeersAhead();
  if (!ahead.empty()) {
    Request(ahead[random_.Below(ahead.size())]);
  }
}

std::vector<std::string> PeerExchange::PeersAhead() const {
  std::map<std::string, std::int64_t> revisions = revisions_;
  const auto membership = blackboard_.membership.Read();
  for (const auto& [name, member] : membership->members) {
    if (member.state != MemberState::kGone && name != settings_.self) {
      revisions[name] = std::max(revisions[name], member.targets_revision);
    }
  }
  std::vector<std::string> ahead;
  for (const auto& [peer, revision] : revisions) {
    if (revision > held_->revision()) {
      ahead.push_back(peer);
    }
  }
  return ahead;
}

}  // namespace medlarspread::targets

// Implementation of upstream::UpstreamRecord.

#include "src/upstream/upstream_record.h"

#include <algorithm>
#include <cassert>

namespace medlarspread::upstream {

namespace {

using base::Duration;
using base::ErrorCode;
using base::MonotonicTime;
using blackboard::Holding;
using blackboard::Snapshot;
using blackboard::UpstreamState;

// The newest snapshot of sorted holdings; older than any real one if empty.
Snapshot NewestOf(const std::vector<Holding>& holdings) {
  return holdings.empty() ? Snapshot{-1, -1} : holdings.back().snapshot;
}

}  // namespace

UpstreamRecord::UpstreamRecord(const UpstreamSettings& settings,
                               const store::Vm& vm,
                               MonotonicTime now)
    : settings_(&settings),
      draining_hold_(settings.draining_hold),
      unreachable_hold_(settings.unreachable_hold) {
  upstream_.name = vm.name;
  upstream_.address = vm.address;
  DidList(vm, now);
}

void UpstreamRecord::DidList(const store::Vm& vm, MonotonicTime now) {
  assert(vm.name == upstream_.name);
  if (vm.address != upstream_.address) {
    *this = UpstreamRecord(*settings_, vm, now);
    // Reports from peers that are still in transit concern the previous VM.
    draining_cleared_ = now;
    return;
  }
  upstream_.region = vm.region;
  upstream_.failure_domain = vm.failure_domain;
  upstream_.collection = vm.collection;
  last_listed_ = now;
  is_listed_leaving_ = vm.is_leaving;
  if (vm.is_leaving) {
    has_announcement_ = has_announcement_ || !is_draining_;
    MarkDraining(now, now);
  }
}

void UpstreamRecord::DidReply(const LeafReply& reply, MonotonicTime now) {
  if (reply.outcome == LeafOutcome::kUnreachable ||
      reply.outcome == LeafOutcome::kLost) {
    DidFailToConnect(now);
    return;
  }
  if (!reply.state && (reply.outcome == LeafOutcome::kTimeout ||
                       reply.outcome == LeafOutcome::kMismatch)) {
    DidFailWithoutReply(now);
    return;
  }
  const bool is_from_leaf = reply.outcome == LeafOutcome::kAnswered ||
                            reply.error.step == base::Step::kReadUpstream;
  if (!is_from_leaf) {
    // Refused locally for lack of a connection; says nothing about the leaf.
    return;
  }
  last_alive_ = now;
  connection_failures_ = 0;
  no_reply_failures_ = 0;
  health_failures_ = 0;
  is_unreachable_ = false;
  unreachable_hold_ = settings_->unreachable_hold;
  if (reply.outcome == LeafOutcome::kWrongSnapshot) {
    upstream_.holdings = reply.holdings;
    holdings_replied_ = now;
  }
  if (reply.state) {
    DidSeeState(*reply.state, now);
  }
  UpdateState();
}

void UpstreamRecord::DidSeeState(UpstreamState state, MonotonicTime now) {
  switch (state) {
    case UpstreamState::kDraining:
      has_announcement_ = true;
      MarkDraining(now, now);
      return;
    case UpstreamState::kCold:
      last_cold_reply_ = now;
      last_working_reply_ = now;
      ClearDrainingAfterHold(now, now);
      MarkCold(now);
      return;
    case UpstreamState::kServing:
      last_working_reply_ = now;
      ClearDrainingAfterHold(now, now);
      is_cold_ = false;
      return;
    case UpstreamState::kUnreachable:
      // Leaves never report this state.
      return;
  }
}

void UpstreamRecord::DidReadHealth(const base::Result<LeafHealth>& health,
                                   MonotonicTime asked,
                                   MonotonicTime now) {
  if (health.is_ok()) {
    const bool is_other =
        health.value().name.value_or(upstream_.name) != upstream_.name ||
        health.value().collection.value_or(upstream_.collection) !=
            upstream_.collection;
    if (!is_other) {
      ApplyHealth(health.value(), asked, now);
      return;
    }
  } else if (health.error().code == ErrorCode::kMalformed ||
             health.error().code == ErrorCode::kOverloaded) {
    // An invalid answer, or no request was sent for lack of a connection.
    return;
  }
  // No answer, or the answer of another leaf that took over the address.
  ++health_failures_;
  const bool is_working = last_working_reply_ + settings_->reply_hold > asked;
  if (!is_working && health_failures_ >= settings_->max_connection_failures) {
    MarkUnreachable(now);
  }
}

void UpstreamRecord::ApplyHealth(const LeafHealth& health,
                                 MonotonicTime asked,
                                 MonotonicTime now) {
  last_alive_ = now;
  health_failures_ = 0;
  upstream_.slots = health.slots;
  upstream_.connections = health.connections;
  ApplyHealthHoldings(health, now);
  if (is_unreachable_) {
    if (asked < unreachable_since_ + unreachable_hold_) {
      return;
    }
    // NOTE: health may be good while requests still hang, so the leaf comes
    // back as cold and regains its share only with replies.
    is_unreachable_ = false;
    connection_failures_ = 0;
    no_reply_failures_ = 0;
    MarkCold(now);
  }
  ApplyHealthState(health.state, asked, now);
  UpdateState();
}

void UpstreamRecord::ApplyHealthState(UpstreamState state,
                                      MonotonicTime asked,
                                      MonotonicTime now) {
  const bool is_older_than_reply =
      asked < last_working_reply_ + settings_->reply_hold;
  switch (state) {
    case UpstreamState::kDraining:
      if (!is_older_than_reply || is_draining_) {
        has_announcement_ = true;
        MarkDraining(now, now);
      }
      return;
    case UpstreamState::kCold:
      ClearDrainingAfterHold(asked, now);
      if (!is_older_than_reply) {
        MarkCold(now);
      }
      return;
    case UpstreamState::kServing:
      ClearDrainingAfterHold(asked, now);
      if (asked >= last_cold_reply_ + settings_->reply_hold &&
          asked >= upstream_.cold_since + settings_->cold_hold) {
        is_cold_ = false;
      }
      return;
    case UpstreamState::kUnreachable:
      return;
  }
}

void UpstreamRecord::ApplyHealthHoldings(const LeafHealth& health,
                                         MonotonicTime now) {
  const bool is_held = now < holdings_replied_ + settings_->holdings_hold;
  if (is_held && NewestOf(health.holdings) <= NewestOf(upstream_.holdings)) {
    return;
  }
  upstream_.holdings = health.holdings;
}

void UpstreamRecord::DidHearDraining(MonotonicTime heard, MonotonicTime now) {
  // Reports from before the leaf was seen to serve again are outdated.
  if (heard > draining_cleared_) {
    MarkDraining(heard, now);
  }
}

void UpstreamRecord::DidFailToConnect(MonotonicTime now) {
  ++connection_failures_;
  if (connection_failures_ >= settings_->max_connection_failures) {
    MarkUnreachable(now);
  }
}

// A lost VM or link causes timeouts instead of refused connections. So do short
// deadlines, which is why more failures and a minimum time are required.
void UpstreamRecord::DidFailWithoutReply(MonotonicTime now) {
  if (no_reply_failures_ == 0) {
    first_no_reply_failure_ = now;
  }
  ++no_reply_failures_;
  if (no_reply_failures_ >= settings_->max_no_reply_failures &&
      now - first_no_reply_failure_ >= settings_->min_no_reply_time) {
    MarkUnreachable(now);
  }
}

void UpstreamRecord::MarkDraining(MonotonicTime heard, MonotonicTime now) {
  if (!is_draining_) {
    // The leaf was returned to service too early if it is reported draining
    // again soon afterwards.
    const bool is_relapse = now < draining_cleared_ + draining_hold_ * 2;
    draining_hold_ =
        is_relapse ? std::min(draining_hold_ * 2, settings_->max_draining_hold)
                   : settings_->draining_hold;
  }
  is_draining_ = true;
  last_draining_ = std::max(last_draining_, heard);
  UpdateState();
}

// `seen` is when the leaf was seen not to be draining; for health, the time of
// the request.
void UpstreamRecord::ClearDrainingAfterHold(MonotonicTime seen,
                                            MonotonicTime now) {
  if (!is_draining_ || is_listed_leaving_ ||
      seen < last_draining_ + draining_hold_) {
    return;
  }
  is_draining_ = false;
  draining_cleared_ = now;
  // The next drain is announced at once.
  has_announcement_ = false;
  last_announced_ = kNever;
}

void UpstreamRecord::MarkUnreachable(MonotonicTime now) {
  if (is_unreachable_) {
    return;
  }
  const bool is_relapse =
      unreachable_since_ > last_working_reply_ && unreachable_since_ != kNever;
  unreachable_hold_ = is_relapse ? std::min(unreachable_hold_ * 2,
                                            settings_->max_unreachable_hold)
                                 : settings_->unreachable_hold;
  is_unreachable_ = true;
  unreachable_since_ = now;
  UpdateState();
}

void UpstreamRecord::MarkCold(MonotonicTime now) {
  if (!is_cold_) {
    is_cold_ = true;
    upstream_.cold_since = now;
  }
}

void UpstreamRecord::ExpireUnreadStates(MonotonicTime now) {
  const bool is_old = now >= last_draining_ + settings_->unread_state_lifetime;
  if (is_draining_ && !is_listed_leaving_ && is_old) {
    is_draining_ = false;
    draining_cleared_ = now;
  }
  if (is_unreachable_ &&
      now >= unreachable_since_ + settings_->unread_state_lifetime) {
    is_unreachable_ = false;
    connection_failures_ = 0;
    no_reply_failures_ = 0;
    health_failures_ = 0;
  }
  if (is_cold_ &&
      now >= upstream_.cold_since + settings_->unread_state_lifetime) {
    is_cold_ = false;
  }
  UpdateState();
}

bool UpstreamRecord::NeedsFrequentHealthReads(MonotonicTime now) const {
  return upstream_.state != UpstreamState::kServing ||
         now >= last_working_reply_ + settings_->health_interval;
}

bool UpstreamRecord::ShouldForget(MonotonicTime now) const {
  const MonotonicTime last_seen = std::max(last_listed_, last_alive_);
  return now >= last_seen + settings_->vanished_hold ||
         now >= last_listed_ + settings_->max_vanished_time;
}

bool UpstreamRecord::TakeAnnouncement(MonotonicTime now) {
  if (!has_announcement_ ||
      now < last_announced_ + settings_->announce_interval) {
    return false;
  }
  has_announcement_ = false;
  last_announced_ = now;
  return true;
}

void UpstreamRecord::UpdateState() {
  if (is_draining_) {
    upstream_.state = UpstreamState::kDraining;
  } else if (is_unreachable_) {
    upstream_.state = UpstreamState::kUnreachable;
  } else if (is_cold_) {
    upstream_.state = UpstreamState::kCold;
  } else {
    upstream_.state = UpstreamState::kServing;
  }
}

}  // namespace medlarspread::upstream

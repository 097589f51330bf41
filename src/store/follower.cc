// Implements the steps that follower.h lists.

#include "src/store/follower.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace medlarspread::store {

namespace {

using base::ErrorCode;
using base::MonotonicTime;
using base::Step;

constexpr const char* kAllKeys = "";
// The backoff after a failure doubles between these bounds; half of it is
// random jitter, so that the daemons do not return at the same moment. Each
// call is paid for, even a rejected one; the maximum bounds how old the copy
// still is after the store's return.
// A daemon without data cannot serve any request, so it retries sooner.
constexpr base::Duration kMaxInitialListBackoff = base::Milliseconds(300);
constexpr int kMaxDoublings = 4;

base::Duration BackoffAfter(int failures,
                            base::Duration longest,
                            base::Random& random) {
  if (failures == 0) {
    return {};
  }
  const int doublings = std::min(failures - 1, kMaxDoublings);
  const base::Duration pause =
      std::min(longest, kMaxFirstBackoff * (1 << doublings));
  const double jitter =
      random.Unit() * 0.5 * static_cast<double>(pause.count());
  return pause / 2 + base::Duration(static_cast<std::int64_t>(jitter));
}

}  // namespace

Follower::Follower(FollowerSettings settings,
                   base::Clock clock,
                   std::shared_ptr<base::Random> random,
                   base::TaskRunner control,
                   EventSource source,
                   std::shared_ptr<const OutageDetector> outages,
                   DidListAt did_list,
                   DidChange did_change,
                   DidReach did_reach,
                   base::Log log)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      control_(std::move(control)),
      source_(std::move(source)),
      outages_(std::move(outages)),
      did_list_(std::move(did_list)),
      did_change_(std::move(did_change)),
      did_reach_(std::move(did_reach)),
      log_(std::move(log)) {}

void Follower::Start() {
  ListFromStart();
}

void Follower::Stop() {
  is_stopped_ = true;
}

void Follower::ListFromStart() {
  listed_items_.clear();
  list_position_.reset();
  List("");
}

void Follower::List(std::string after) {
  if (is_stopped_) {
    return;
  }
  source_.list(kAllKeys, std::move(after),
               [self = shared_from_this()](const base::Result<Page>& page) {
                 self->DidList(page);
               });
}

void Follower::DidList(const base::Result<Page>& page) {
  if (is_stopped_) {
    return;
  }
  if (!page.is_ok() && page.error().code != ErrorCode::kExpired) {
    DidFail(page.error());
    Retry(base::Duration{}, &Follower::ListFromStart);
    return;
  }
  DidSucceed();
  if (!page.is_ok()) {
    log_.DidFail(page.error(), "listing the store from the start");
    Retry(kMaxFirstBackoff, &Follower::ListFromStart);
    return;
  }
  if (page.value().era < era_) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = Step::kReadStore,
                .message = "ignored a list at " +
                           ToString(page.value().position()) + ", since era " +
                           std::to_string(era_) + " is known already"});
    Retry(kMaxFirstBackoff, &Follower::ListFromStart);
    return;
  }
  if (!list_position_) {
    list_position_ = page.value().position();
    is_list_stale_ = page.value().is_stale;
    cursor_ = page.value().cursor;
  }
  for (const Event& item : page.value().items) {
    listed_items_[item.key] = item;
  }
  if (page.value().is_last || page.value().items.empty()) {
    DidListAll();
    return;
  }
  List(page.value().items.back().key);
}

void Follower::DidListAll() {
  LogList(listed_items_.size());
  EnterEra(list_position_->era);
  std::vector<Event> events;
  if (!is_list_stale_) {
    events = MissingFromList();
  }
  for (auto& [key, event] : listed_items_) {
    events.push_back(std::move(event));
  }
  listed_items_.clear();
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& left, const Event& right) {
                     return left.position() < right.position();
                   });
  is_complete_ = true;
  if (is_list_stale_) {
    Apply(events, Position{});
    Watch();
    return;
  }
  did_list_(*list_position_);
  Apply(events, *list_position_);
  did_reach_(*list_position_);
  Watch();
}

std::vector<Event> Follower::MissingFromList() const {
  const Position& position = *list_position_;
  std::vector<Event> removals;
  for (const auto& [key, state] : key_states_) {
    // NOTE: a key written after the first page was read may be newer than the
    // list that lacks it; the watch from the first page's revision reports it
    // again.
    if (!state.is_removed && !listed_items_.contains(key) &&
        state.position <= position) {
      removals.push_back({key, std::nullopt, position.revision, position.era});
    }
  }
  return removals;
}

void Follower::Watch() {
  if (is_stopped_) {
    return;
  }
  source_.watch(
      kAllKeys, cursor_, settings_.watch_wait,
      [self = shared_from_this()](const base::Result<Changes>& changes) {
        self->DidWatch(changes);
      });
}

void Follower::DidWatch(const base::Result<Changes>& changes) {
  if (is_stopped_) {
    return;
  }
  if (!changes.is_ok()) {
    if (changes.error().code == ErrorCode::kExpired) {
      DidSucceed();
      log_.DidFail(changes.error(), "listing the whole store again");
      ListFromStart();
      return;
    }
    DidFail(changes.error());
    Retry(base::Duration{}, &Follower::Watch);
    return;
  }
  DidSucceed();
  cursor_ = changes.value().cursor;
  EnterEra(changes.value().position.era);
  if (const auto since = changes.value().completes_list_since) {
    did_list_(*since);
  }
  Apply(changes.value().events, changes.value().position);
  did_reach_(changes.value().position);
  Watch();
}

void Follower::Apply(const std::vector<Event>& events,
                     const Position& position) {
  reached_ = std::max(reached_, position);
  std::vector<Event> accepted;
  std::vector<Event> skipped;
  std::size_t delayed = 0;
  const bool is_delaying_removals = clock_.Now() < removals_due();
  for (const Event& event : events) {
    KeyState& state = key_states_[event.key];
    const bool is_removal = !event.value.has_value();
    if (event.position() < state.position) {
      skipped.push_back(event);
      continue;
    }
    if (event.position() == state.position && state.is_removed == is_removal) {
      continue;
    }
    held_removals_.erase(event.key);
    const KeyState known = std::exchange(state, StateOf(event));
    if (IsUnchanged(state, known)) {
      continue;
    }
    if (is_removal && is_delaying_removals) {
      ++delayed;
      DelayRemoval(event);
      continue;
    }
    accepted.push_back(event);
  }
  LogSkipped(skipped);
  LogDelayed(delayed);
  if (!accepted.empty()) {
    did_change_(accepted, reached_);
  }
}

Follower::KeyState Follower::StateOf(const Event& event) {
  if (!event.value) {
    return {event.position(), true, std::nullopt};
  }
  return {event.position(), false, std::hash<std::string>{}(*event.value)};
}

bool Follower::IsUnchanged(const KeyState& state, const KeyState& known) {
  return state.position.era > known.position.era && state.value_hash &&
         state.value_hash == known.value_hash;
}

void Follower::LogList(std::size_t keys) const {
  log_.Write({.level = base::LogLevel::kInfo,
              .step = Step::kReadStore,
              .message = "listed " + std::to_string(keys) + " keys " +
                         (is_list_stale_ ? "by a stale read"
                                         : "at " + ToString(*list_position_))});
}

void Follower::LogSkipped(const std::vector<Event>& events) const {
  if (events.empty()) {
    return;
  }
  const Event& last = events.back();
  log_.Write(
      {.level = base::LogLevel::kWarning,
       .step = Step::kWatchStore,
       .message = "skipped " + std::to_string(events.size()) +
                  " changes older than the known state, the last of key " +
                  last.key + " at " + ToString(last.position()) +
                  ", known at " + ToString(key_states_.at(last.key).position)});
}

void Follower::LogDelayed(std::size_t removals) const {
  if (removals == 0) {
    return;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = Step::kWatchStore,
              .message = "delays " + std::to_string(removals) +
                         " removals up to " + ToString(reached_) + " by " +
                         std::to_string(
                             (removals_due() - clock_.Now()).count() / 1000) +
                         " ms, since the store was unavailable or restored"});
}

void Follower::EnterEra(std::int64_t era) {
  if (era <= era_) {
    return;
  }
  const std::int64_t before = std::exchange(era_, era);
  if (before == 0) {
    return;
  }
  log_.Write(
      {.level = base::LogLevel::kWarning,
       .step = Step::kReadStore,
       .message = "continues with the restored store and delays removals: "
                  "era " +
                  std::to_string(era) + " after " + std::to_string(before)});
  restored_at_ = clock_.Now();
}

MonotonicTime Follower::removals_due() const {
  const auto last_event = std::max(restored_at_, outages_->last_outage_end());
  return last_event ? *last_event + settings_.removal_delay : MonotonicTime{};
}

void Follower::DelayRemoval(Event event) {
  if (held_removals_.empty()) {
    ScheduleRelease();
  }
  held_removals_[event.key] = std::move(event);
}

void Follower::ScheduleRelease() {
  control_.After(removals_due() - clock_.Now(),
                 [self = shared_from_this()] { self->ReleaseRemovals(); });
}

void Follower::ReleaseRemovals() {
  if (clock_.Now() < removals_due()) {
    ScheduleRelease();
    return;
  }
  std::vector<Event> removals;
  for (auto& [key, event] : held_removals_) {
    removals.push_back(std::move(event));
  }
  held_removals_.clear();
  if (!removals.empty() && !is_stopped_) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = Step::kWatchStore,
                .message = std::to_string(removals.size()) +
                           " entries were not written again and are removed"});
    did_change_(removals, reached_);
  }
}

void Follower::DidSucceed() {
  failures_ = 0;
}

void Follower::DidFail(const base::Error& error) {
  if (++failures_ == 1) {
    log_.DidFail(error, "no updates of the store; continuing with " +
                            std::to_string(key_states_.size()) + " known keys");
  }
}

void Follower::Retry(base::Duration delay, void (Follower::*step)()) {
  const base::Duration longest =
      is_complete_ ? kMaxBackoff : kMaxInitialListBackoff;
  const base::Duration pause =
      delay + BackoffAfter(failures_, longest, *random_);
  control_.After(pause, [self = shared_from_this(), step] {
    if (!self->is_stopped_) {
      (self.get()->*step)();
    }
  });
}

}  // namespace medlarspread::store

// Lists and watches the store and peers.

#include "src/relay/update_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/relay/propagation_delays.h"
#include "src/store/restore_guard.h"

namespace medlarspread::relay {

namespace {

using base::ErrorCode;
using base::Step;

// The wait of a watch after a failure of the store. If the store is still
// silent, the watch is lost, which shows only at its timeout; a short wait
// keeps that brief.
constexpr base::Duration kProbeWatchWait = base::Milliseconds(100);

// The wait of the watch that resumes from a position: the store answers at once
// whether there are changes or not.
constexpr base::Duration kResumeWait = base::Milliseconds(1);

}  // namespace

UpdateReader::UpdateReader(UpdateReaderSettings settings,
                           base::Clock clock,
                           base::TaskRunner control,
                           store::EventSource store,
                           std::shared_ptr<store::OutageDetector> outages,
                           FetchFromPeer fetch_from_peer,
                           const blackboard::Blackboard& blackboard,
                           std::function<void()> did_restore_store,
                           base::Log log)
    : settings_(std::move(settings)),
      clock_(clock),
      control_(std::move(control)),
      check_store_(store.list_stale),
      store_(store::GuardAgainstRestore(std::move(store))),
      outages_(std::move(outages)),
      fetch_from_peer_(std::move(fetch_from_peer)),
      did_restore_store_(std::move(did_restore_store)),
      log_(std::move(log)),
      start_time_(clock_.Now()),
      selector_(settings_.sources, std::move(clock), blackboard) {}

store::EventSource UpdateReader::source() {
  store::EventSource source = store_;
  source.list = [self = weak_from_this()](const std::string& prefix,
                                          const std::string& after,
                                          ListCallback done) {
    if (auto chosen = self.lock()) {
      chosen->List(prefix, after, std::move(done));
    }
  };
  source.watch = [self = weak_from_this()](
                     const std::string& prefix, std::int64_t cursor,
                     base::Duration wait, WatchCallback done) {
    if (auto chosen = self.lock()) {
      chosen->Watch(prefix, cursor, wait, std::move(done));
    }
  };
  return source;
}

base::Duration UpdateReader::renewal_delay() const {
  if (!is_reading_store()) {
    return {};
  }
  return std::max(base::Duration{},
                  watch_pause_until_ + kRenewalAfterWatch - clock_.Now());
}

void UpdateReader::DidRenew() {
  if (is_reading_store() && pending_watch_ && selector_.store_failures() == 0) {
    DidReachStore();
    CheckWatch();
  }
}

void UpdateReader::CheckWatch() {
  const std::vector<std::string> readers = selector_.ReadersOfOtherDomains();
  if (readers.empty()) {
    return;
  }
  const std::string& peer = readers[++watch_checks_ % readers.size()];
  fetch_from_peer_(
      peer, kFreshnessTarget,
      [self = shared_from_this(), peer,
       watch = pending_watch_](const base::Result<StoreUpdate>& update) {
        if (update.is_ok()) {
          self->DidCheckWatch(peer, watch, update.value().position);
        }
      });
}

void UpdateReader::DidCheckWatch(const std::string& peer,
                                 const std::shared_ptr<WatchCallback>& watch,
                                 const store::Position& position) {
  if (pending_watch_ != watch || position.era != era_ ||
      position.revision <= pending_cursor_) {
    return;
  }
  control_.After(kWatchAnswerSpread, [self = shared_from_this(), peer, watch,
                                      position] {
    if (self->pending_watch_ == watch) {
      self->AbortWatch(base::MakeError(
          ErrorCode::kConnectionLost, Step::kWatchStore, peer,
          "started the watch again, since its answer was lost: the peer knows "
          "the store up to " +
              store::ToString(position) + ", the watch began at revision " +
              std::to_string(self->pending_cursor_)));
    }
  });
}

void UpdateReader::DidReachStore() {
  selector_.DidAnswer(kStore);
  SetStoreContact(clock_.Now());
}

void UpdateReader::DidFailToRenew(const base::Error& error) {
  if (current_source_ != kStore || !pending_watch_) {
    return;
  }
  DidFail(kStore, error);
  AbortWatch(base::MakeError(ErrorCode::kTimeout, Step::kWatchStore, error.peer,
                             "aborted the watch after a failed lease renewal"));
}

void UpdateReader::AbortWatch(const base::Error& error) {
  adoption_.reset();
  const auto watch = std::exchange(pending_watch_, nullptr);
  if (const auto done = watch ? std::exchange(*watch, nullptr) : nullptr) {
    done(error);
  }
}

void UpdateReader::DidSeeEra(std::int64_t era) {
  if (era <= era_) {
    return;
  }
  const std::int64_t before = std::exchange(era_, era);
  if (before == 0) {
    return;
  }
  log_.Write({.level = base::LogLevel::kWarning,
              .step = Step::kWatchStore,
              .message = "the store was restored from a backup: era " +
                         std::to_string(era) + " after " +
                         std::to_string(before)});
  did_restore_store_();
  if (current_source_ == kStore) {
    AbortWatch(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, "",
                               "the store was restored from a backup"));
  }
}

std::optional<base::Error> UpdateReader::CheckEra(const std::string& peer,
                                                  StoreUpdate& update) {
  if (update.position.era == 0) {
    // Peers of an earlier version do not send an era.
    update.position.era = era_;
    for (store::Event& event : update.events) {
      event.era = era_;
    }
  }
  DidSeeEra(update.position.era);
  if (update.position.era == era_) {
    return std::nullopt;
  }
  auto error = base::MakeError(
      ErrorCode::kUnavailable, Step::kWatchStore, peer,
      "the peer is in era " + std::to_string(update.position.era) +
          " of the store, the current one is " + std::to_string(era_));
  DidBecomeStale(peer, error);
  return error;
}

std::optional<Freshness> UpdateReader::freshness() const {
  if (!last_store_contact_) {
    return std::nullopt;
  }
  return Freshness{
      clock_.Now() - *last_store_contact_,
      current_source_ == kStore && selector_.store_failures() == 0};
}

std::string UpdateReader::DescribeSource() const {
  if (current_source_ == kStore) {
    return "the store";
  }
  return current_source_ == kStaleStore ? "the store (stale read)"
                                        : current_source_;
}

void UpdateReader::DidFail(const std::string& source,
                           const base::Error& error) {
  // A search asks the same peers again and again.
  const bool is_known = selector_.is_backing_off(source);
  selector_.DidFail(source);
  if (!is_known) {
    log_.DidFail(error, source == kStore
                            ? "cannot read from the store"
                            : "cannot read store updates from a peer");
  }
}

void UpdateReader::DidBecomeStale(const std::string& peer,
                                  const base::Error& error) {
  const bool is_known = selector_.is_backing_off(peer);
  selector_.DidBecomeStale(peer);
  if (!is_known) {
    log_.DidFail(error, "the peer's updates are not used");
  }
}

std::optional<base::Error> UpdateReader::CheckUpdate(
    const std::string& source,
    const StoreUpdate& update) {
  if (!update.is_direct && !selector_.is_in_own_domain(source) &&
      last_store_contact_) {
    auto error =
        base::MakeError(ErrorCode::kUnavailable, Step::kWatchStore, source,
                        "the peer does not read the store itself");
    DidFail(source, error);
    return error;
  }
  if (update.age > kMaxUpdateAge) {
    auto error = base::MakeError(ErrorCode::kTimeout, Step::kWatchStore, source,
                                 "the peer's store data are " +
                                     std::to_string(update.age.count() / 1000) +
                                     " ms old");
    DidBecomeStale(source, error);
    return error;
  }
  selector_.DidAnswer(source);
  return std::nullopt;
}

void UpdateReader::List(const std::string& prefix,
                        const std::string& after,
                        ListCallback done) {
  if (!search_) {
    PrepareSearch();
  }
  if (!after.empty()) {
    ListStore(prefix, after, std::move(done));
    return;
  }
  AbandonAttempt();
  call_ = ListCall{prefix, std::move(done)};
  if (!next_source_ && search_->is_active()) {
    is_parked_ = true;
    return;
  }
  list_source_ = next_source_.value_or(selector_.Choose(current_source_));
  next_source_.reset();
  StartList(prefix);
}

void UpdateReader::StartList(const std::string& prefix) {
  const auto finish = [self =
                           shared_from_this()](base::Result<store::Page> page) {
    self->FinishList(std::move(page));
  };
  if (const auto wait = StaleReadDelay()) {
    has_reread_stale_ = has_read_;
    list_source_ = kStaleStore;
    control_.After(
        *wait, [self = shared_from_this(), attempt = attempt_, prefix, finish] {
          if (attempt == self->attempt_) {
            self->ListStore(prefix, "", finish);
          }
        });
    return;
  }
  if (list_source_ == kStore) {
    ListStore(prefix, "", finish);
  } else {
    ListPeer(list_source_);
  }
}

void UpdateReader::FinishList(base::Result<store::Page> page) {
  assert(std::holds_alternative<ListCall>(call_));
  is_parked_ = false;
  const auto list = std::get<ListCall>(std::exchange(call_, std::monostate{}));
  list.done(std::move(page));
}

void UpdateReader::FinishWatch(base::Result<store::Changes> changes) {
  assert(std::holds_alternative<WatchCall>(call_));
  is_parked_ = false;
  const auto watch =
      std::get<WatchCall>(std::exchange(call_, std::monostate{}));
  watch.done(std::move(changes));
}

void UpdateReader::AbandonAttempt() {
  ++attempt_;
  is_parked_ = false;
  is_awaiting_probes_ = false;
  pending_watch_.reset();
}

bool UpdateReader::ParkCall() {
  adoption_.reset();
  const bool is_resumable =
      std::holds_alternative<ListCall>(call_) || SwitchPosition().has_value();
  if (!search_->is_active() || !is_resumable) {
    return false;
  }
  AbandonAttempt();
  is_parked_ = true;
  return true;
}

std::optional<base::Duration> UpdateReader::StaleReadDelay() const {
  if (list_source_ != kStore || !store_.list_stale) {
    return std::nullopt;
  }
  if (!has_read_) {
    return base::Duration{};
  }
  if (current_source_ == kStaleStore && !has_reread_stale_ &&
      selector_.knows_no_peers()) {
    return std::max(base::Duration{},
                    start_time_ + settings_.registration_wait - clock_.Now());
  }
  return std::nullopt;
}

void UpdateReader::ListStore(const std::string& prefix,
                             const std::string& after,
                             ListCallback done) {
  const bool is_stale = list_source_ == kStaleStore;
  const bool is_first_page = after.empty();
  const auto& list = is_stale ? store_.list_stale : store_.list;
  list(prefix, after,
       [self = shared_from_this(), attempt = attempt_, is_stale, is_first_page,
        done = std::move(done)](base::Result<store::Page> page) {
         if (attempt != self->attempt_) {
           return;
         }
         self->DidListStore(is_stale, is_first_page, page);
         done(std::move(page));
       });
}

void UpdateReader::DidListStore(bool is_stale,
                                bool is_first_page,
                                base::Result<store::Page>& page) {
  if (!page.is_ok()) {
    adoption_.reset();
    DidFail(kStore, page.error());
    return;
  }
  has_read_ = true;
  DidSeeEra(page.value().era);
  if (is_stale) {
    current_source_ = kStaleStore;
    page.value().is_stale = true;
    if (is_first_page) {
      stale_copy_.Clear();
    }
    stale_copy_.Apply(page.value().items);
    return;
  }
  current_source_ = kStore;
  stale_copy_.Clear();
  selector_.DidAnswer(kStore);
  if (is_first_page) {
    list_position_ = page.value().position();
    list_contact_ = clock_.Now();
  }
  if (page.value().is_last) {
    resume_position_.DidReadStore(list_position_);
    SetStoreContact(list_contact_);
  }
}

void UpdateReader::ListPeer(const std::string& peer) {
  fetch_from_peer_(
      peer, kNewsTarget,
      [self = shared_from_this(), attempt = attempt_,
       peer](base::Result<StoreUpdate> update) {
        if (attempt != self->attempt_) {
          return;
        }
        if (!update.is_ok()) {
          self->DidFail(peer, update.error());
          self->StartSearch("a list failed");
          if (!self->ParkCall()) {
            self->FinishList(update.error());
          }
          return;
        }
        if (const auto error = self->CheckEra(peer, update.value())) {
          if (!self->ParkCall()) {
            self->FinishList(*error);
          }
          return;
        }
        self->current_source_ = peer;
        self->stale_copy_.Clear();
        self->has_read_ = true;
        self->SetStoreContact(self->clock_.Now() - update.value().age);
        const store::Position& position = update.value().position;
        self->resume_position_.DidReadPeer(position, self->clock_.Now());
        self->FinishList(store::Page{std::move(update.value().events), true,
                                     position.revision, update.value().cursor,
                                     position.era});
      });
}

void UpdateReader::Watch(const std::string& prefix,
                         std::int64_t cursor,
                         base::Duration wait,
                         WatchCallback done) {
  AbandonAttempt();
  call_ = WatchCall{prefix, cursor, wait, std::move(done)};
  if (const auto source = std::exchange(next_source_, std::nullopt)) {
    StartWatch(*source);
    return;
  }
  const std::string best = selector_.Choose(current_source_);
  const bool is_usable = current_source_ != kStaleStore &&
                         !selector_.is_backing_off(current_source_);
  if (best == current_source_) {
    StartWatch(current_source_);
  } else if (search_->is_active()) {
    is_parked_ = true;
  } else if (is_usable && best != kStore) {
    ProbePreferredPeers();
    // A watch of the store is paid for, so the probes come first.
    if (is_reading_store()) {
      is_awaiting_probes_ = true;
      ResumeAfterProbes();
    } else {
      StartWatch(current_source_);
    }
  } else {
    StartWatch(best);
  }
}

void UpdateReader::StartWatch(const std::string& source) {
  const auto* call = std::get_if<WatchCall>(&call_);
  if (source == current_source_) {
    ContinueWatch(*call);
  } else if (source == kStore) {
    SwitchToStore(*call);
  } else {
    SwitchTo(source);
  }
}

void UpdateReader::ContinueWatch(const WatchCall& call) {
  if (current_source_ != kStore) {
    WatchPeer(current_source_, call.cursor);
    return;
  }
  const base::Duration rest =
      std::max(base::Duration{}, watch_pause_until_ - clock_.Now());
  control_.After(
      rest, [self = shared_from_this(), attempt = attempt_,
             prefix = call.prefix, cursor = call.cursor, wait = call.wait] {
        if (attempt == self->attempt_) {
          self->WatchStore(
              prefix, cursor,
              self->selector_.store_failures() == 0 ? wait : kProbeWatchWait);
        }
      });
}

void UpdateReader::SwitchToStore(const WatchCall& call) {
  const auto position = SwitchPosition();
  if (current_source_ == kStaleStore || !position || position->era != era_) {
    control_.Post([self = shared_from_this(), attempt = attempt_] {
      if (attempt == self->attempt_) {
        self->ListInstead(kStore, "switching to the store itself");
      }
    });
    return;
  }
  WatchStore(call.prefix, position->revision, kResumeWait);
}

void UpdateReader::SwitchTo(const std::string& peer) {
  const auto position = SwitchPosition();
  if (!position) {
    control_.Post([self = shared_from_this(), attempt = attempt_, peer] {
      if (attempt == self->attempt_) {
        self->ListInstead(peer, "no position to resume from");
      }
    });
    return;
  }
  fetch_from_peer_(
      peer,
      kPositionPrefix + std::to_string(position->era) + "." +
          std::to_string(position->revision),
      [self = shared_from_this(), attempt = attempt_,
       peer](base::Result<StoreUpdate> update) {
        if (attempt != self->attempt_) {
          return;
        }
        if (update.is_ok()) {
          self->DidSwitchTo(peer, std::move(update.value()));
          return;
        }
        // The peer's history is too short, or it runs an earlier version.
        const auto& code = update.error().code;
        if (code == ErrorCode::kExpired || code == ErrorCode::kNotFound) {
          self->ListInstead(peer, update.error().ToString());
          return;
        }
        self->DidFail(peer, update.error());
        self->StartSearch("a switch failed");
        if (!self->ParkCall()) {
          self->FinishWatch(update.error());
        }
      });
}

std::optional<store::Position> UpdateReader::SwitchPosition() {
  return current_source_ == kStaleStore ? stale_copy_.latest()
                                        : resume_position_.At(clock_.Now());
}

void UpdateReader::ListInstead(const std::string& source,
                               const std::string& why) {
  next_source_ = source;
  FinishWatch(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, source,
                              "listing all keys from another source: " + why));
}

void UpdateReader::DidSwitchTo(const std::string& peer, StoreUpdate update) {
  if (const auto error = CheckEra(peer, update)) {
    if (!ParkCall()) {
      FinishWatch(*error);
    }
    return;
  }
  std::optional<store::Position> completes_list_since;
  if (current_source_ == kStaleStore) {
    completes_list_since = stale_copy_.latest();
    if (!CompletesStaleCopy(update)) {
      ListInstead(peer,
                  "the stale read with all changes since its newest item, " +
                      store::ToString(*completes_list_since) +
                      ", differs from the peer's keys");
      return;
    }
    stale_copy_.Clear();
    log_.Write({.level = base::LogLevel::kInfo,
                .step = Step::kReadStore,
                .peer = peer,
                .message = "completed the stale read with " +
                           std::to_string(update.events.size()) +
                           " changes since its newest item, " +
                           store::ToString(*completes_list_since)});
  }
  current_source_ = peer;
  DidReceive(peer, std::move(update), completes_list_since);
}

bool UpdateReader::CompletesStaleCopy(const StoreUpdate& update) {
  stale_copy_.Apply(update.events);
  return update.digest && stale_copy_.Matches(*update.digest, update.position);
}

void UpdateReader::DidReceive(
    const std::string& peer,
    StoreUpdate update,
    std::optional<store::Position> completes_list_since) {
  (void)CheckUpdate(peer, update);
  SetStoreContact(clock_.Now() - update.age);
  resume_position_.DidReadPeer(update.position, clock_.Now());
  FinishWatch(store::Changes{std::move(update.events), update.cursor,
                             update.position, completes_list_since});
}

void UpdateReader::WatchPeer(const std::string& peer, std::int64_t cursor) {
  fetch_from_peer_(
      peer, kCursorPrefix + std::to_string(cursor),
      [self = shared_from_this(), attempt = attempt_,
       peer](base::Result<StoreUpdate> update) {
        if (attempt != self->attempt_) {
          return;
        }
        if (!update.is_ok()) {
          if (update.error().code != ErrorCode::kExpired) {
            self->DidFail(peer, update.error());
            self->StartSearch("a watch failed");
            if (self->ParkCall()) {
              return;
            }
          }
          self->FinishWatch(base::MakeError(ErrorCode::kExpired,
                                            Step::kWatchStore, peer,
                                            update.error().ToString()));
          return;
        }
        if (const auto error = self->CheckEra(peer, update.value())) {
          self->FinishWatch(base::MakeError(
              ErrorCode::kExpired, Step::kWatchStore, peer, error->ToString()));
          return;
        }
        self->DidReceive(peer, std::move(update.value()), std::nullopt);
      });
}

void UpdateReader::WatchStore(const std::string& prefix,
                              std::int64_t cursor,
                              base::Duration wait) {
  const auto pending = std::make_shared<WatchCallback>(
      [self = shared_from_this()](base::Result<store::Changes> changes) {
        self->FinishWatch(std::move(changes));
      });
  pending_watch_ = pending;
  pending_cursor_ = cursor;
  store_.watch(prefix, cursor, wait,
               [self = shared_from_this(), attempt = attempt_,
                pending](base::Result<store::Changes> changes) {
                 // Empty if the watch was aborted meanwhile.
                 const auto callback = std::exchange(*pending, nullptr);
                 if (callback && attempt == self->attempt_) {
                   self->DidWatchStore(changes);
                   callback(std::move(changes));
                 }
               });
}

void UpdateReader::DidWatchStore(const base::Result<store::Changes>& changes) {
  pending_watch_.reset();
  if (!changes.is_ok()) {
    adoption_.reset();
    if (changes.error().code != ErrorCode::kExpired) {
      DidFail(kStore, changes.error());
    } else if (!is_reading_store()) {
      next_source_ = kStore;
    }
    return;
  }
  current_source_ = kStore;
  DidReachStore();
  resume_position_.DidReadStore(changes.value().position);
  if (!changes.value().events.empty()) {
    watch_pause_until_ = clock_.Now() + kWatchPause;
  }
}

}  // namespace medlarspread::relay

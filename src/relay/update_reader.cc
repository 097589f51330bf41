// Lists and watches the store and peers.

#include "src/relay/update_reader.h"

#include <algorithm>
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

// Marks a stale read of the store as the source. Watching cannot continue from
// it.
constexpr const char* kStaleStore = "stale";

}  // namespace

UpdateReader::UpdateReader(UpdateReaderSettings settings,
                           base::Clock clock,
                           base::TaskRunner control,
                           store::EventSource store,
                           FetchFromPeer fetch_from_peer,
                           const blackboard::Blackboard& blackboard,
                           std::function<void()> did_restore_store,
                           base::Log log)
    : settings_(std::move(settings)),
      clock_(clock),
      control_(std::move(control)),
      store_(store::GuardAgainstRestore(std::move(store))),
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

void UpdateReader::DidRenew() {
  if (current_source_ == kStore && selector_.store_failures() == 0) {
    DidReachStore();
  }
}

void UpdateReader::DidReachStore() {
  selector_.DidAnswer(kStore);
  last_store_contact_ = clock_.Now();
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
  selector_.DidBecomeStale(peer);
  log_.DidFail(error, "looking for a source in the current era");
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
  selector_.DidFail(source);
  log_.DidFail(error, source == kStore
                          ? "cannot read from the store"
                          : "cannot read store updates from a peer");
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
    selector_.DidBecomeStale(source);
    log_.DidFail(error, "looking for a source with fresher data");
    return error;
  }
  selector_.DidAnswer(source);
  return std::nullopt;
}

void UpdateReader::List(const std::string& prefix,
                        const std::string& after,
                        ListCallback done) {
  if (after.empty()) {
    list_source_ = next_source_.value_or(selector_.Choose(current_source_));
    next_source_.reset();
    if (const auto wait = StaleReadDelay()) {
      has_reread_stale_ = has_read_;
      list_source_ = kStaleStore;
      control_.After(*wait, [self = shared_from_this(), prefix, after,
                             done = std::move(done)]() mutable {
        self->ListStore(prefix, after, std::move(done));
      });
      return;
    }
  }
  if (list_source_ == kStore || list_source_ == kStaleStore) {
    ListStore(prefix, after, std::move(done));
  } else {
    ListPeer(list_source_, std::move(done));
  }
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
       [self = shared_from_this(), is_stale, is_first_page,
        done = std::move(done)](base::Result<store::Page> page) {
         self->has_read_ = self->has_read_ || page.is_ok();
         if (page.is_ok()) {
           self->DidSeeEra(page.value().era);
         }
         if (!page.is_ok()) {
           self->DidFail(kStore, page.error());
         } else if (is_stale) {
           self->current_source_ = kStaleStore;
           page.value().is_stale = true;
           if (is_first_page) {
             self->stale_copy_.Clear();
           }
           self->stale_copy_.Apply(page.value().items);
         } else {
           self->current_source_ = kStore;
           self->stale_copy_.Clear();
           self->DidReachStore();
           if (is_first_page) {
             self->list_position_ = page.value().position();
           }
           if (page.value().is_last) {
             self->resume_position_.DidReadStore(self->list_position_);
           }
         }
         done(std::move(page));
       });
}

void UpdateReader::ListPeer(const std::string& peer, ListCallback done) {
  fetch_from_peer_(
      peer, kNewsTarget,
      [self = shared_from_this(), peer,
       done = std::move(done)](base::Result<StoreUpdate> update) {
        if (!update.is_ok()) {
          self->DidFail(peer, update.error());
          done(update.error());
          return;
        }
        if (const auto error = self->CheckEra(peer, update.value())) {
          done(*error);
          return;
        }
        self->current_source_ = peer;
        self->stale_copy_.Clear();
        self->has_read_ = true;
        self->last_store_contact_ = self->clock_.Now() - update.value().age;
        const store::Position& position = update.value().position;
        self->resume_position_.DidReadPeer(position, self->clock_.Now());
        done(store::Page{std::move(update.value().events), true,
                         position.revision, update.value().cursor,
                         position.era});
      });
}

void UpdateReader::Watch(const std::string& prefix,
                         std::int64_t cursor,
                         base::Duration wait,
                         WatchCallback done) {
  const std::string source = selector_.Choose(current_source_);
  if (source == current_source_ && source == kStore) {
    const base::Duration rest =
        std::max(base::Duration{}, watch_pause_until_ - clock_.Now());
    control_.After(rest, [self = shared_from_this(), prefix, cursor, wait,
                          done = std::move(done)]() mutable {
      self->WatchStore(prefix, cursor, wait, std::move(done));
    });
    return;
  }
  if (source == current_source_) {
    WatchPeer(source, cursor, std::move(done));
    return;
  }
  if (source == kStore) {
    control_.Post([done, source] {
      done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, source,
                           "switching to the store itself"));
    });
    return;
  }
  if (!last_store_contact_) {
    SwitchTo(source, std::move(done));
    return;
  }
  ProbeFreshness(source, [self = shared_from_this(), source, prefix, cursor,
                          wait, done](bool should_read) {
    if (should_read) {
      self->SwitchTo(source, done);
    } else {
      self->Watch(prefix, cursor, wait, done);
    }
  });
}

void UpdateReader::SwitchTo(const std::string& peer, WatchCallback done) {
  const auto position = SwitchPosition();
  if (!position) {
    control_.Post([self = shared_from_this(), peer, done] {
      self->ListInstead(peer, "no position to resume from", done);
    });
    return;
  }
  fetch_from_peer_(
      peer,
      kPositionPrefix + std::to_string(position->era) + "." +
          std::to_string(position->revision),
      [self = shared_from_this(), peer,
       done](base::Result<StoreUpdate> update) {
        if (update.is_ok()) {
          self->DidSwitchTo(peer, std::move(update.value()), done);
          return;
        }
        // The peer's history is too short, or it runs an earlier version.
        const auto& code = update.error().code;
        if (code == ErrorCode::kExpired || code == ErrorCode::kNotFound) {
          self->ListInstead(peer, update.error().ToString(), done);
          return;
        }
        self->DidFail(peer, update.error());
        done(update.error());
      });
}

std::optional<store::Position> UpdateReader::SwitchPosition() {
  return current_source_ == kStaleStore ? stale_copy_.latest()
                                        : resume_position_.At(clock_.Now());
}

void UpdateReader::ListInstead(const std::string& peer,
                               const std::string& why,
                               const WatchCallback& done) {
  next_source_ = peer;
  done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, peer,
                       "listing all keys from another source: " + why));
}

void UpdateReader::DidSwitchTo(const std::string& peer,
                               StoreUpdate update,
                               const WatchCallback& done) {
  if (const auto error = CheckEra(peer, update)) {
    done(*error);
    return;
  }
  std::optional<store::Position> completes_list_since;
  if (current_source_ == kStaleStore) {
    completes_list_since = stale_copy_.latest();
    if (!CompletesStaleCopy(update)) {
      ListInstead(peer,
                  "the stale read with all changes since its newest item, " +
                      store::ToString(*completes_list_since) +
                      ", differs from the peer's keys",
                  done);
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
  DidReceive(peer, std::move(update), completes_list_since, done);
}

bool UpdateReader::CompletesStaleCopy(const StoreUpdate& update) {
  stale_copy_.Apply(update.events);
  return update.digest && stale_copy_.Matches(*update.digest, update.position);
}

void UpdateReader::DidReceive(
    const std::string& peer,
    StoreUpdate update,
    std::optional<store::Position> completes_list_since,
    const WatchCallback& done) {
  (void)CheckUpdate(peer, update);
  last_store_contact_ = clock_.Now() - update.age;
  resume_position_.DidReadPeer(update.position, clock_.Now());
  done(store::Changes{std::move(update.events), update.cursor, update.position,
                      completes_list_since});
}

void UpdateReader::ProbeFreshness(const std::string& peer,
                                  std::function<void(bool should_read)> done) {
  fetch_from_peer_(peer, kFreshnessTarget,
                   [self = shared_from_this(), peer,
                    done = std::move(done)](base::Result<StoreUpdate> update) {
                     if (update.is_ok()) {
                       done(!self->CheckEra(peer, update.value()) &&
                            !self->CheckUpdate(peer, update.value()));
                       return;
                     }
                     // Peers of an earlier version do not support this request.
                     const bool is_unknown =
                         update.error().code == ErrorCode::kNotFound;
                     if (!is_unknown) {
                       self->DidFail(peer, update.error());
                     }
                     done(is_unknown);
                   });
}

void UpdateReader::WatchPeer(const std::string& peer,
                             std::int64_t cursor,
                             WatchCallback done) {
  fetch_from_peer_(
      peer, kCursorPrefix + std::to_string(cursor),
      [self = shared_from_this(), peer,
       done = std::move(done)](base::Result<StoreUpdate> update) {
        if (!update.is_ok()) {
          if (update.error().code != ErrorCode::kExpired) {
            self->DidFail(peer, update.error());
          }
          done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, peer,
                               update.error().ToString()));
          return;
        }
        if (const auto error = self->CheckEra(peer, update.value())) {
          done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, peer,
                               error->ToString()));
          return;
        }
        self->DidReceive(peer, std::move(update.value()), std::nullopt, done);
      });
}

void UpdateReader::WatchStore(const std::string& prefix,
                              std::int64_t cursor,
                              base::Duration wait,
                              WatchCallback done) {
  const auto pending = std::make_shared<WatchCallback>(std::move(done));
  pending_watch_ = pending;
  store_.watch(prefix, cursor,
               selector_.store_failures() == 0 ? wait : kProbeWatchWait,
               [self = shared_from_this(),
                pending](base::Result<store::Changes> changes) {
                 // Empty if the watch was aborted meanwhile.
                 if (const auto callback = std::exchange(*pending, nullptr)) {
                   self->DidWatchStore(changes);
                   callback(std::move(changes));
                 }
               });
}

void UpdateReader::DidWatchStore(const base::Result<store::Changes>& changes) {
  pending_watch_.reset();
  if (!changes.is_ok()) {
    if (changes.error().code != ErrorCode::kExpired) {
      DidFail(kStore, changes.error());
    }
    return;
  }
  DidReachStore();
  resume_position_.DidReadStore(changes.value().position);
  if (!changes.value().events.empty()) {
    watch_pause_until_ = clock_.Now() + kWatchPause;
  }
}

}  // namespace medlarspread::relay

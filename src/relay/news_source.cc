// Readings and watches, of the store and of peers.

#include "src/relay/news_source.h"

#include <algorithm>
#include <utility>

#include "src/relay/change_delays.h"
#include "src/store/restore_guard.h"

namespace medlarspread::relay {

namespace {

using base::ErrorCode;
using base::Step;

// How long a watch waits while it is not known whether the store is back. One
// that is sent into its silence is lost, and would be found out at its end
// only.
constexpr base::Duration kTrialWait = base::Milliseconds(100);

// Stands for a reading of the store that may be seconds old: no place that news
// go on from.
constexpr const char* kStaleStore = "stale";

std::int64_t LatestRevision(const std::vector<store::Event>& items) {
  std::int64_t latest = 0;
  for (const store::Event& item : items) {
    latest = std::max(latest, item.revision);
  }
  return latest;
}

}  // namespace

NewsSource::NewsSource(NewsSourceSettings settings,
                       base::Clock clock,
                       base::TaskRunner control,
                       store::EventSource store,
                       AskPeer ask_peer,
                       const blackboard::Blackboard& blackboard,
                       std::function<void()> did_restore_store,
                       base::Log log)
    : settings_(std::move(settings)),
      clock_(clock),
      control_(std::move(control)),
      store_(store::GuardAgainstRestore(std::move(store))),
      ask_peer_(std::move(ask_peer)),
      did_restore_store_(std::move(did_restore_store)),
      log_(std::move(log)),
      started_(clock_.Now()),
      choice_(settings_.places, std::move(clock), blackboard) {}

store::EventSource NewsSource::source() {
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

void NewsSource::DidRenew() {
  if (place_ == kStore && choice_.store_failures() == 0) {
    DidReachStore();
  }
}

void NewsSource::DidReachStore() {
  choice_.DidAnswer(kStore);
  reached_store_ = clock_.Now();
}

void NewsSource::DidFailToRenew(const base::Error& error) {
  if (place_ != kStore || !watch_) {
    return;
  }
  DidFail(kStore, error);
  GiveUpWatch(base::MakeError(ErrorCode::kTimeout, Step::kWatchStore,
                              error.peer, "given up after a failed renewal"));
}

void NewsSource::GiveUpWatch(const base::Error& error) {
  const auto watch = std::exchange(watch_, nullptr);
  if (const auto done = watch ? std::exchange(*watch, nullptr) : nullptr) {
    done(error);
  }
}

void NewsSource::DidSeeEra(std::int64_t era) {
  if (era <= era_) {
    return;
  }
  const std::int64_t before = std::exchange(era_, era);
  if (before == 0) {
    return;
  }
  log_.Write({.level = base::LogLevel::kWarning,
              .step = Step::kWatchStore,
              .message = "the store was restored from a copy: era " +
                         std::to_string(era) + " after " +
                         std::to_string(before)});
  did_restore_store_();
  if (place_ == kStore) {
    GiveUpWatch(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, "",
                                "the store was restored from a copy"));
  }
}

std::optional<base::Error> NewsSource::CheckEra(const std::string& peer,
                                                News& news) {
  if (news.position.era == 0) {
    // A peer of an earlier version tells no era.
    news.position.era = era_;
    for (store::Event& event : news.events) {
      event.era = era_;
    }
  }
  DidSeeEra(news.position.era);
  if (news.position.era == era_) {
    return std::nullopt;
  }
  auto error = base::MakeError(
      ErrorCode::kUnavailable, Step::kWatchStore, peer,
      "it knows the store of era " + std::to_string(news.position.era) +
          ", now it is in era " + std::to_string(era_));
  choice_.DidGrowOld(peer);
  log_.DidFail(error, "looking for later news");
  return error;
}

std::optional<Freshness> NewsSource::freshness() const {
  if (!reached_store_) {
    return std::nullopt;
  }
  return Freshness{clock_.Now() - *reached_store_,
                   place_ == kStore && choice_.store_failures() == 0};
}

std::string NewsSource::DescribePlace() const {
  if (place_ == kStore) {
    return "the store";
  }
  return place_ == kStaleStore ? "the store, perhaps old" : place_;
}

void NewsSource::DidFail(const std::string& place, const base::Error& error) {
  choice_.DidFail(place);
  log_.DidFail(error, place == kStore ? "no news from the store"
                                      : "no news from a peer");
}

std::optional<base::Error> NewsSource::Check(const std::string& place,
                                             const News& news) {
  if (!news.is_direct && !choice_.is_in_own_domain(place) && reached_store_) {
    auto error = base::MakeError(ErrorCode::kUnavailable, Step::kWatchStore,
                                 place, "it does not read the store itself");
    DidFail(place, error);
    return error;
  }
  if (news.age > kMostNewsAge) {
    auto error = base::MakeError(
        ErrorCode::kTimeout, Step::kWatchStore, place,
        "its news are " + std::to_string(news.age.count() / 1000) + " ms old");
    choice_.DidGrowOld(place);
    log_.DidFail(error, "looking for younger news");
    return error;
  }
  choice_.DidAnswer(place);
  return std::nullopt;
}

void NewsSource::List(const std::string& prefix,
                      const std::string& after,
                      ListCallback done) {
  if (after.empty()) {
    listing_ = next_place_.value_or(choice_.Choose(place_));
    next_place_.reset();
    if (const auto wait = WaitForStaleReading()) {
      has_read_twice_ = has_read_;
      listing_ = kStaleStore;
      control_.After(*wait, [self = shared_from_this(), prefix, after,
                             done = std::move(done)]() mutable {
        self->ListStore(prefix, after, std::move(done));
      });
      return;
    }
  }
  if (listing_ == kStore || listing_ == kStaleStore) {
    ListStore(prefix, after, std::move(done));
  } else {
    ListPeer(listing_, std::move(done));
  }
}

std::optional<base::Duration> NewsSource::WaitForStaleReading() const {
  if (listing_ != kStore || !store_.list_stale) {
    return std::nullopt;
  }
  if (!has_read_) {
    return base::Duration{};
  }
  if (place_ == kStaleStore && !has_read_twice_ && choice_.knows_nobody()) {
    return std::max(base::Duration{},
                    started_ + settings_.first_wait - clock_.Now());
  }
  return std::nullopt;
}

void NewsSource::ListStore(const std::string& prefix,
                           const std::string& after,
                           ListCallback done) {
  const bool is_stale = listing_ == kStaleStore;
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
           self->place_ = kStaleStore;
           // NOTE: the store's own revision may be ahead of a page that is old,
           // and what came in between would be taken for known or removed.
           page.value().revision = LatestRevision(page.value().items);
           page.value().cursor = page.value().revision;
           self->safe_position_.DidHearFromStore(page.value().position());
         } else {
           self->place_ = kStore;
           self->DidReachStore();
           if (is_first_page) {
             self->safe_position_.DidHearFromStore(page.value().position());
           }
         }
         done(std::move(page));
       });
}

void NewsSource::ListPeer(const std::string& peer, ListCallback done) {
  ask_peer_(
      peer, kNewsTarget,
      [self = shared_from_this(), peer,
       done = std::move(done)](base::Result<News> news) {
        if (!news.is_ok()) {
          self->DidFail(peer, news.error());
          done(news.error());
          return;
        }
        if (const auto error = self->CheckEra(peer, news.value())) {
          done(*error);
          return;
        }
        self->place_ = peer;
        self->has_read_ = true;
        self->reached_store_ = self->clock_.Now() - news.value().age;
        const store::Position& position = news.value().position;
        self->safe_position_.DidHearFromPeer(position, self->clock_.Now());
        done(store::Page{std::move(news.value().events), true,
                         position.revision, news.value().cursor, position.era});
      });
}

void NewsSource::Watch(const std::string& prefix,
                       std::int64_t cursor,
                       base::Duration wait,
                       WatchCallback done) {
  const std::string place = choice_.Choose(place_);
  if (place == place_ && place == kStore) {
    const base::Duration rest =
        std::max(base::Duration{}, rest_until_ - clock_.Now());
    control_.After(rest, [self = shared_from_this(), prefix, cursor, wait,
                          done = std::move(done)]() mutable {
      self->WatchStore(prefix, cursor, wait, std::move(done));
    });
    return;
  }
  if (place == place_) {
    WatchPeer(place, cursor, std::move(done));
    return;
  }
  if (place == kStore) {
    control_.Post([done, place] {
      done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, place,
                           "reading the store itself"));
    });
    return;
  }
  if (!reached_store_) {
    MoveTo(place, std::move(done));
    return;
  }
  Scout(place, [self = shared_from_this(), place, prefix, cursor, wait,
                done](bool should_read) {
    if (should_read) {
      self->MoveTo(place, done);
    } else {
      self->Watch(prefix, cursor, wait, done);
    }
  });
}

void NewsSource::MoveTo(const std::string& peer, WatchCallback done) {
  const auto list_instead = [self = shared_from_this(), peer,
                             done](const std::string& why) {
    self->next_place_ = peer;
    done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, peer,
                         "reading the store from another place: " + why));
  };
  const auto position = safe_position_.At(clock_.Now());
  if (!position) {
    control_.Post([list_instead] { list_instead("no position is safe"); });
    return;
  }
  ask_peer_(peer,
            kPositionPrefix + std::to_string(position->era) + "." +
                std::to_string(position->revision),
            [self = shared_from_this(), peer, list_instead,
             done](base::Result<News> news) {
              if (news.is_ok()) {
                self->DidMoveTo(peer, std::move(news.value()), done);
                return;
              }
              // The peer knows too little, or it is of an earlier version.
              const auto& code = news.error().code;
              if (code == ErrorCode::kExpired || code == ErrorCode::kNotFound) {
                list_instead(news.error().ToString());
                return;
              }
              self->DidFail(peer, news.error());
              done(news.error());
            });
}

void NewsSource::DidMoveTo(const std::string& peer,
                           News news,
                           const WatchCallback& done) {
  if (const auto error = CheckEra(peer, news)) {
    done(*error);
    return;
  }
  place_ = peer;
  DidHear(peer, std::move(news), done);
}

void NewsSource::DidHear(const std::string& peer,
                         News news,
                         const WatchCallback& done) {
  (void)Check(peer, news);
  reached_store_ = clock_.Now() - news.age;
  safe_position_.DidHearFromPeer(news.position, clock_.Now());
  done(store::Changes{std::move(news.events), news.cursor, news.position});
}

void NewsSource::Scout(const std::string& peer,
                       std::function<void(bool should_read)> done) {
  ask_peer_(peer, kFreshnessTarget,
            [self = shared_from_this(), peer,
             done = std::move(done)](base::Result<News> news) {
              if (news.is_ok()) {
                done(!self->CheckEra(peer, news.value()) &&
                     !self->Check(peer, news.value()));
                return;
              }
              // A peer of an earlier version does not know the question.
              const bool is_unknown = news.error().code == ErrorCode::kNotFound;
              if (!is_unknown) {
                self->DidFail(peer, news.error());
              }
              done(is_unknown);
            });
}

void NewsSource::WatchPeer(const std::string& peer,
                           std::int64_t cursor,
                           WatchCallback done) {
  ask_peer_(peer, kCursorPrefix + std::to_string(cursor),
            [self = shared_from_this(), peer,
             done = std::move(done)](base::Result<News> news) {
              if (!news.is_ok()) {
                if (news.error().code != ErrorCode::kExpired) {
                  self->DidFail(peer, news.error());
                }
                done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore,
                                     peer, news.error().ToString()));
                return;
              }
              if (const auto error = self->CheckEra(peer, news.value())) {
                done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore,
                                     peer, error->ToString()));
                return;
              }
              self->DidHear(peer, std::move(news.value()), done);
            });
}

void NewsSource::WatchStore(const std::string& prefix,
                            std::int64_t cursor,
                            base::Duration wait,
                            WatchCallback done) {
  const auto pending = std::make_shared<WatchCallback>(std::move(done));
  watch_ = pending;
  store_.watch(prefix, cursor,
               choice_.store_failures() == 0 ? wait : kTrialWait,
               [self = shared_from_this(),
                pending](base::Result<store::Changes> changes) {
                 // Empty if the watch was given up meanwhile.
                 if (const auto callback = std::exchange(*pending, nullptr)) {
                   self->DidWatchStore(changes);
                   callback(std::move(changes));
                 }
               });
}

void NewsSource::DidWatchStore(const base::Result<store::Changes>& changes) {
  watch_.reset();
  if (!changes.is_ok()) {
    if (changes.error().code != ErrorCode::kExpired) {
      DidFail(kStore, changes.error());
    }
    return;
  }
  DidReachStore();
  safe_position_.DidHearFromStore(changes.value().position);
  if (!changes.value().events.empty()) {
    rest_until_ = clock_.Now() + kGather;
  }
}

}  // namespace medlarspread::relay

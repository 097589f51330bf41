// The part of UpdateReader that keeps the copy from growing old: watches its
// age, searches for a fresher source and turns to the store.

#include <algorithm>
#include <utility>

#include "src/relay/propagation_delays.h"
#include "src/relay/update_reader.h"

namespace medlarspread::relay {

namespace {

using base::ErrorCode;
using base::Step;

// How often the age of a copy that is too old is checked.
constexpr base::Duration kAgeCheckInterval = base::Milliseconds(50);
// How often a daemon whose peers have all lost the store checks whether it
// reaches the store itself. A check that fails costs a whole call, and in an
// outage each daemon of the fleet makes one.
constexpr base::Duration kStoreCheckInterval = base::Milliseconds(8'000);
// No key begins with this, so a read of it transfers nothing.
constexpr const char* kEmptyPrefix = "none/";
// The daemons of a failure domain that turn to the store last do so one after
// the other. More than these share the last moment.
constexpr std::size_t kSpreadRanks = 32;

std::string InMilliseconds(base::Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

}  // namespace

base::Duration UpdateReader::copy_age() const {
  // A daemon that waited for registrations had no copy to complete before.
  const base::MonotonicTime start =
      has_reread_stale_ ? start_time_ + settings_.registration_wait
                        : start_time_;
  return clock_.Now() - last_store_contact_.value_or(start);
}

void UpdateReader::SetStoreContact(base::MonotonicTime contact) {
  last_store_contact_ = contact;
  outages_->DidSeeUp(contact);
  adoption_.reset();
  if (copy_age() <= kMaxUpdateAge) {
    search_->Stop();
  }
}

void UpdateReader::PrepareSearch() {
  const auto weak = weak_from_this();
  SourceSearch::Delegate delegate;
  delegate.candidates = [weak] {
    const auto self = weak.lock();
    return self ? self->Candidates() : std::vector<SourceSearch::Candidate>{};
  };
  delegate.probe = [weak](const std::string& peer,
                          std::function<void(ProbeResult)> done) {
    if (const auto self = weak.lock()) {
      self->Probe(peer, std::move(done));
    }
  };
  delegate.did_find = [weak](const std::string& peer) {
    if (const auto self = weak.lock()) {
      self->DidFind(peer);
    }
  };
  delegate.did_tick = [weak] {
    if (const auto self = weak.lock()) {
      self->DidTickSearch();
    }
  };
  search_ =
      std::make_shared<SourceSearch>(clock_, control_, std::move(delegate));
  ScheduleAgeCheck(kMaxUpdateAge);
}

void UpdateReader::ScheduleAgeCheck(base::Duration delay) {
  control_.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->CheckAge();
    }
  });
}

void UpdateReader::CheckAge() {
  const base::Duration age = copy_age();
  // A daemon that reads the store learns from its lease renewals whether the
  // store is silent.
  const bool is_store_reader = is_reading_store() && last_store_contact_ &&
                               selector_.store_failures() == 0;
  if (age > kMaxUpdateAge && !is_store_reader) {
    StartSearch("the copy is too old");
  }
  ScheduleAgeCheck(std::max(kAgeCheckInterval, kMaxUpdateAge - age));
}

void UpdateReader::StartSearch(const std::string& reason) {
  const bool awaits_registrations =
      selector_.knows_no_peers() && !has_reread_stale_ && store_.list_stale;
  const bool has_copy = last_store_contact_.has_value();
  if (search_->is_active() || !has_read_ ||
      (!has_copy && (awaits_registrations || copy_age() <= kMaxUpdateAge))) {
    return;
  }
  log_.Write({.level = base::LogLevel::kInfo,
              .step = Step::kWatchStore,
              .peer = current_source_,
              .message = "looking for a fresher source, since " + reason +
                         ": the copy is " + InMilliseconds(copy_age()) +
                         " old, read from " + Describe(current_source_)});
  search_->Start();
}

void UpdateReader::DidTickSearch() {
  if (is_asking_store() || is_switching_to_peer() ||
      selector_.is_backing_off(kStore)) {
    return;
  }
  if (selector_.asks_store()) {
    TakeTurnAtStore();
  } else if (copy_age() >= kMaxCopyAge) {
    TurnToStoreLast();
  }
}

void UpdateReader::TakeTurnAtStore() {
  const base::Duration turn =
      kStoreTurnInterval * static_cast<std::int64_t>(selector_.rank());
  if (search_->elapsed() >= turn || copy_age() >= kMaxCopyAge) {
    Adopt(kStore);
  }
}

void UpdateReader::TurnToStoreLast() {
  const std::size_t place = std::min(selector_.rank(), kSpreadRanks);
  const base::Duration spread = kStoreSpread *
                                static_cast<std::int64_t>(place) /
                                static_cast<std::int64_t>(kSpreadRanks);
  // The answers of peers that had failed before are due by then.
  const bool has_asked = search_->elapsed() >= 2 * kProbeInterval;
  if (!has_asked || copy_age() < kMaxCopyAge + spread) {
    return;
  }
  if (search_->has_unusable_answer()) {
    CheckStore();
  } else {
    Adopt(kStore);
  }
}

bool UpdateReader::is_asking_store() const {
  const bool is_listing = std::holds_alternative<ListCall>(call_) &&
                          !is_parked_ && list_source_ == kStore;
  return (adoption_ && adoption_->source == kStore) || pending_watch_ ||
         is_listing;
}

bool UpdateReader::is_switching_to_peer() const {
  return adoption_ && adoption_->source != kStore &&
         clock_.Now() - adoption_->started < kSourceSwitchDelay;
}

void UpdateReader::CheckStore() {
  if (!check_store_ || is_checking_store_ || clock_.Now() < next_store_check_) {
    return;
  }
  is_checking_store_ = true;
  next_store_check_ = clock_.Now() + kStoreCheckInterval;
  check_store_(
      kEmptyPrefix, "",
      [self = shared_from_this()](const base::Result<store::Page>& page) {
        self->is_checking_store_ = false;
        if (page.is_ok() && self->search_->is_active() &&
            self->copy_age() >= kMaxCopyAge) {
          self->Adopt(kStore);
        }
      });
}

void UpdateReader::DidFind(const std::string& peer) {
  const bool is_store_slow =
      adoption_ && adoption_->source == kStore &&
      clock_.Now() - adoption_->started >= kPeerTimeoutMargin;
  if (!adoption_ || is_store_slow) {
    Adopt(peer);
  }
}

void UpdateReader::Adopt(const std::string& source) {
  log_.Write({.level = base::LogLevel::kInfo,
              .step = Step::kWatchStore,
              .peer = source,
              .message = "reading from " + Describe(source) + " after " +
                         InMilliseconds(search_->elapsed()) +
                         " of search; the copy is " +
                         InMilliseconds(copy_age()) + " old"});
  adoption_ = Adoption{source, clock_.Now()};
  if (std::holds_alternative<std::monostate>(call_)) {
    next_source_ = source;
    return;
  }
  AbandonAttempt();
  if (const auto* list = std::get_if<ListCall>(&call_)) {
    list_source_ = source;
    StartList(list->prefix);
    return;
  }
  const auto& watch = std::get<WatchCall>(call_);
  if (source == current_source_ && source != kStore && !SwitchPosition()) {
    WatchPeer(source, watch.cursor);
  } else if (source == kStore) {
    SwitchToStore(watch);
  } else {
    SwitchTo(source);
  }
}

std::vector<SourceSearch::Candidate> UpdateReader::Candidates() const {
  std::vector<SourceSearch::Candidate> candidates;
  for (const std::string& peer : selector_.Peers()) {
    candidates.push_back({peer, selector_.is_in_own_domain(peer),
                          selector_.is_backing_off(peer)});
  }
  return candidates;
}

void UpdateReader::ProbePreferredPeers() {
  for (const std::string& peer : selector_.PeersPreferredTo(current_source_)) {
    if (!probing_.insert(peer).second) {
      continue;
    }
    Probe(peer, [self = shared_from_this(), peer](ProbeResult result) {
      self->probing_.erase(peer);
      if (result == ProbeResult::kFresh && !self->search_->is_active() &&
          !self->next_source_ && peer != self->current_source_) {
        self->next_source_ = peer;
      }
      self->ResumeAfterProbes();
    });
  }
}

void UpdateReader::ResumeAfterProbes() {
  const bool is_done = next_source_ || probing_.empty();
  if (is_awaiting_probes_ && is_done) {
    is_awaiting_probes_ = false;
    StartWatch(
        std::exchange(next_source_, std::nullopt).value_or(current_source_));
  }
}

void UpdateReader::Probe(const std::string& peer,
                         std::function<void(ProbeResult)> done) {
  fetch_from_peer_(
      peer, kFreshnessTarget,
      [self = shared_from_this(), peer,
       done = std::move(done)](base::Result<StoreUpdate> update) {
        if (update.is_ok()) {
          const bool is_usable = !self->CheckEra(peer, update.value()) &&
                                 !self->CheckUpdate(peer, update.value());
          done(is_usable ? ProbeResult::kFresh : ProbeResult::kUnusable);
          return;
        }
        // Peers of an earlier version do not support this request.
        if (update.error().code == ErrorCode::kNotFound) {
          done(ProbeResult::kFresh);
          return;
        }
        self->DidFail(peer, update.error());
        done(ProbeResult::kNoAnswer);
      });
}

std::string UpdateReader::Describe(const std::string& source) const {
  if (source == kStore) {
    return "the store (backoff left " +
           InMilliseconds(selector_.backoff_left(source)) + ")";
  }
  if (source == kStaleStore) {
    return "the store (stale read)";
  }
  const std::vector<std::string> peers = selector_.Peers();
  const auto place = std::find(peers.begin(), peers.end(), source);
  const std::string choice =
      place == peers.end()
          ? "not a candidate"
          : "choice " + std::to_string(place - peers.begin() + 1) + " of " +
                std::to_string(peers.size());
  return source + " (" + choice + ", backoff left " +
         InMilliseconds(selector_.backoff_left(source)) + ")";
}

}  // namespace medlarspread::relay

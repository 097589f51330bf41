// The order of the places, and requests to peers.

#include "src/relay/news_source.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/rendezvous.h"
#include "src/http1/caller_listener.h"
#include "src/http1/timed_exchange.h"

namespace medlarspread::relay {

namespace {

using base::ErrorCode;
using base::Step;

constexpr const char* kStore = "";
constexpr int kHttpVersion = 11;
// A peer in the same failure domain answers within milliseconds of its wait.
constexpr base::Duration kPeerMargin = base::Milliseconds(500);
constexpr base::Duration kListTimeout = base::Milliseconds(1'000);
// News older than this come from a daemon that has lost the store. A reader
// hears from the store every second.
constexpr base::Duration kMostAge = base::Milliseconds(2'300);
// The rest before the store is watched again after changes. They come in
// bursts, and each watch that they end is a call that is paid for. Drains and
// configurations have 3 s to be known everywhere.
constexpr base::Duration kGather = base::Milliseconds(700);
// How long a peer that failed is left alone.
constexpr base::Duration kAvoidance = base::Milliseconds(4'000);
// The store is asked again at once after one failure, since it cuts watches
// that are well now and then; after more it is left alone for a time that
// doubles.
constexpr base::Duration kFirstStoreAvoidance = base::Milliseconds(500);
constexpr int kMostStoreDoublings = 3;
// How long a watch waits while it is not known whether the store is back. One
// that is sent into its silence is lost, and would be found out at its end
// only.
constexpr base::Duration kTrialWait = base::Milliseconds(100);

// A VM with this part of the strongest one's processor share counts as strong.
constexpr double kStrongPart = 0.5;

// The strong VMs of the domain first. When the reader changes, all others read
// everything from the new one at once: a dozen readings of some 80 KB fill the
// link of a small VM for half a second, and with it every request that it has
// in work.
std::vector<std::string> RankedMembers(const blackboard::MembershipView& view,
                                       const std::string& domain) {
  double strongest = 0.0;
  for (const auto& [name, member] : view.members) {
    if (member.failure_domain == domain) {
      strongest = std::max(strongest, member.processor_share);
    }
  }
  std::vector<std::string> strong;
  std::vector<std::string> others;
  for (const auto& [name, member] : view.members) {
    if (member.failure_domain == domain) {
      const bool is_strong = member.processor_share >= kStrongPart * strongest;
      (is_strong ? strong : others).push_back(name);
    }
  }
  const std::string key = "store-reader/" + domain;
  auto ranked = base::RankByRendezvous(key, std::move(strong));
  for (std::string& name : base::RankByRendezvous(key, std::move(others))) {
    ranked.push_back(std::move(name));
  }
  return ranked;
}

}  // namespace

NewsSource::NewsSource(NewsSourceSettings settings,
                       boost::asio::io_context& context,
                       base::Clock clock,
                       base::TaskRunner control,
                       store::EventSource store,
                       const blackboard::Blackboard& blackboard,
                       base::Log log)
    : settings_(std::move(settings)),
      context_(context),
      clock_(std::move(clock)),
      control_(std::move(control)),
      store_(std::move(store)),
      blackboard_(blackboard),
      log_(std::move(log)) {}

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

bool NewsSource::is_reader() const {
  const auto ranked =
      RankedMembers(*blackboard_.membership.Read(), settings_.failure_domain);
  return ranked.empty() || ranked.front() == settings_.vm;
}

void NewsSource::DidRenew() {
  if (place_ == kStore && store_failures_ == 0) {
    DidReachStore();
  }
}

void NewsSource::DidReachStore() {
  store_failures_ = 0;
  reached_store_ = clock_.Now();
}

void NewsSource::DidFailToRenew(const base::Error& error) {
  if (place_ != kStore || !watch_) {
    return;
  }
  const auto done = std::exchange(*watch_, nullptr);
  watch_.reset();
  if (done) {
    DidFail(kStore, error);
    done(base::MakeError(ErrorCode::kTimeout, Step::kWatchStore, error.peer,
                         "given up after a failed renewal"));
  }
}

std::optional<Freshness> NewsSource::freshness() const {
  if (!reached_store_) {
    return std::nullopt;
  }
  return Freshness{clock_.Now() - *reached_store_,
                   place_ == kStore && store_failures_ == 0};
}

std::vector<std::string> NewsSource::Places() const {
  const auto view = blackboard_.membership.Read();
  const auto ranked = RankedMembers(*view, settings_.failure_domain);
  // How many daemons of the own domain are asked before the store.
  constexpr std::size_t kMostPeers = 2;
  std::vector<std::string> places;
  for (const std::string& name : ranked) {
    if (name == settings_.vm || places.size() == kMostPeers) {
      break;
    }
    places.push_back(view->members.at(name).address);
  }
  places.emplace_back(kStore);
  const auto others = ReadersOfOtherDomains();
  places.insert(places.end(), others.begin(), others.end());
  if (view->members.size() <= 1) {
    places.insert(places.end(), settings_.seeds.begin(), settings_.seeds.end());
  }
  return places;
}

std::vector<std::string> NewsSource::ReadersOfOtherDomains() const {
  const auto view = blackboard_.membership.Read();
  std::set<std::string> domains;
  for (const auto& [name, member] : view->members) {
    if (member.failure_domain != settings_.failure_domain) {
      domains.insert(member.failure_domain);
    }
  }
  std::vector<std::string> readers;
  readers.reserve(domains.size());
  for (const std::string& domain : domains) {
    readers.push_back(
        view->members.at(RankedMembers(*view, domain).front()).address);
  }
  return readers;
}

std::string NewsSource::ChoosePlace() const {
  const base::MonotonicTime now = clock_.Now();
  for (const std::string& place : Places()) {
    const auto avoided = avoid_until_.find(place);
    if (avoided == avoid_until_.end() || avoided->second <= now) {
      return place;
    }
  }
  // Everything has failed of late: the store is what will be back first.
  return kStore;
}

void NewsSource::DidFail(const std::string& place, const base::Error& error) {
  base::Duration avoidance = kAvoidance;
  if (place == kStore) {
    const int doublings = std::min(store_failures_ - 1, kMostStoreDoublings);
    avoidance = store_failures_ == 0 ? base::Duration{}
                                     : kFirstStoreAvoidance * (1 << doublings);
    ++store_failures_;
  }
  avoid_until_[place] = clock_.Now() + avoidance;
  log_.DidFail(error, place == kStore ? "no news from the store"
                                      : "no news from a peer");
}

bool NewsSource::is_in_own_domain(const std::string& peer) const {
  const auto view = blackboard_.membership.Read();
  for (const auto& [name, member] : view->members) {
    if (member.address == peer) {
      return member.failure_domain == settings_.failure_domain;
    }
  }
  return false;
}

std::optional<base::Error> NewsSource::Check(const std::string& place,
                                             const News& news) const {
  if (news.age > kMostAge) {
    return base::MakeError(
        ErrorCode::kTimeout, Step::kWatchStore, place,
        "its news are " + std::to_string(news.age.count() / 1000) + " ms old");
  }
  if (!news.is_direct && !is_in_own_domain(place) && reached_store_) {
    return base::MakeError(ErrorCode::kUnavailable, Step::kWatchStore, place,
                           "it does not read the store itself");
  }
  return std::nullopt;
}

void NewsSource::List(const std::string& prefix,
                      const std::string& after,
                      ListCallback done) {
  if (after.empty()) {
    place_ = ChoosePlace();
  }
  const std::string place = place_;
  if (place == kStore) {
    store_.list(prefix, after,
                [self = shared_from_this(),
                 done = std::move(done)](base::Result<store::Page> page) {
                  if (page.is_ok()) {
                    self->DidReachStore();
                  } else {
                    self->DidFail(kStore, page.error());
                  }
                  done(std::move(page));
                });
    return;
  }
  Ask(place, kNewsTarget,
      [self = shared_from_this(), place,
       done = std::move(done)](base::Result<News> news) {
        if (!news.is_ok()) {
          self->DidFail(place, news.error());
          done(news.error());
          return;
        }
        self->reached_store_ = self->clock_.Now() - news.value().age;
        done(store::Page{std::move(news.value().events), true,
                         news.value().revision, news.value().cursor});
      });
}

void NewsSource::Watch(const std::string& prefix,
                       std::int64_t cursor,
                       base::Duration wait,
                       WatchCallback done) {
  const std::string place = ChoosePlace();
  if (place != place_) {
    control_.Post([done = std::move(done), place] {
      done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, place,
                           "reading the store from another place"));
    });
    return;
  }
  if (place == kStore) {
    const base::Duration rest =
        std::max(base::Duration{}, rest_until_ - clock_.Now());
    control_.After(rest, [self = shared_from_this(), prefix, cursor, wait,
                          done = std::move(done)]() mutable {
      self->WatchStore(prefix, cursor, wait, std::move(done));
    });
    return;
  }
  Ask(place, kCursorPrefix + std::to_string(cursor),
      [self = shared_from_this(), place,
       done = std::move(done)](base::Result<News> news) {
        if (!news.is_ok()) {
          if (news.error().code != ErrorCode::kExpired) {
            self->DidFail(place, news.error());
          }
          done(base::MakeError(ErrorCode::kExpired, Step::kWatchStore, place,
                               news.error().ToString()));
          return;
        }
        if (auto problem = self->Check(place, news.value())) {
          self->DidFail(place, *problem);
        }
        self->reached_store_ = self->clock_.Now() - news.value().age;
        done(store::Changes{std::move(news.value().events),
                            news.value().cursor});
      });
}

void NewsSource::WatchStore(const std::string& prefix,
                            std::int64_t cursor,
                            base::Duration wait,
                            WatchCallback done) {
  const auto pending = std::make_shared<WatchCallback>(std::move(done));
  watch_ = pending;
  store_.watch(prefix, cursor, store_failures_ == 0 ? wait : kTrialWait,
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
  if (!changes.value().events.empty()) {
    rest_until_ = clock_.Now() + kGather;
  }
}

void NewsSource::Ask(const std::string& peer,
                     const std::string& target,
                     std::function<void(base::Result<News>)> done) {
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  target, kHttpVersion);
  request->set(boost::beast::http::field::host, peer);
  request->set(kFollowerField, settings_.self_entry);
  http1::TimedExchange exchange;
  exchange.request = std::move(request);
  exchange.timeout =
      target == kNewsTarget ? kListTimeout : kNewsWait + kPeerMargin;
  exchange.step = Step::kPeerLink;
  exchange.peer = peer;
  exchange.done = [done = std::move(done),
                   peer](const base::Result<http1::Response>& response) {
    if (!response.is_ok()) {
      done(response.error());
      return;
    }
    const http1::Status status = response.value().result();
    if (status == http1::Status::ok) {
      done(DecodeNews(response.value().body(), peer));
      return;
    }
    const bool is_gone = status == http1::Status::gone;
    done(base::MakeError(
        is_gone ? ErrorCode::kExpired : ErrorCode::kUnavailable,
        Step::kPeerLink, peer,
        "status " + std::to_string(response.value().result_int())));
  };
  http1::Start(ConnectionTo(peer), control_, std::move(exchange));
}

std::shared_ptr<http1::ClientConnection> NewsSource::ConnectionTo(
    const std::string& peer) {
  if (connection_ && connected_to_ == peer && connection_->is_free()) {
    return connection_;
  }
  const auto endpoint = http1::ParseEndpoint(peer);
  if (!endpoint.is_ok()) {
    return nullptr;
  }
  if (connection_) {
    connection_->Close();
  }
  http1::ClientConnection::Settings settings;
  settings.peer = endpoint.value();
  settings.connect_timeout = kPeerMargin;
  settings.did_change = [](http1::ClientConnection&) {};
  connected_to_ = peer;
  connection_ =
      std::make_shared<http1::ClientConnection>(context_, std::move(settings));
  return connection_;
}

}  // namespace medlarspread::relay

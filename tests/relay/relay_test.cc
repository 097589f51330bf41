// Tests how store updates pass between daemons, and from which source a daemon
// reads them.

#include "src/relay/update_reader.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/base/random.h"
#include "src/base/rendezvous.h"
#include "src/http1/caller_listener.h"
#include "src/relay/update_codec.h"
#include "src/relay/update_server.h"
#include "src/store/event_log.h"

namespace medlarspread::relay {
namespace {

using base::ErrorCode;
using base::Milliseconds;

constexpr auto kLongest = std::chrono::seconds(20);

TEST(UpdateCodecTest, RoundTrip) {
  const StoreUpdate update{
      {{"a", std::string("\0x", 2), 5, 2}, {"b", std::nullopt, 6, 1}},
      {2, 6},
      42,
      Milliseconds(70),
      true,
      0xf000'0000'0000'0001};
  const auto decoded = DecodeUpdate(EncodeUpdate(update), "peer");
  ASSERT_TRUE(decoded.is_ok());
  EXPECT_EQ(decoded.value().events, update.events);
  EXPECT_EQ(decoded.value().position, update.position);
  EXPECT_EQ(decoded.value().cursor, 42);
  EXPECT_EQ(decoded.value().age, Milliseconds(70));
  EXPECT_TRUE(decoded.value().is_direct);
  EXPECT_EQ(decoded.value().digest, update.digest);
}

TEST(UpdateCodecTest, BytesCutShortAreMalformed) {
  const std::string bytes =
      EncodeUpdate({{{"a", "value", 5}}, {1, 6}, 42, {}, true});
  for (std::size_t size = 0; size + 1 < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeUpdate(bytes.substr(0, size), "peer").is_ok()) << size;
  }
}

// Two daemons of one failure domain on one thread: the other one reads the
// store, and the UpdateReader under test may read from it.
class UpdateReaderTest : public testing::Test {
 protected:
  void SetUp() override {
    server_ = std::make_shared<UpdateServer>(
        log_, runner_, [this] { return freshness_; },
        [this](const std::string& entry) { heard_.push_back(entry); });
    http1::CallerListener::Settings settings;
    settings.address = "127.0.0.1:0";
    settings.limits = [] { return http1::MessageLimits{}; };
    settings.handle = [this](const http1::Request& request,
                             http1::Respond respond) {
      ++asked_;
      return server_->Handle(request, std::move(respond));
    };
    listener_ = std::make_shared<http1::CallerListener>(
        context_, std::move(settings), base::Clock());
    ASSERT_TRUE(listener_->Open().is_ok());
    store_.list = [this](const std::string&, const std::string&,
                         std::function<void(base::Result<store::Page>)> done) {
      ++store_calls_;
      done(store_page_);
    };
    store_.watch = [this](
                       const std::string&, std::int64_t, base::Duration wait,
                       std::function<void(base::Result<store::Changes>)> done) {
      ++store_calls_;
      store_wait_ = wait;
      store_watch_ = std::move(done);
    };
    MakeSource();
  }

  void MakeSource(base::Duration registration_wait = {}) {
    MakeSource(registration_wait, std::make_shared<PeerClient>(
                                      context_, runner_, "self n1 10.0.0.1:80")
                                      ->fetch());
  }

  void MakeSource(base::Duration registration_wait, FetchFromPeer fetch) {
    source_ = std::make_shared<UpdateReader>(
        UpdateReaderSettings{{"self", "n1", {}}, registration_wait},
        base::Clock(), runner_, store_,
        std::make_shared<store::OutageDetector>(store::OutageDetectorSettings{},
                                                base::Clock(), base::Log()),
        std::move(fetch), blackboard_, [this] { ++restores_; }, base::Log());
  }

  using Items = std::vector<store::Event>;

  // Appends changes before which no other is missing.
  void Append(const Items& events) {
    store::Position reached = log_.position();
    for (const store::Event& event : events) {
      reached = std::max(reached, event.position());
    }
    log_.Append(events, reached);
  }

  // Lists the pages by a stale read, then adds a peer to follow. The store's
  // revision is far ahead of all pages.
  void ListStalePages(const std::vector<Items>& pages,
                      FetchFromPeer fetch = nullptr) {
    const auto next = std::make_shared<std::size_t>(0);
    store_.list_stale =
        [pages, next](const std::string&, const std::string&,
                      std::function<void(base::Result<store::Page>)> done) {
          const Items& items = pages[(*next)++];
          done(store::Page{items, *next == pages.size(), 90, 90});
        };
    blackboard_.membership.Write({});
    if (fetch) {
      MakeSource({}, std::move(fetch));
    } else {
      MakeSource();
    }
    listed_.clear();
    std::string after;
    for (std::size_t page = 0; page < pages.size(); ++page) {
      source_->source().list("", after,
                             [this](const base::Result<store::Page>& result) {
                               ASSERT_TRUE(result.is_ok());
                               ApplyTo(listed_, result.value().items);
                             });
      RunUntil([&next, page] { return *next > page; });
      after = "later page";
    }
    store_.list_stale = nullptr;
    AddMembers("n1");
  }

  static void ApplyTo(std::map<std::string, std::string>& known,
                      const Items& events) {
    for (const store::Event& event : events) {
      if (event.value) {
        known[event.key] = *event.value;
      } else {
        known.erase(event.key);
      }
    }
  }

  // Starts the peer's log again, with a history that reaches back to the start.
  void MakeLog() {
    log_ = store::EventLog(100);
    log_.DidList({0, 0});
  }

  static Items DrawHistory(base::Random& random) {
    Items history;
    for (std::int64_t revision = 1; revision <= 40; ++revision) {
      const std::string key = "k" + std::to_string(random.Below(8));
      const bool is_removal = random.Below(4) == 0;
      history.push_back(
          {key,
           is_removal ? std::nullopt : std::optional(std::to_string(revision)),
           revision});
    }
    return history;
  }

  // Reads the keys in order, each page from a replica that has applied the
  // history up to a point of its own.
  static std::vector<Items> DrawStalePages(const Items& history,
                                           base::Random& random) {
    const std::size_t page_size = 1 + random.Below(9);
    std::vector<Items> pages;
    std::string after;
    bool is_last = false;
    while (!is_last) {
      const auto applied =
          static_cast<std::int64_t>(history.size() - random.Below(15));
      std::map<std::string, store::Event> items;
      for (const store::Event& event : history) {
        if (event.revision <= applied && event.key > after) {
          items.erase(event.key);
          if (event.value) {
            items[event.key] = event;
          }
        }
      }
      is_last = items.size() <= page_size;
      Items page;
      for (const auto& [key, item] : items) {
        if (page.size() < page_size) {
          page.push_back(item);
          after = key;
        }
      }
      pages.push_back(std::move(page));
    }
    return pages;
  }

  // Adds the other daemon to the membership; its rank decides whether it is the
  // store reader.
  void AddMembers(const std::string& other_domain) {
    blackboard::MembershipView view;
    view.self = "self";
    const std::string address =
        "127.0.0.1:" + std::to_string(listener_->port());
    view.members["self"].failure_domain = "n1";
    // Tries names until one ranks before "self".
    for (int number = 0; number < 100; ++number) {
      view.members.erase("other" + std::to_string(number - 1));
      blackboard::Member& member =
          view.members["other" + std::to_string(number)];
      member.failure_domain = other_domain;
      member.address = address;
      blackboard_.membership.Write(view);
      if (other_domain != "n1" || !source_->is_reader()) {
        return;
      }
    }
  }

  // Adds two peers of this domain that rank before this daemon, in this order.
  void AddTwoPeers(const std::string& first, const std::string& second) {
    blackboard::MembershipView view;
    view.self = "self";
    view.members["self"].failure_domain = "n1";
    for (int number = 0; number < 200; ++number) {
      blackboard::MembershipView candidate = view;
      const std::string prefix = std::to_string(number);
      candidate.members[prefix + "a"].address = first;
      candidate.members[prefix + "b"].address = second;
      candidate.members[prefix + "a"].failure_domain = "n1";
      candidate.members[prefix + "b"].failure_domain = "n1";
      const auto ranked = base::RankByRendezvous(
          "store-reader/n1", {prefix + "a", prefix + "b", "self"});
      if (ranked ==
          std::vector<std::string>{prefix + "a", prefix + "b", "self"}) {
        blackboard_.membership.Write(candidate);
        return;
      }
    }
    FAIL() << "no names rank in this order";
  }

  base::Result<store::Page> List() {
    std::optional<base::Result<store::Page>> page;
    source_->source().list("", "", [&page](base::Result<store::Page> result) {
      page = std::move(result);
    });
    RunUntil([&page] { return page.has_value(); });
    return *page;
  }

  base::Result<store::Changes> Watch(std::int64_t cursor) {
    std::optional<base::Result<store::Changes>> changes;
    source_->source().watch("", cursor, Milliseconds(5'000),
                            [&changes](base::Result<store::Changes> result) {
                              changes = std::move(result);
                            });
    RunUntil([&changes] { return changes.has_value(); });
    return *changes;
  }

  // Starts a watch that is pending at the store; `changes` is set when it ends.
  void StartStoreWatch(std::optional<base::Result<store::Changes>>& changes) {
    source_->source().watch("", 7, Milliseconds(5'000),
                            [&changes](base::Result<store::Changes> result) {
                              changes = std::move(result);
                            });
    RunUntil([this] { return store_watch_ != nullptr; });
  }

  void RunUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + kLongest;
    while (!is_done() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds(10));
      context_.restart();
    }
    ASSERT_TRUE(is_done());
  }

  boost::asio::io_context context_;
  const base::TaskRunner runner_{context_};
  blackboard::Blackboard blackboard_;
  store::EventLog log_{100};
  std::optional<Freshness> freshness_ = Freshness{{}, true};
  std::shared_ptr<UpdateServer> server_;
  std::shared_ptr<http1::CallerListener> listener_;
  store::EventSource store_;
  base::Result<store::Page> store_page_ = store::Page{{}, true, 7, 7};
  std::function<void(base::Result<store::Changes>)> store_watch_;
  std::shared_ptr<UpdateReader> source_;
  base::Duration store_wait_{};
  int asked_ = 0;
  int store_calls_ = 0;
  // The items of the last stale list.
  std::map<std::string, std::string> listed_;
  // How often the UpdateReader has reported a restore of the store.
  int restores_ = 0;
  // The descriptions that followers sent.
  std::vector<std::string> heard_;
};

TEST_F(UpdateReaderTest, SingleDaemonReadsTheStore) {
  EXPECT_TRUE(source_->is_reader());
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(store_calls_, 1);
  EXPECT_TRUE(source_->freshness()->is_direct);
}

TEST_F(UpdateReaderTest, AsksTheReaderOfItsDomain) {
  AddMembers("n1");
  Append({{"a", "1", 5}});
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().items.size(), 1U);
  EXPECT_EQ(store_calls_, 0);
  // A change answers the pending request.
  runner_.After(Milliseconds(20), [this] {
    Append({{"b", "1", 6}});
    server_->DidAppend();
  });
  const auto changes = Watch(page.value().cursor);
  ASSERT_TRUE(changes.is_ok());
  ASSERT_EQ(changes.value().events.size(), 1U);
  EXPECT_EQ(changes.value().events[0].key, "b");
}

TEST_F(UpdateReaderTest, FollowerIdentifiesItself) {
  AddMembers("n1");
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  // A daemon that lists once is not a follower yet: during an outage every
  // daemon tries every other.
  EXPECT_EQ(heard_, std::vector<std::string>{});
  (void)Watch(page.value().cursor);
  EXPECT_EQ(heard_, std::vector<std::string>{"self n1 10.0.0.1:80"});
}

TEST_F(UpdateReaderTest, StrongVmsReadForTheSmallOnes) {
  blackboard::MembershipView view;
  view.self = "self";
  for (int number = 0; number < 20; ++number) {
    blackboard::Member& member = view.members["other" + std::to_string(number)];
    member.failure_domain = "n1";
    member.processor_share = 0.12;
  }
  view.members["self"].failure_domain = "n1";
  view.members["self"].processor_share = 0.5;
  blackboard_.membership.Write(view);
  EXPECT_TRUE(source_->is_reader());
  view.members["self"].processor_share = 0.12;
  view.members["other7"].processor_share = 0.5;
  blackboard_.membership.Write(view);
  EXPECT_FALSE(source_->is_reader());
}

TEST_F(UpdateReaderTest, LongPollWithoutChangesTimesOut) {
  AddMembers("n1");
  const auto page = List();
  const auto changes = Watch(page.value().cursor);
  ASSERT_TRUE(changes.is_ok());
  EXPECT_TRUE(changes.value().events.empty());
}

// Guards against a follower that keeps waiting for updates of a peer that has
// lost the store, although the peer's data have become stale.
TEST_F(UpdateReaderTest, LongPollEndsWhenUpdatesBecomeStale) {
  AddMembers("n1");
  const auto page = List();
  freshness_ = Freshness{kMaxUpdateAge - Milliseconds(50), true};
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(Watch(page.value().cursor).is_ok());
  EXPECT_LT(std::chrono::steady_clock::now() - began, kLongPollWait / 2);
}

TEST_F(UpdateReaderTest, CursorOfAnotherProcessIsExpired) {
  AddMembers("n1");
  (void)List();
  const auto changes = Watch(3);
  ASSERT_FALSE(changes.is_ok());
  EXPECT_EQ(changes.error().code, ErrorCode::kExpired);
}

TEST_F(UpdateReaderTest, SwitchesAwayFromAReaderCutOffFromTheStore) {
  AddMembers("n1");
  const auto page = List();
  freshness_ = Freshness{Milliseconds(3'000), true};
  (void)Watch(page.value().cursor);
  const auto changes = Watch(page.value().cursor);
  ASSERT_FALSE(changes.is_ok());
  EXPECT_EQ(changes.error().code, ErrorCode::kExpired);
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(store_calls_, 1);
}

// The first list may be stale: it only has to serve until it is known which
// peer to follow.
TEST_F(UpdateReaderTest, FirstListIsStale) {
  int stale_lists = 0;
  store_.list_stale = [this, &stale_lists](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    ++stale_lists;
    done(store_page_);
  };
  MakeSource();
  ASSERT_TRUE(List().is_ok());
  EXPECT_EQ(stale_lists, 1);
  EXPECT_EQ(store_calls_, 0);
  // A stale read must not be offered to followers, nor continued by a watch.
  EXPECT_FALSE(source_->freshness().has_value());
  AddMembers("n1");
  EXPECT_EQ(Watch(7).error().code, ErrorCode::kExpired);
  EXPECT_TRUE(List().is_ok());
  // The request for the changes, which the peer cannot answer, and then for all
  // keys.
  EXPECT_EQ(asked_, 2);
  EXPECT_EQ(store_calls_, 0);
  EXPECT_TRUE(source_->freshness().has_value());
}

// At the first start of a fleet no peers are known: weak daemons wait for
// strong ones to register, so that a hundred of them do not all list the store.
TEST_F(UpdateReaderTest, WaitsForRegistrationsWhenNoPeersAreKnown) {
  int stale_lists = 0;
  store_.list_stale = [this, &stale_lists](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    ++stale_lists;
    done(store_page_);
  };
  MakeSource(Milliseconds(60));
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(List().is_ok());
  EXPECT_EQ(Watch(7).error().code, ErrorCode::kExpired);
  ASSERT_TRUE(List().is_ok());
  EXPECT_GE(std::chrono::steady_clock::now() - began,
            std::chrono::milliseconds(55));
  EXPECT_EQ(stale_lists, 2);
  EXPECT_EQ(store_calls_, 0);
  // A peer has registered meanwhile and is followed.
  AddMembers("n1");
  EXPECT_EQ(Watch(7).error().code, ErrorCode::kExpired);
  ASSERT_TRUE(List().is_ok());
  EXPECT_EQ(asked_, 2);
  EXPECT_EQ(store_calls_, 0);
}

// If the store rejects the first call, the retry does not wait for
// registrations.
TEST_F(UpdateReaderTest, FailedStaleListIsRetriedAtOnce) {
  int stale_lists = 0;
  store_.list_stale = [this, &stale_lists](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    ++stale_lists;
    done(store_page_);
  };
  MakeSource(Milliseconds(60'000));
  store_page_ = base::MakeError(ErrorCode::kUnavailable, base::Step::kReadStore,
                                "store", "");
  EXPECT_FALSE(List().is_ok());
  store_page_ = store::Page{{{"a", "1", 5}}, true, 9, 9};
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(stale_lists, 2);
}

// After a restart only the changes of some seconds are requested, not all keys.
TEST_F(UpdateReaderTest, ResumesFromTheRevisionOfTheStaleList) {
  store_page_ = store::Page{{{"a", "1", 5}, {"b", "1", 7}}, true, 9, 9};
  store_.list_stale = [this](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    done(store_page_);
  };
  MakeSource();
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  // The store's revision may be ahead of a stale page, so it is no position to
  // resume from: the removal at revision 8 would be missed.
  EXPECT_TRUE(page.value().is_stale);
  AddMembers("n1");
  log_.DidList({0, 6});
  Append({{"a", "1", 5}, {"b", "1", 7}});
  Append({{"a", std::nullopt, 8}, {"c", "1", 9}});
  const auto changes = Watch(page.value().cursor);
  ASSERT_TRUE(changes.is_ok()) << changes.error().ToString();
  EXPECT_EQ(changes.value().events,
            (std::vector<store::Event>{{"a", std::nullopt, 8}, {"c", "1", 9}}));
  EXPECT_EQ(store_calls_, 0);
  // Further changes are read by the peer's cursor.
  Append({{"d", "1", 10}});
  server_->DidAppend();
  const auto more = Watch(changes.value().cursor);
  ASSERT_TRUE(more.is_ok());
  EXPECT_EQ(more.value().events, (std::vector<store::Event>{{"d", "1", 10}}));
}

// Guards against a daemon that serves old routes after its start: the page with
// the routes came from a replica of the store that was behind, a later page
// from a current one, and the daemon asked a peer only for what changed after
// the later page.
TEST_F(UpdateReaderTest, StalePagesOfDifferentAgesMissNoChange) {
  ListStalePages({{{"op/config", "old", 5}}, {{"servers/x", "1", 9}}});
  log_.DidList({0, 3});
  Append({{"op/config", "old", 5}});
  Append({{"op/config", "new", 8}, {"servers/x", "1", 9}});
  const auto changes = Watch(0);
  ASSERT_FALSE(changes.is_ok());
  EXPECT_EQ(changes.error().code, ErrorCode::kExpired);
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().items,
            (std::vector<store::Event>{{"op/config", "new", 8},
                                       {"servers/x", "1", 9}}));
  EXPECT_EQ(store_calls_, 0);
}

// The same for a removal, which no page of a stale read can show.
TEST_F(UpdateReaderTest, StalePagesOfDifferentAgesMissNoRemoval) {
  ListStalePages({{{"servers/gone", "1", 5}}, {{"servers/x", "1", 9}}});
  log_.DidList({0, 3});
  Append({{"servers/gone", "1", 5}});
  Append({{"servers/gone", std::nullopt, 8}, {"servers/x", "1", 9}});
  const auto changes = Watch(0);
  ASSERT_FALSE(changes.is_ok());
  EXPECT_EQ(changes.error().code, ErrorCode::kExpired);
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().items,
            (std::vector<store::Event>{{"servers/x", "1", 9}}));
}

// For any ages of the pages, in any order and at any page size, a daemon knows
// what its peer knows after at most one further list.
TEST_F(UpdateReaderTest, StalePagesOfAnyAgeAndSizeMissNothing) {
  base::Random random(41);
  for (int run = 0; run < 100; ++run) {
    SCOPED_TRACE("run " + std::to_string(run));
    MakeLog();
    const std::vector<store::Event> history = DrawHistory(random);
    ListStalePages(DrawStalePages(history, random));
    for (const store::Event& event : history) {
      Append({event});
    }
    std::map<std::string, std::string> known = listed_;
    const auto changes = Watch(0);
    if (changes.is_ok()) {
      ApplyTo(known, changes.value().events);
    } else {
      known.clear();
      ApplyTo(known, List().value().items);
    }
    std::map<std::string, std::string> expected;
    ApplyTo(expected, log_.AllItems());
    EXPECT_EQ(known, expected);
  }
}

// Pages of one age are completed by the changes alone, also if the peer has not
// read the newest item yet.
TEST_F(UpdateReaderTest, StalePagesOfOneAgeNeedNoFurtherList) {
  ListStalePages({{{"op/config", "old", 5}}, {{"vms/new", "1", 12}}});
  log_.DidList({0, 3});
  Append({{"op/config", "old", 5}});
  const auto changes = Watch(0);
  ASSERT_TRUE(changes.is_ok()) << changes.error().ToString();
  EXPECT_EQ(changes.value().completes_list_since, (store::Position{0, 12}));
  EXPECT_EQ(asked_, 1);
}

// Peers of an earlier version send no digest to compare the copy with.
TEST_F(UpdateReaderTest, WithoutADigestAllKeysAreListed) {
  ListStalePages({{{"op/config", "old", 5}}, {{"servers/x", "1", 9}}},
                 [](const std::string&, const std::string&, auto done) {
                   done(StoreUpdate{{}, {0, 9}, 1, {}, true});
                 });
  EXPECT_EQ(Watch(0).error().code, ErrorCode::kExpired);
}

// Guards against changes that are never requested because a list of the store
// broke off after its first page, whose position was resumed from later.
TEST_F(UpdateReaderTest, UnfinishedListOfTheStoreIsNotResumedFrom) {
  std::vector<std::string> targets;
  // The nearer peer answers once.
  bool is_nearer_up = true;
  MakeSource(
      {}, [&](const std::string& peer, const std::string& target, auto done) {
        targets.push_back(target);
        if (peer == "nearer" && !std::exchange(is_nearer_up, false)) {
          done(base::MakeError(ErrorCode::kTimeout, base::Step::kPeerLink, peer,
                               ""));
          return;
        }
        done(StoreUpdate{{}, {0, 15}, 1, {}, true});
      });
  store_page_ = store::Page{{{"a", "1", 5}}, false, 20, 20};
  ASSERT_TRUE(List().is_ok());
  store_page_ = base::MakeError(ErrorCode::kConnectionLost,
                                base::Step::kReadStore, "store", "");
  EXPECT_FALSE(List().is_ok());
  AddTwoPeers("nearer", "farther");
  ASSERT_TRUE(List().is_ok());
  EXPECT_FALSE(Watch(1).is_ok());
  EXPECT_FALSE(Watch(1).is_ok());
  EXPECT_EQ(targets, (std::vector<std::string>{kNewsTarget, "/news?cursor=1",
                                               kFreshnessTarget}));
}

TEST_F(UpdateReaderTest, ListsFromAPeerThatLacksHistory) {
  store_page_ = store::Page{{{"a", "1", 5}}, true, 9, 9};
  store_.list_stale = [this](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    done(store_page_);
  };
  MakeSource();
  ASSERT_TRUE(List().is_ok());
  AddMembers("n1");
  log_.DidList({0, 6});
  Append({{"c", "1", 6}});
  EXPECT_EQ(Watch(5).error().code, ErrorCode::kExpired);
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().items, (std::vector<store::Event>{{"c", "1", 6}}));
  EXPECT_EQ(store_calls_, 0);
}

TEST_F(UpdateReaderTest, ReaderListsAgainAfterTheStaleList) {
  store_.list_stale = [this](
                          const std::string&, const std::string&,
                          std::function<void(base::Result<store::Page>)> done) {
    done(store_page_);
  };
  MakeSource();
  ASSERT_TRUE(List().is_ok());
  AddMembers("s1");
  EXPECT_EQ(Watch(7).error().code, ErrorCode::kExpired);
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(store_calls_, 1);
  EXPECT_TRUE(source_->freshness()->is_direct);
}

// During a store outage the store reader's data are as fresh as any, so nothing
// is listed again.
TEST_F(UpdateReaderTest, KeepsItsReaderWhileNoSourceIsFresher) {
  AddMembers("n1");
  blackboard::MembershipView view = *blackboard_.membership.Read();
  // Enough members that this daemon does not use the store itself.
  for (int number = 200; number < 240; ++number) {
    const std::string name = "more" + std::to_string(number);
    view.members[name] = view.members.begin()->second;
    view.members[name].processor_share = 9.0;
    view.members[name].address =
        "127.0.0.1:" + std::to_string(listener_->port());
  }
  blackboard_.membership.Write(view);
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  freshness_ = Freshness{Milliseconds(9'000), false};
  for (int round = 0; round < 3; ++round) {
    EXPECT_TRUE(Watch(page.value().cursor).is_ok());
  }
  EXPECT_EQ(store_calls_, 0);
}

TEST_F(UpdateReaderTest, FallsBackToTheStoreWhenTheReaderIsDown) {
  AddMembers("n1");
  listener_->StopAccepting();
  EXPECT_FALSE(List().is_ok());
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(store_calls_, 1);
}

TEST_F(UpdateReaderTest, AsksTheStoreAgainBeforeItAsksOtherDomains) {
  AddMembers("s1");
  (void)List();
  store_page_ = base::MakeError(ErrorCode::kConnectionLost,
                                base::Step::kReadStore, "store", "");
  EXPECT_FALSE(List().is_ok());
  EXPECT_FALSE(List().is_ok());
  EXPECT_EQ(asked_, 0);
  // After two failures the store reader of the other domain is used.
  EXPECT_TRUE(List().is_ok());
  EXPECT_EQ(asked_, 1);
  EXPECT_FALSE(source_->freshness()->is_direct);
}

TEST_F(UpdateReaderTest, NeverFollowsAnIndirectReader) {
  AddMembers("s1");
  (void)List();
  store_page_ = base::MakeError(ErrorCode::kConnectionLost,
                                base::Step::kReadStore, "store", "");
  (void)List();
  (void)List();
  freshness_ = Freshness{{}, false};
  const auto page = List();
  (void)Watch(page.is_ok() ? page.value().cursor : 0);
  // It is skipped from then on, and the store is used.
  const int asked = asked_;
  (void)List();
  EXPECT_EQ(asked_, asked);
}

TEST_F(UpdateReaderTest, RenewalDoesNotRefreshPeerUpdates) {
  AddMembers("n1");
  freshness_ = Freshness{Milliseconds(1'500), true};
  (void)List();
  source_->DidRenew();
  EXPECT_GE(source_->freshness()->age, Milliseconds(1'500));
}

TEST_F(UpdateReaderTest, FailedRenewalAbortsThePendingWatch) {
  (void)List();
  std::optional<base::Result<store::Changes>> changes;
  const auto watch = [this, &changes] {
    changes.reset();
    StartStoreWatch(changes);
  };
  watch();
  EXPECT_EQ(store_wait_, Milliseconds(5'000));
  const auto lost = std::exchange(store_watch_, nullptr);
  source_->DidFailToRenew(base::MakeError(ErrorCode::kTimeout,
                                          base::Step::kReadStore, "store", ""));
  ASSERT_TRUE(changes.has_value());
  EXPECT_EQ(changes->error().code, ErrorCode::kTimeout);
  EXPECT_FALSE(source_->freshness()->is_direct);
  // The next watch is short, because the store may still be silent.
  watch();
  EXPECT_LE(store_wait_, Milliseconds(200));
  // A late result of the lost watch must not end this one.
  lost(store::Changes{{}, 7});
  EXPECT_FALSE(changes.has_value());
  std::exchange(store_watch_, nullptr)(store::Changes{{}, 7});
  ASSERT_TRUE(changes.has_value());
  EXPECT_TRUE(source_->freshness()->is_direct);
}

// Guards against continuing a watch in the restored store, where its cursor
// stands for another change: whatever was written between the backup and that
// revision would be missed.
TEST_F(UpdateReaderTest, WatchAnsweredInALaterEraExpires) {
  store_page_ = store::Page{{}, true, 7, 7, 1};
  (void)List();
  std::optional<base::Result<store::Changes>> changes;
  StartStoreWatch(changes);
  std::exchange(store_watch_,
                nullptr)(store::Changes{{{"a", "1", 9, 2}}, 9, {2, 9}});
  ASSERT_TRUE(changes.has_value());
  ASSERT_FALSE(changes->is_ok());
  EXPECT_EQ(changes->error().code, ErrorCode::kExpired);
}

// Guards against a daemon that keeps waiting for its watch although another
// call has shown that the store was restored.
TEST_F(UpdateReaderTest, LaterEraInAnyAnswerAbortsThePendingWatch) {
  store_page_ = store::Page{{}, true, 7, 7, 1};
  (void)List();
  std::optional<base::Result<store::Changes>> changes;
  StartStoreWatch(changes);
  source_->DidSeeEra(1);
  EXPECT_FALSE(changes.has_value());
  EXPECT_EQ(restores_, 0);
  source_->DidSeeEra(2);
  ASSERT_TRUE(changes.has_value());
  EXPECT_EQ(changes->error().code, ErrorCode::kExpired);
  EXPECT_EQ(restores_, 1);
}

TEST_F(UpdateReaderTest, ListWithPagesOfTwoErasExpires) {
  store_page_ = store::Page{{{"a", "1", 5, 1}}, false, 7, 7, 1};
  (void)List();
  store_page_ = store::Page{{{"b", "1", 5, 2}}, true, 6, 6, 2};
  std::optional<base::Result<store::Page>> page;
  source_->source().list("", "a", [&page](base::Result<store::Page> result) {
    page = std::move(result);
  });
  RunUntil([&page] { return page.has_value(); });
  ASSERT_FALSE(page->is_ok());
  EXPECT_EQ(page->error().code, ErrorCode::kExpired);
}

// A peer's cursor counts the peer's own changes, so it stays valid across eras.
TEST_F(UpdateReaderTest, PeerForwardsALaterEra) {
  AddMembers("n1");
  Append({{"a", "1", 90, 1}});
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().era, 1);
  Append({{"a", "2", 40, 2}});
  const auto changes = Watch(page.value().cursor);
  ASSERT_TRUE(changes.is_ok()) << changes.error().ToString();
  EXPECT_EQ(changes.value().events,
            (std::vector<store::Event>{{"a", "2", 40, 2}}));
  EXPECT_EQ(restores_, 1);
}

// Guards against updates from before a restore, sent by a daemon that has not
// noticed the restore yet.
TEST_F(UpdateReaderTest, PeerInAnEarlierEraIsNotUsed) {
  AddMembers("n1");
  Append({{"a", "1", 90, 1}});
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  source_->DidSeeEra(2);
  const auto changes = Watch(page.value().cursor);
  ASSERT_FALSE(changes.is_ok());
  EXPECT_EQ(changes.error().code, ErrorCode::kExpired);
  // The store is used instead.
  store_page_ = store::Page{{{"a", "2", 40, 2}}, true, 50, 50, 2};
  const auto again = List();
  ASSERT_TRUE(again.is_ok());
  EXPECT_EQ(store_calls_, 1);
}

// Daemons of an earlier version send no era; their updates are taken as of the
// current one.
TEST_F(UpdateReaderTest, UpdatesWithoutAnEraTakeTheKnownOne) {
  AddMembers("n1");
  source_->DidSeeEra(3);
  Append({{"a", "1", 90}});
  const auto page = List();
  ASSERT_TRUE(page.is_ok());
  EXPECT_EQ(page.value().items, (std::vector<store::Event>{{"a", "1", 90, 3}}));
}

// Daemons of an earlier version request the changes since a revision.
TEST_F(UpdateReaderTest, RevisionAboveTheKnownOneIsGone) {
  log_.DidList({2, 30});
  Append({{"a", "1", 40, 2}});
  const auto status_of = [this](const std::string& target) {
    http1::Request request(boost::beast::http::verb::get, target, 11);
    std::optional<http1::Status> status;
    (void)server_->Handle(request, [&status](const http1::Response& response) {
      status = response.result();
    });
    return status;
  };
  EXPECT_EQ(status_of("/news?revision=35"), http1::Status::ok);
  EXPECT_EQ(status_of("/news?revision=90"), http1::Status::gone);
  EXPECT_EQ(status_of("/news?position=2.35"), http1::Status::ok);
  EXPECT_EQ(status_of("/news?position=1.35"), http1::Status::gone);
  EXPECT_EQ(status_of("/news?position=2"), http1::Status::not_found);
}

TEST_F(UpdateReaderTest, DaemonWithoutDataAnswersUnavailable) {
  AddMembers("n1");
  freshness_.reset();
  EXPECT_FALSE(List().is_ok());
}

}  // namespace
}  // namespace medlarspread::relay

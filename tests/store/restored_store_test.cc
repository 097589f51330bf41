// A follower, and one that follows it, over a store that is restored from
// copies at random moments, in virtual time.

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/store/event_log.h"
#include "src/store/follower.h"
#include "src/store/restore_guard.h"

namespace medlarspread::store {
namespace {

using base::ErrorCode;
using base::Milliseconds;

using Values = std::map<std::string, std::string>;

constexpr base::Duration kOneWay = Milliseconds(2);
constexpr base::Duration kPeerPoll = Milliseconds(50);
constexpr std::size_t kPageItems = 3;

// Keys, their history, and the copy that it comes back from.
class ModelStore {
 public:
  explicit ModelStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  void Write(const std::string& key, std::optional<std::string> value) {
    content_.history.push_back(
        {key, std::move(value), ++content_.revision, era_});
    for (const auto& watch : std::exchange(watches_, {})) {
      watch();
    }
  }
  void TakeCopy() { copy_ = content_; }
  void Restore() {
    content_ = copy_;
    ++era_;
    for (const auto& cut : std::exchange(cuts_, {})) {
      cut();
    }
    watches_.clear();
  }

  Values values() const {
    Values values;
    for (const Event& event : content_.history) {
      if (event.value) {
        values[event.key] = *event.value;
      } else {
        values.erase(event.key);
      }
    }
    return values;
  }

  EventSource source() {
    EventSource source;
    source.list = [this](const std::string&, const std::string& after,
                         std::function<void(base::Result<Page>)> done) {
      runner_.After(kOneWay, [this, after, done] {
        runner_.After(kOneWay, [done, page = ReadPage(after)] { done(page); });
      });
    };
    source.watch = [this](const std::string&, std::int64_t cursor,
                          base::Duration wait,
                          std::function<void(base::Result<Changes>)> done) {
      runner_.After(kOneWay, [this, cursor, wait, done] {
        StartWatch(cursor, wait, done);
      });
    };
    return source;
  }

 private:
  struct Content {
    std::vector<Event> history;
    std::int64_t revision = 0;
  };

  Page ReadPage(const std::string& after) const {
    std::map<std::string, Event> items;
    for (const Event& event : content_.history) {
      items.erase(event.key);
      if (event.value && event.key > after) {
        items[event.key] = event;
      }
    }
    Page page;
    page.revision = content_.revision;
    page.cursor = content_.revision;
    page.era = era_;
    for (const auto& [key, event] : items) {
      page.items.push_back(event);
      page.items.back().era = era_;
      if (page.items.size() == kPageItems) {
        break;
      }
    }
    page.is_last = page.items.size() == items.size();
    return page;
  }

  Changes ChangesAfter(std::int64_t cursor) const {
    Changes changes{{}, content_.revision, {era_, content_.revision}};
    for (const Event& event : content_.history) {
      if (event.revision > cursor) {
        changes.events.push_back(event);
        changes.events.back().era = era_;
      }
    }
    return changes;
  }

  void StartWatch(std::int64_t cursor,
                  base::Duration wait,
                  const std::function<void(base::Result<Changes>)>& done) {
    if (cursor > content_.revision) {
      done(base::MakeError(ErrorCode::kExpired, base::Step::kWatchStore,
                           "store", ""));
      return;
    }
    const auto open =
        std::make_shared<std::function<void(base::Result<Changes>)>>(done);
    const auto answer = [this, open, cursor] {
      if (const auto callback = std::exchange(*open, nullptr)) {
        callback(ChangesAfter(cursor));
      }
    };
    if (!ChangesAfter(cursor).events.empty()) {
      answer();
      return;
    }
    watches_.push_back(answer);
    cuts_.push_back([open] {
      if (const auto callback = std::exchange(*open, nullptr)) {
        callback(base::MakeError(ErrorCode::kConnectionLost,
                                 base::Step::kWatchStore, "store", ""));
      }
    });
    runner_.After(wait, answer);
  }

  const base::TaskRunner runner_;
  Content content_;
  Content copy_;
  std::int64_t era_ = 1;
  std::vector<std::function<void()>> watches_;
  std::vector<std::function<void()>> cuts_;
};

// A daemon's copy of the store, and the log that it passes on.
class ModelDaemon {
 public:
  ModelDaemon(std::uint64_t seed,
              base::Clock clock,
              base::TaskRunner runner,
              EventSource source)
      : runner_(std::move(runner)),
        follower_(std::make_shared<Follower>(
            FollowerSettings{},
            std::move(clock),
            std::make_shared<base::Random>(seed),
            runner_,
            std::move(source),
            [this](const Position& position) { log_.DidList(position); },
            [this](const std::vector<Event>& events) { DidChange(events); },
            [this](const Position& position) { log_.DidReach(position); },
            base::Log())) {
    follower_->Start();
  }

  // What another daemon reads that follows this one.
  EventSource source() {
    EventSource source;
    source.list = [this](const std::string&, const std::string&,
                         std::function<void(base::Result<Page>)> done) {
      runner_.After(kOneWay, [this, done] {
        const Position& position = log_.position();
        done(Page{log_.Everything(), true, position.revision, log_.cursor(),
                  position.era});
      });
    };
    source.watch = [this](const std::string&, std::int64_t cursor,
                          base::Duration,
                          std::function<void(base::Result<Changes>)> done) {
      runner_.After(kPeerPoll, [this, cursor, done] {
        const auto events = log_.ChangesAfter(cursor);
        if (!events) {
          done(base::MakeError(ErrorCode::kExpired, base::Step::kWatchStore,
                               "peer", ""));
          return;
        }
        done(Changes{*events, log_.cursor(), log_.position()});
      });
    };
    return source;
  }

  const Values& known() const { return known_; }
  bool has_gone_back() const { return has_gone_back_; }
  const EventLog& log() const { return log_; }

 private:
  void DidChange(const std::vector<Event>& events) {
    for (const Event& event : events) {
      if (event.value) {
        known_[event.key] = *event.value;
      } else {
        known_.erase(event.key);
      }
    }
    log_.Append(events);
    has_gone_back_ = has_gone_back_ || log_.position() < reached_;
    reached_ = log_.position();
  }

  const base::TaskRunner runner_;
  EventLog log_{0};
  Values known_;
  Position reached_;
  bool has_gone_back_ = false;
  std::shared_ptr<Follower> follower_;
};

class RestoredStoreTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against changes that are missed, and keys that are kept for ever, when
// the store is restored at any moment of a reading, a watch or a pause.
TEST_P(RestoredStoreTest, WhoFollowsEndsWithWhatTheStoreHolds) {
  base::Random random(GetParam());
  const auto time = std::make_shared<base::ManualTime>(1'000'000, 0);
  const auto scheduler = std::make_shared<base::ManualScheduler>(time);
  const base::TaskRunner runner(scheduler);
  ModelStore store(runner);
  ModelDaemon reader(1, base::Clock(time), runner,
                     GuardAgainstRestore(store.source()));
  ModelDaemon follower(2, base::Clock(time), runner, reader.source());
  for (int step = 0; step < 400; ++step) {
    const std::string key = "k" + std::to_string(random.Below(8));
    switch (random.Below(12)) {
      case 0:
        store.TakeCopy();
        break;
      case 1:
        store.Restore();
        break;
      case 2:
      case 3:
        store.Write(key, std::nullopt);
        break;
      default:
        // Few values, so that a key may have the same one before and after.
        store.Write(key, std::to_string(random.Below(3)));
    }
    // A burst now and then: the counter passes old cursors.
    scheduler->Advance(Milliseconds(
        random.Below(3) == 0 ? static_cast<std::int64_t>(random.Below(1'500))
                             : static_cast<std::int64_t>(random.Below(4))));
  }
  scheduler->Advance(Milliseconds(12'000));
  EXPECT_EQ(reader.known(), store.values());
  EXPECT_EQ(follower.known(), store.values());
  EXPECT_FALSE(reader.has_gone_back());
  EXPECT_FALSE(follower.has_gone_back());
  EXPECT_EQ(follower.log().position(), reader.log().position());
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RestoredStoreTest,
                         testing::Range<std::uint64_t>(1, 101));

}  // namespace
}  // namespace medlarspread::store

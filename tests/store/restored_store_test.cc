// Tests a daemon that follows the store, and one that follows that daemon,
// while the store is restored from backups at random moments, in virtual time.

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
#include "tests/support/model_store.h"

namespace medlarspread::store {
namespace {

using base::ErrorCode;
using base::Milliseconds;

using tests::ModelStore;
using Values = ModelStore::Values;

constexpr base::Duration kOneWay = Milliseconds(2);
constexpr base::Duration kPeerPoll = Milliseconds(50);

// A daemon's copy of the store, and the event log that it serves.
class ModelDaemon {
 public:
  ModelDaemon(std::uint64_t seed,
              base::Clock clock,
              base::TaskRunner runner,
              EventSource source)
      : runner_(std::move(runner)),
        follower_(std::make_shared<Follower>(
            FollowerSettings{},
            clock,
            std::make_shared<base::Random>(seed),
            runner_,
            std::move(source),
            std::make_shared<OutageDetector>(OutageDetectorSettings{},
                                             clock,
                                             base::Log()),
            [this](const Position& position) { log_.DidList(position); },
            [this](const std::vector<Event>& events, const Position& reached) {
              DidChange(events, reached);
            },
            [this](const Position& position) { log_.DidReach(position); },
            base::Log())) {
    follower_->Start();
  }

  // The event source of a daemon that follows this one.
  EventSource source() {
    EventSource source;
    source.list = [this](const std::string&, const std::string&,
                         std::function<void(base::Result<Page>)> done) {
      runner_.After(kOneWay, [this, done] {
        const Position& position = log_.position();
        done(Page{log_.AllItems(), true, position.revision, log_.cursor(),
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
  bool has_regressed() const { return has_regressed_; }
  const EventLog& log() const { return log_; }

 private:
  void DidChange(const std::vector<Event>& events, const Position& reached) {
    for (const Event& event : events) {
      if (event.value) {
        known_[event.key] = *event.value;
      } else {
        known_.erase(event.key);
      }
    }
    log_.Append(events, reached);
    has_regressed_ = has_regressed_ || log_.position() < reached_;
    reached_ = log_.position();
  }

  const base::TaskRunner runner_;
  EventLog log_{0};
  Values known_;
  Position reached_;
  bool has_regressed_ = false;
  std::shared_ptr<Follower> follower_;
};

class RestoredStoreTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against missed changes, and keys that are kept forever, when the store
// is restored at any moment of a list, a watch or a pause.
TEST_P(RestoredStoreTest, FollowersConvergeToTheStore) {
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
        // Few values, so that a key may have the same one before and after a
        // restore.
        store.Write(key, std::to_string(random.Below(3)));
    }
    // Occasional bursts let the revision pass old cursors.
    scheduler->Advance(Milliseconds(
        random.Below(3) == 0 ? static_cast<std::int64_t>(random.Below(1'500))
                             : static_cast<std::int64_t>(random.Below(4))));
  }
  scheduler->Advance(Milliseconds(12'000));
  EXPECT_EQ(reader.known(), store.values());
  EXPECT_EQ(follower.known(), store.values());
  EXPECT_FALSE(reader.has_regressed());
  EXPECT_FALSE(follower.has_regressed());
  EXPECT_EQ(follower.log().position(), reader.log().position());
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RestoredStoreTest,
                         testing::Range<std::uint64_t>(1, 101));

}  // namespace
}  // namespace medlarspread::store

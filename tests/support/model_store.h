// A model of the platform's store in virtual time: keys, their history, the
// backup that the store is restored from, and replicas that are behind. For
// tests of store clients without a network.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_MODEL_STORE_H_
#define MEDLARSPREAD_TESTS_SUPPORT_MODEL_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/store/event_source.h"

namespace medlarspread::tests {

// How calls fail during a store outage.
enum class OutageKind { kNone, kReset, kSilent };

class ModelStore {
 public:
  using Values = std::map<std::string, std::string>;

  explicit ModelStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  // From now on sources offer stale reads. Each of their pages has a random
  // number of items up to `most_items` and comes from a random replica. One in
  // two is current, the others are up to `most_behind` behind.
  void AddReplicas(base::Clock clock,
                   base::Duration most_behind,
                   std::size_t most_items,
                   std::uint64_t seed) {
    replicas_ = {std::move(clock), most_behind, most_items,
                 std::make_shared<base::Random>(seed)};
  }

  void Write(const std::string& key, std::optional<std::string> value) {
    content_.history.push_back(
        {key, std::move(value), ++content_.revision, era_});
    content_.written.push_back(replicas_ ? replicas_->clock.Now()
                                         : base::MonotonicTime{});
    for (const auto& watch : std::exchange(watches_, {})) {
      watch();
    }
  }
  void TakeCopy() { backup_ = content_; }
  // Discards what was written since the backup and begins a new era.
  void Restore() {
    content_ = backup_;
    ++era_;
    CutWatches();
  }
  void set_outage(OutageKind outage) {
    outage_ = outage;
    if (outage == OutageKind::kReset) {
      CutWatches();
    }
  }

  Values values() const {
    Values values;
    for (const store::Event& event : content_.history) {
      if (event.value) {
        values[event.key] = *event.value;
      } else {
        values.erase(event.key);
      }
    }
    return values;
  }
  // The connections that clients have open now never answer again; those that
  // they open from now on do. A client opens one after a call has failed.
  void SilenceOpenConnections() {
    for (const auto& client : clients_) {
      client->silent = client->opened;
    }
  }
  // Loses the next answers to watches that a change ends, with the connections
  // of these watches. All other calls are answered.
  void LoseWatchAnswers(int answers) { lost_watch_answers_ = answers; }
  // The number of calls, answered or not, except lease renewals.
  int calls() const { return calls_; }

  // Calls `did_see_era` with the era of each response. While `is_reachable`
  // returns false, calls get no response.
  store::EventSource source(
      std::function<void(std::int64_t)> did_see_era = [](std::int64_t) {},
      std::function<bool()> is_reachable = [] { return true; }) {
    const std::function<OutageKind()> outage = [this, is_reachable] {
      return is_reachable() ? outage_ : OutageKind::kSilent;
    };
    const auto client = std::make_shared<Client>();
    clients_.push_back(client);
    store::EventSource source;
    source.list = [this, client, did_see_era, outage](
                      const std::string&, const std::string& after,
                      std::function<void(base::Result<store::Page>)> done) {
      ++calls_;
      Answer<store::Page>(
          client, outage, did_see_era, std::move(done), [this, after] {
            return ReadPage(after, content_.history.size(), kPageItems);
          });
    };
    if (replicas_) {
      source.list_stale =
          [this, client, did_see_era, outage](
              const std::string&, const std::string& after,
              std::function<void(base::Result<store::Page>)> done) {
            ++calls_;
            Answer<store::Page>(client, outage, did_see_era, std::move(done),
                                [this, after] { return ReadReplica(after); });
          };
    }
    source.watch = [this, client, did_see_era, outage](
                       const std::string&, std::int64_t cursor,
                       base::Duration wait,
                       std::function<void(base::Result<store::Changes>)> done) {
      ++calls_;
      const WatchCallback answered = LimitWatch(client, wait, done);
      const std::function<OutageKind()> state = OutageOn(client, outage);
      runner_.After(kOneWay,
                    [this, did_see_era, state, cursor, wait, answered] {
                      ArriveWatch(cursor, wait, state, did_see_era, answered);
                    });
    };
    source.keep_lease = [this, client, did_see_era, outage](
                            std::int64_t,
                            std::function<void(base::Status)> done) {
      Answer<base::Done>(client, outage, did_see_era, std::move(done),
                         [] { return base::Done{}; });
    };
    return source;
  }

 private:
  using WatchCallback = std::function<void(base::Result<store::Changes>)>;

  // The connections of one client, numbered in the order in which they were
  // opened. Calls use the newest one.
  struct Client {
    int opened = 1;
    // Whether the newest one has answered a call.
    bool is_used = false;
    // The connections up to this number never answer.
    int silent = 0;
  };

  struct Content {
    std::vector<store::Event> history;
    // When each change was made; zero for those before AddReplicas().
    std::vector<base::MonotonicTime> written;
    std::int64_t revision = 0;
  };

  struct Replicas {
    base::Clock clock;
    base::Duration most_behind{};
    std::size_t most_items = 0;
    std::shared_ptr<base::Random> random;
  };

  static constexpr base::Duration kOneWay = base::Milliseconds(2);
  static constexpr base::Duration kListTimeout = base::Milliseconds(1'000);
  static constexpr base::Duration kMaxPromptWait = base::Milliseconds(100);
  static constexpr base::Duration kSilence = base::Milliseconds(2'000);
  static constexpr base::Duration kRetransmission = base::Milliseconds(200);
  static constexpr std::size_t kPageItems = 3;

  static base::Error Failure(base::ErrorCode code) {
    return base::MakeError(code, base::Step::kWatchStore, "store", "");
  }

  // What a call that begins now on the client's newest connection meets.
  static std::function<OutageKind()> OutageOn(
      const std::shared_ptr<Client>& client,
      const std::function<OutageKind()>& outage) {
    return [client, number = client->opened, outage] {
      return number <= client->silent ? OutageKind::kSilent : outage();
    };
  }

  // Returns the callback of a call that begins now. It tells the failure of a
  // new connection from that of one that has answered before, if the answer is
  // due at once.
  template <typename T>
  static std::function<void(base::Result<T>)> Track(
      const std::shared_ptr<Client>& client,
      bool is_due_at_once,
      std::function<void(base::Result<T>)> done) {
    const bool is_new = !client->is_used;
    return [client, number = client->opened, is_new, is_due_at_once,
            done = std::move(done)](base::Result<T> result) {
      const bool is_lost =
          !result.is_ok() && result.error().code != base::ErrorCode::kExpired;
      if (number == client->opened) {
        client->is_used = !is_lost;
        client->opened += is_lost ? 1 : 0;
      }
      done(is_lost && is_new && is_due_at_once
               ? base::Result<T>(Failure(base::ErrorCode::kUnreachable))
               : std::move(result));
    };
  }

  // The callback of a watch, which fails if no answer comes in time.
  WatchCallback LimitWatch(const std::shared_ptr<Client>& client,
                           base::Duration wait,
                           WatchCallback done) {
    const bool is_due_at_once = wait <= kMaxPromptWait;
    const auto open = std::make_shared<WatchCallback>(
        Track<store::Changes>(client, is_due_at_once, std::move(done)));
    const WatchCallback finish = [open](base::Result<store::Changes> changes) {
      if (const auto callback = std::exchange(*open, nullptr)) {
        callback(std::move(changes));
      }
    };
    runner_.After(wait + kListTimeout,
                  [finish] { finish(Failure(base::ErrorCode::kTimeout)); });
    return finish;
  }

  template <typename T>
  void Answer(const std::shared_ptr<Client>& client,
              const std::function<OutageKind()>& client_outage,
              std::function<void(std::int64_t)> did_see_era,
              std::function<void(base::Result<T>)> done,
              std::function<T()> read) {
    const auto open = std::make_shared<std::function<void(base::Result<T>)>>(
        Track<T>(client, true, std::move(done)));
    const std::function<OutageKind()> outage = OutageOn(client, client_outage);
    const auto finish = [open](base::Result<T> result) {
      if (const auto callback = std::exchange(*open, nullptr)) {
        callback(std::move(result));
      }
    };
    runner_.After(kListTimeout,
                  [finish] { finish(Failure(base::ErrorCode::kTimeout)); });
    const auto arrive = [this, outage, did_see_era, finish, open, read] {
      if (outage() == OutageKind::kSilent) {
        return false;
      }
      if (outage() == OutageKind::kReset) {
        runner_.After(kOneWay, [finish] {
          finish(Failure(base::ErrorCode::kConnectionLost));
        });
      } else if (*open) {
        runner_.After(kOneWay,
                      [did_see_era, finish, era = era_, result = read()] {
                        did_see_era(era);
                        finish(result);
                      });
      }
      return true;
    };
    runner_.After(kOneWay, [this, arrive] {
      if (!arrive() && outage_ == OutageKind::kNone) {
        Retransmit(arrive, kRetransmission);
      }
    });
  }

  void CutWatches() {
    for (const auto& cut : std::exchange(cuts_, {})) {
      cut();
    }
    watches_.clear();
  }

  store::Page ReadReplica(const std::string& after) {
    const bool is_current = replicas_->random->Below(2) == 0;
    const auto behind = base::Duration(
        is_current
            ? 0
            : static_cast<std::int64_t>(replicas_->random->Below(
                  static_cast<std::uint64_t>(replicas_->most_behind.count()))));
    const base::MonotonicTime read_until = replicas_->clock.Now() - behind;
    const auto first_unread = std::upper_bound(
        content_.written.begin(), content_.written.end(), read_until);
    return ReadPage(
        after,
        static_cast<std::size_t>(first_unread - content_.written.begin()),
        1 + replicas_->random->Below(replicas_->most_items));
  }

  // Reads the items as they were after the first `changes` changes.
  store::Page ReadPage(const std::string& after,
                       std::size_t changes,
                       std::size_t most_items) const {
    std::map<std::string, store::Event> items;
    for (std::size_t index = 0; index < changes; ++index) {
      const store::Event& event = content_.history[index];
      items.erase(event.key);
      if (event.value && event.key > after) {
        items[event.key] = event;
      }
    }
    store::Page page;
    page.revision = content_.revision;
    page.cursor = content_.revision;
    page.era = era_;
    for (const auto& [key, event] : items) {
      page.items.push_back(event);
      page.items.back().era = era_;
      if (page.items.size() == most_items) {
        break;
      }
    }
    page.is_last = page.items.size() == items.size();
    return page;
  }

  store::Changes ChangesAfter(std::int64_t cursor) const {
    store::Changes changes{{}, content_.revision, {era_, content_.revision}};
    for (const store::Event& event : content_.history) {
      if (event.revision > cursor) {
        changes.events.push_back(event);
        changes.events.back().era = era_;
      }
    }
    return changes;
  }

  void ArriveWatch(std::int64_t cursor,
                   base::Duration wait,
                   const std::function<OutageKind()>& outage,
                   const std::function<void(std::int64_t)>& did_see_era,
                   const WatchCallback& done) {
    const bool is_cut_off =
        outage() == OutageKind::kSilent && outage_ == OutageKind::kNone;
    if (!is_cut_off) {
      StartWatch(cursor, wait, outage, did_see_era, done);
      return;
    }
    const auto has_failed = std::make_shared<bool>(false);
    runner_.After(kSilence, [done, has_failed] {
      if (!std::exchange(*has_failed, true)) {
        done(Failure(base::ErrorCode::kTimeout));
      }
    });
    Retransmit(
        [this, cursor, wait, outage, did_see_era, done, has_failed] {
          if (outage() == OutageKind::kSilent) {
            return false;
          }
          if (!std::exchange(*has_failed, true)) {
            StartWatch(cursor, wait, outage, did_see_era, done);
          }
          return true;
        },
        kRetransmission);
  }

  void StartWatch(std::int64_t cursor,
                  base::Duration wait,
                  const std::function<OutageKind()>& outage,
                  const std::function<void(std::int64_t)>& did_see_era,
                  const WatchCallback& done) {
    if (outage() != OutageKind::kNone) {
      const bool is_silent = outage() == OutageKind::kSilent;
      runner_.After(is_silent ? kSilence : kOneWay, [done, is_silent] {
        done(Failure(is_silent ? base::ErrorCode::kTimeout
                               : base::ErrorCode::kConnectionLost));
      });
      return;
    }
    if (cursor > content_.revision) {
      did_see_era(era_);
      done(Failure(base::ErrorCode::kExpired));
      return;
    }
    const auto open = std::make_shared<WatchCallback>(done);
    const auto answer = [this, open, cursor, outage, did_see_era] {
      const bool is_lost = outage() != OutageKind::kNone;
      const bool has_changes = !ChangesAfter(cursor).events.empty();
      if (!is_lost && has_changes && lost_watch_answers_ > 0 && *open) {
        --lost_watch_answers_;
        *open = nullptr;
        return true;
      }
      if (const auto callback =
              is_lost ? nullptr : std::exchange(*open, nullptr)) {
        did_see_era(era_);
        callback(ChangesAfter(cursor));
      }
      return !is_lost;
    };
    if (!ChangesAfter(cursor).events.empty()) {
      answer();
      return;
    }
    watches_.push_back([this, answer] {
      // What a client's lost connection holds up arrives once it is back.
      if (!answer() && outage_ == OutageKind::kNone) {
        Retransmit(answer, kRetransmission);
      }
    });
    cuts_.push_back([open] {
      if (const auto callback = std::exchange(*open, nullptr)) {
        callback(Failure(base::ErrorCode::kConnectionLost));
      }
    });
    runner_.After(wait, answer);
  }

  // Repeats the answer at doubling intervals, like TCP, until it arrives.
  void Retransmit(const std::function<bool()>& answer, base::Duration delay) {
    runner_.After(delay, [this, answer, delay] {
      if (!answer() && outage_ == OutageKind::kNone && delay < kSilence) {
        Retransmit(answer, delay * 2);
      }
    });
  }

  const base::TaskRunner runner_;
  Content content_;
  Content backup_;
  std::optional<Replicas> replicas_;
  std::int64_t era_ = 1;
  OutageKind outage_ = OutageKind::kNone;
  int calls_ = 0;
  int lost_watch_answers_ = 0;
  std::vector<std::shared_ptr<Client>> clients_;
  std::vector<std::function<void()>> watches_;
  std::vector<std::function<void()>> cuts_;
};

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_MODEL_STORE_H_

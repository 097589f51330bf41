// The era of the reading that is under way, shared by the guarded calls.

#include "src/store/restore_guard.h"

#include <memory>
#include <string>
#include <utility>

namespace medlarspread::store {

namespace {

using base::ErrorCode;
using base::Result;
using base::Step;

using ListCallback = std::function<void(Result<Page>)>;
using List = std::function<void(std::string, std::string, ListCallback)>;
using WatchCallback = std::function<void(Result<Changes>)>;

struct Reading {
  std::int64_t era = 0;
};

base::Error Restored(std::int64_t era, const Reading& reading) {
  return base::MakeError(ErrorCode::kExpired, Step::kWatchStore, "",
                         "the store was restored: era " + std::to_string(era) +
                             ", the reading began in era " +
                             std::to_string(reading.era));
}

// An era of zero is not known, and so not another one.
bool IsOtherEra(std::int64_t era, const Reading& reading) {
  return era != 0 && era != reading.era;
}

void SetEra(std::vector<Event>& events, std::int64_t era) {
  for (Event& event : events) {
    event.era = era;
  }
}

List GuardList(List list, const std::shared_ptr<Reading>& reading) {
  if (!list) {
    return list;
  }
  return [list = std::move(list), reading](
             std::string prefix, std::string after, ListCallback done) {
    const bool is_first = after.empty();
    list(std::move(prefix), std::move(after),
         [reading, is_first, done = std::move(done)](Result<Page> page) {
           if (!page.is_ok()) {
             done(std::move(page));
             return;
           }
           const std::int64_t era = page.value().era;
           if (IsOtherEra(era, *reading) && !is_first) {
             done(Restored(era, *reading));
             return;
           }
           reading->era = era == 0 ? reading->era : era;
           page.value().era = reading->era;
           SetEra(page.value().items, reading->era);
           done(std::move(page));
         });
  };
}

}  // namespace

EventSource GuardAgainstRestore(EventSource store) {
  const auto reading = std::make_shared<Reading>();
  store.list = GuardList(std::move(store.list), reading);
  store.list_stale = GuardList(std::move(store.list_stale), reading);
  store.watch = [watch = std::move(store.watch), reading](
                    std::string prefix, std::int64_t cursor,
                    base::Duration wait, WatchCallback done) {
    watch(std::move(prefix), cursor, wait,
          [reading, done = std::move(done)](Result<Changes> changes) {
            if (!changes.is_ok()) {
              done(std::move(changes));
              return;
            }
            Position& position = changes.value().position;
            if (IsOtherEra(position.era, *reading)) {
              done(Restored(position.era, *reading));
              return;
            }
            position.era = reading->era;
            SetEra(changes.value().events, reading->era);
            done(std::move(changes));
          });
  };
  return store;
}

}  // namespace medlarspread::store

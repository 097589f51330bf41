// Tracks the era of the current list, shared by the guarded calls.

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

struct ListEra {
  std::int64_t era = 0;
};

base::Error MakeRestoredError(std::int64_t era, const ListEra& list_era) {
  return base::MakeError(ErrorCode::kExpired, Step::kWatchStore, "",
                         "the store was restored: era " + std::to_string(era) +
                             ", the list began in era " +
                             std::to_string(list_era.era));
}

// An era of zero is unknown, so it counts as the same.
bool IsOtherEra(std::int64_t era, const ListEra& list_era) {
  return era != 0 && era != list_era.era;
}

void SetEra(std::vector<Event>& events, std::int64_t era) {
  for (Event& event : events) {
    event.era = era;
  }
}

List GuardList(List list, const std::shared_ptr<ListEra>& list_era) {
  if (!list) {
    return list;
  }
  return [list = std::move(list), list_era](
             std::string prefix, std::string after, ListCallback done) {
    const bool is_first = after.empty();
    list(std::move(prefix), std::move(after),
         [list_era, is_first, done = std::move(done)](Result<Page> page) {
           if (!page.is_ok()) {
             done(std::move(page));
             return;
           }
           const std::int64_t era = page.value().era;
           if (IsOtherEra(era, *list_era) && !is_first) {
             done(MakeRestoredError(era, *list_era));
             return;
           }
           list_era->era = era == 0 ? list_era->era : era;
           page.value().era = list_era->era;
           SetEra(page.value().items, list_era->era);
           done(std::move(page));
         });
  };
}

}  // namespace

EventSource GuardAgainstRestore(EventSource store) {
  const auto list_era = std::make_shared<ListEra>();
  store.list = GuardList(std::move(store.list), list_era);
  store.list_stale = GuardList(std::move(store.list_stale), list_era);
  store.watch = [watch = std::move(store.watch), list_era](
                    std::string prefix, std::int64_t cursor,
                    base::Duration wait, WatchCallback done) {
    watch(std::move(prefix), cursor, wait,
          [list_era, done = std::move(done)](Result<Changes> changes) {
            if (!changes.is_ok()) {
              done(std::move(changes));
              return;
            }
            Position& position = changes.value().position;
            if (IsOtherEra(position.era, *list_era)) {
              done(MakeRestoredError(position.era, *list_era));
              return;
            }
            position.era = list_era->era;
            SetEra(changes.value().events, list_era->era);
            done(std::move(changes));
          });
  };
  return store;
}

}  // namespace medlarspread::store

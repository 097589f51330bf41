// The lists of a report, read one after another.

#include "src/burn/segment_reader.h"

#include <memory>
#include <utility>

#include "src/burn/keys.h"
#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

class Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(const platform::Store& store,
         base::Duration timeout,
         ReadCountsCallback callback)
      : store_(store), timeout_(timeout), callback_(std::move(callback)) {}

  void Next() {
    if (prefixes_.empty()) {
      callback_(std::move(counts_));
      return;
    }
    const std::string prefix = prefixes_.front();
    prefixes_.erase(prefixes_.begin());
    store_.list(prefix, timeout_,
                [self = shared_from_this()](
                    const base::Result<std::vector<platform::Entry>>& result) {
                  if (!result.is_ok()) {
                    self->callback_(result.error());
                    return;
                  }
                  self->Add(result.value());
                  self->Next();
                });
  }

 private:
  void Add(const std::vector<platform::Entry>& entries) {
    std::vector<platform::Entry> rest;
    for (const platform::Entry& entry : entries) {
      const auto gone = ParseGoneKey(entry.key);
      if (!gone) {
        rest.push_back(entry);
        continue;
      }
      const auto wall_ms = ParseMark(entry.value);
      if (wall_ms) {
        counts_.gone_wall_ms[gone->of] = *wall_ms;
      } else {
        counts_.damaged.push_back(entry.key);
      }
    }
    for (StoredSegment& stored : DecodeEntries(rest, counts_.damaged)) {
      counts_.segments[stored.key] = std::move(stored.segment);
    }
  }

  const platform::Store store_;
  const base::Duration timeout_;
  const ReadCountsCallback callback_;
  std::vector<std::string> prefixes_{kRawPrefix, kHourPrefix, kDayPrefix,
                                     kGonePrefix};
  StoredCounts counts_;
};

}  // namespace

void ReadCounts(const platform::Store& store,
                const BurnSettings& settings,
                ReadCountsCallback callback) {
  std::make_shared<Reader>(store, settings.store_timeout, std::move(callback))
      ->Next();
}

}  // namespace medlarspread::burn

// Reads the lists for a report one after another.

#include "src/burn/segment_reader.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "src/burn/keys.h"
#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

// Batch size; takes about 10 ms for segments of ten minutes and eight classes.
constexpr std::size_t kBatchSize = 50;

class Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(const store::Store& store,
         base::Duration timeout,
         const base::TaskRunner& control,
         ReadCountsCallback callback)
      : store_(store),
        timeout_(timeout),
        control_(control),
        callback_(std::move(callback)) {}

  void Next() {
    if (prefixes_.empty()) {
      callback_(std::move(counts_));
      return;
    }
    const std::string prefix = prefixes_.front();
    prefixes_.erase(prefixes_.begin());
    store_.list(prefix, timeout_,
                [self = shared_from_this()](
                    const base::Result<std::vector<store::Entry>>& result) {
                  if (!result.is_ok()) {
                    self->callback_(result.error());
                    return;
                  }
                  self->entries_ = result.value();
                  self->AddBatch(0);
                });
  }

 private:
  // Decodes a batch of entries starting at `first`, and posts a task for the
  // rest.
  void AddBatch(std::size_t first) {
    const std::size_t end = std::min(entries_.size(), first + kBatchSize);
    const auto begin = entries_.begin();
    Add({begin + static_cast<std::ptrdiff_t>(first),
         begin + static_cast<std::ptrdiff_t>(end)});
    if (end == entries_.size()) {
      entries_.clear();
      Next();
      return;
    }
    control_.Post([self = shared_from_this(), end] { self->AddBatch(end); });
  }

  void Add(const std::vector<store::Entry>& entries) {
    std::vector<store::Entry> segments;
    for (const store::Entry& entry : entries) {
      const auto gone = ParseGoneKey(entry.key);
      if (!gone) {
        segments.push_back(entry);
        continue;
      }
      const auto wall_ms = ParseMark(entry.value);
      if (wall_ms) {
        counts_.gone_wall_ms[gone->of] = *wall_ms;
      } else {
        counts_.damaged.push_back(entry.key);
      }
    }
    for (StoredSegment& stored : DecodeEntries(segments, counts_.damaged)) {
      counts_.segments[stored.key] = std::move(stored.segment);
    }
  }

  const store::Store store_;
  const base::Duration timeout_;
  const base::TaskRunner control_;
  const ReadCountsCallback callback_;
  std::vector<std::string> prefixes_{kRawPrefix, kHourPrefix, kDayPrefix,
                                     kGonePrefix};
  std::vector<store::Entry> entries_;
  StoredCounts counts_;
};

}  // namespace

void ReadCounts(const store::Store& store,
                const BurnSettings& settings,
                const base::TaskRunner& control,
                ReadCountsCallback callback) {
  std::make_shared<Reader>(store, settings.store_timeout, control,
                           std::move(callback))
      ->Next();
}

}  // namespace medlarspread::burn

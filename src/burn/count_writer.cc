// Steps of a flush:
// 1. If the outcome of an earlier write is unknown, read its key back. If the
//    key no longer exists, look it up in the roll-up of its hour.
// 2. Otherwise write the next due bucket by compare-and-swap.
// 3. After a conflict or a lost reply the key is in doubt: go back to step 1.
// 4. Any other store failure ends the flush; the next flush retries.

#include "src/burn/count_writer.h"

#include <utility>

namespace medlarspread::burn {

namespace {

bool IsOutcomeInDoubt(const base::Error& error) {
  return error.code == base::ErrorCode::kConflict ||
         error.code == base::ErrorCode::kUnknownOutcome;
}

// Returns the sequence number with which `key` is listed as a source of one of
// `roll_ups`, if it is.
std::optional<std::int64_t> FindSource(
    const std::vector<store::Entry>& roll_ups,
    const std::string& key) {
  for (const store::Entry& entry : roll_ups) {
    const auto segment = DecodeSegment(entry.value);
    if (!segment.is_ok()) {
      continue;
    }
    for (const Source& source : segment.value().sources) {
      if (source.id == key) {
        return source.sequence;
      }
    }
  }
  return std::nullopt;
}

}  // namespace

CountWriter::CountWriter(BurnSettings settings,
                         store::Store store,
                         OwnCounts& counts,
                         base::Log log)
    : settings_(std::move(settings)),
      store_(std::move(store)),
      counts_(counts),
      log_(std::move(log)) {}

void CountWriter::Flush(bool is_stopping, std::function<void()> done) {
  done_ = std::move(done);
  is_stopping_ = is_stopping;
  // When stopping, each bucket may be written twice: open, then closed.
  writes_left_ =
      is_stopping ? 2 * settings_.maximum_buckets : settings_.writes_per_flush;
  Step();
}

void CountWriter::Finish() {
  std::exchange(done_, nullptr)();
}

void CountWriter::Step() {
  if (auto key = counts_.NextKeyInDoubt()) {
    ReadBack(*key);
    return;
  }
  if (writes_left_ == 0) {
    Finish();
    return;
  }
  auto write = counts_.NextWrite(is_stopping_);
  if (!write) {
    Finish();
    return;
  }
  --writes_left_;
  Write(std::move(*write));
}

void CountWriter::Write(PendingWrite write) {
  store_.compare_and_swap(write.key, EncodeSegment(write.segment),
                          write.expected_version, settings_.store_timeout,
                          [self = shared_from_this(), key = write.key](
                              const base::Result<std::int64_t>& result) {
                            self->DidSwap(key, result);
                          });
}

void CountWriter::DidSwap(const std::string& key,
                          const base::Result<std::int64_t>& result) {
  if (result.is_ok()) {
    counts_.DidWrite(key, result.value());
    Step();
    return;
  }
  if (IsOutcomeInDoubt(result.error())) {
    counts_.MarkInDoubt(key);
    Step();
    return;
  }
  log_.DidFail(result.error(),
               "could not write burn counts; the next flush will retry");
  counts_.DidNotWrite(key);
  Finish();
}

void CountWriter::ReadBack(const std::string& key) {
  store_.read(key, settings_.store_timeout,
              [self = shared_from_this(),
               key](const base::Result<std::optional<store::Entry>>& result) {
                self->DidRead(key, result);
              });
}

void CountWriter::DidRead(
    const std::string& key,
    const base::Result<std::optional<store::Entry>>& result) {
  if (!result.is_ok()) {
    log_.DidFail(result.error(),
                 "could not read burn counts back; the next flush will retry");
    Finish();
    return;
  }
  if (!result.value()) {
    FindInRollUp(key);
    return;
  }
  const store::Entry& entry = *result.value();
  const auto segment = DecodeSegment(entry.value);
  if (!segment.is_ok()) {
    log_.DidFail(segment.error(), "cannot decode the burn counts at " + key);
    Finish();
    return;
  }
  counts_.DidReadBack(key, segment.value(), entry.version);
  Step();
}

void CountWriter::FindInRollUp(const std::string& key) {
  const auto raw = ParseRawKey(key);
  const std::string prefix = kHourPrefix + std::to_string(raw->hour()) + "/" +
                             raw->failure_domain + "/";
  store_.list(prefix, settings_.store_timeout,
              [self = shared_from_this(),
               key](const base::Result<std::vector<store::Entry>>& result) {
                self->DidList(key, result);
              });
}

void CountWriter::DidList(
    const std::string& key,
    const base::Result<std::vector<store::Entry>>& result) {
  if (!result.is_ok()) {
    log_.DidFail(result.error(),
                 "could not read the burn roll-up; the next flush will retry");
    Finish();
    return;
  }
  counts_.DidReadAbsent(key, FindSource(result.value(), key));
  Step();
}

}  // namespace medlarspread::burn

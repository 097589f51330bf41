// Implements the store calls of the steps.

#include "src/burn/store_steps.h"

#include <utility>

namespace medlarspread::burn {

StoreSteps::StoreSteps(store::Store store,
                       base::Duration timeout,
                       base::Log log)
    : store_(std::move(store)), timeout_(timeout), log_(std::move(log)) {}

void StoreSteps::Push(std::function<void()> step) {
  steps_.push_back(std::move(step));
}

void StoreSteps::Next() {
  if (steps_.empty()) {
    std::exchange(done_, nullptr)();
    return;
  }
  const auto step = std::move(steps_.front());
  steps_.pop_front();
  step();
}

void StoreSteps::Run(std::function<void()> done) {
  done_ = std::move(done);
  Next();
}

// A conflict is handled like a failure: another VM has done the work, or the
// writer is still running. The next pass reads the current state.
void StoreSteps::DidFail(const base::Error& error) {
  log_.DidFail(error, "burn roll-up step failed; the next pass will retry");
  Next();
}

void StoreSteps::List(
    const std::string& prefix,
    std::function<void(const std::vector<store::Entry>&)> then) {
  TryList(prefix, [self = shared_from_this(), then = std::move(then)](
                      const base::Result<std::vector<store::Entry>>& result) {
    if (result.is_ok()) {
      then(result.value());
      return;
    }
    self->DidFail(result.error());
  });
}

void StoreSteps::TryList(const std::string& prefix,
                         store::Store::ListCallback then) {
  store_.list(prefix, timeout_,
              [self = shared_from_this(), then = std::move(then)](
                  const base::Result<std::vector<store::Entry>>& result) {
                then(result);
              });
}

void StoreSteps::Read(const std::string& key,
                      std::function<void(StoredSegment)> then) {
  store_.read(key, timeout_,
              [self = shared_from_this(), key, then = std::move(then)](
                  const base::Result<std::optional<store::Entry>>& result) {
                if (!result.is_ok()) {
                  self->DidFail(result.error());
                  return;
                }
                StoredSegment stored{key, store::kAbsent, {}};
                if (result.value()) {
                  auto segments = self->Decode({*result.value()});
                  if (segments.empty()) {
                    self->Next();
                    return;
                  }
                  stored = std::move(segments.front());
                }
                then(std::move(stored));
              });
}

void StoreSteps::Swap(const StoredSegment& stored,
                      std::function<void(std::int64_t)> then) {
  store_.compare_and_swap(
      stored.key, EncodeSegment(stored.segment), stored.version, timeout_,
      [self = shared_from_this(),
       then = std::move(then)](const base::Result<std::int64_t>& result) {
        if (result.is_ok()) {
          then(result.value());
          return;
        }
        self->DidFail(result.error());
      });
}

void StoreSteps::Erase(const std::string& key, std::int64_t version) {
  store_.erase(key, version, timeout_,
               [self = shared_from_this()](const base::Status& status) {
                 if (!status.is_ok()) {
                   self->DidFail(status.error());
                   return;
                 }
                 self->Next();
               });
}

std::vector<StoredSegment> StoreSteps::Decode(
    const std::vector<store::Entry>& entries) const {
  std::vector<std::string> damaged;
  std::vector<StoredSegment> segments = DecodeEntries(entries, damaged);
  for (const std::string& key : damaged) {
    log_.Write({.level = base::LogLevel::kError,
                .step = base::Step::kReport,
                .message = "cannot decode the burn counts at " + key});
  }
  return segments;
}

}  // namespace medlarspread::burn

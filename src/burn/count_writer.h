// Writes this VM's counts to the store. Each flush writes the current bucket
// and the oldest buckets that are due, one call at a time.

#ifndef MEDLARSPREAD_BURN_COUNT_WRITER_H_
#define MEDLARSPREAD_BURN_COUNT_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/log.h"
#include "src/burn/burn_settings.h"
#include "src/burn/own_counts.h"
#include "src/store/store.h"

namespace medlarspread::burn {

// Runs on the control sequence. Must be owned by a std::shared_ptr.
class CountWriter : public std::enable_shared_from_this<CountWriter> {
 public:
  CountWriter(BurnSettings settings,
              store::Store store,
              OwnCounts& counts,
              base::Log log);

  // Runs `done` when nothing more is due, the write limit is reached, or a
  // store call has failed. Must not be called while a flush is in progress.
  void Flush(bool is_stopping, std::function<void()> done);

  bool is_flushing() const { return done_ != nullptr; }

 private:
  void Step();
  void Finish();
  void Write(PendingWrite write);
  void DidSwap(const std::string& key,
               const base::Result<std::int64_t>& result);
  void ReadBack(const std::string& key);
  void DidRead(const std::string& key,
               const base::Result<std::optional<store::Entry>>& result);
  void FindInRollUp(const std::string& key);
  void DidList(const std::string& key,
               const base::Result<std::vector<store::Entry>>& result);

  const BurnSettings settings_;
  const store::Store store_;
  OwnCounts& counts_;
  const base::Log log_;
  // Set while a flush is in progress.
  std::function<void()> done_;
  bool is_stopping_ = false;
  int writes_left_ = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_COUNT_WRITER_H_

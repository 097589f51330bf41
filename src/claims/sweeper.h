// Erases the keys of claims whose identifiers are too old for every daemon.
// Each slice of time is swept by one daemon, selected by rendezvous hashing,
// and again by another selection after a second retention period, which erases
// what a failed daemon or a delayed write has left behind. A missed erase costs
// space in the store, but cannot lead to a second grant.

#ifndef MEDLARSPREAD_CLAIMS_SWEEPER_H_
#define MEDLARSPREAD_CLAIMS_SWEEPER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "src/base/result.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_context.h"
#include "src/claims/claim_store.h"
#include "src/store/store.h"

namespace medlarspread::claims {

class Sweeper : public std::enable_shared_from_this<Sweeper> {
 public:
  // `blackboard` must outlive the sweeper.
  Sweeper(std::shared_ptr<ClaimContext> context,
          std::shared_ptr<ClaimStore> store,
          const blackboard::Blackboard& blackboard);

  void Start();
  void Stop() { is_stopped_ = true; }

 private:
  void Tick();
  // Adds the slices that are old enough by now and assigned to this daemon.
  void CollectDue();
  bool IsAssignedToThisDaemon(std::int64_t slice, const char* pass) const;
  void SweepNext();
  void DidList(std::int64_t slice,
               const base::Result<std::vector<store::Entry>>& result);

  const std::shared_ptr<ClaimContext> context_;
  const std::shared_ptr<ClaimStore> store_;
  const blackboard::Blackboard& blackboard_;
  bool is_stopped_ = false;
  // The first slice that is not yet old enough.
  std::int64_t next_slice_ = 0;
  // Slices to be swept by this daemon; bounded in number.
  std::deque<std::int64_t> due_;
  bool is_sweeping_ = false;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_SWEEPER_H_

// Watches the membership and writes a mark to the store when a member is gone.
// The mark limits the time for which the member may have run without writing
// its counts.

#ifndef MEDLARSPREAD_BURN_LOST_MEMBER_MONITOR_H_
#define MEDLARSPREAD_BURN_LOST_MEMBER_MONITOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/burn_settings.h"
#include "src/burn/keys.h"
#include "src/store/store.h"

namespace medlarspread::burn {

// Runs on the control sequence. Must be owned by a std::shared_ptr.
class LostMemberMonitor
    : public std::enable_shared_from_this<LostMemberMonitor> {
 public:
  LostMemberMonitor(BurnSettings settings,
                    base::Clock clock,
                    store::Store store,
                    const blackboard::Blackboard& board,
                    base::Log log);

  // Compares the members with those of the last call. One VM, chosen from the
  // member list by rendezvous hashing, writes the mark. Marks that the store
  // did not accept are kept and retried by the next call of WriteMarks().
  void CheckMembers();
  void WriteMarks();

  std::size_t unwritten_count() const { return unwritten_.size(); }

 private:
  void Write(const std::string& key, std::int64_t expected_version);
  void DidWriteMark(const std::string& key,
                    const base::Result<std::int64_t>& result);
  void ReadOldMark(const std::string& key);

  const BurnSettings settings_;
  const base::Clock clock_;
  const store::Store store_;
  const blackboard::Blackboard& board_;
  const base::Log log_;
  std::shared_ptr<const blackboard::MembershipView> last_view_;
  // Marks that are not in the store yet: values by key.
  std::map<std::string, std::string> unwritten_;
  bool is_writing_ = false;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_LOST_MEMBER_MONITOR_H_

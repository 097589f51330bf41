// The records of all daemons that this daemon knows, itself included. Decides
// what a received record changes; sends nothing itself.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/membership/record.h"

namespace medlarspread::membership {

enum class MergeResult {
  // The record contains nothing new.
  kUnchanged,
  // A newer record of this VM is known; the sender should be told.
  kOutdated,
  // Only the revision of the active targets is higher.
  kRevisionChanged,
  // The VM has refuted a suspicion or a report that it is gone: it was alive a
  // moment ago.
  kRefuted,
  // The VM is new, has left, has come back or has another incarnation.
  kStateChanged,
  // The record calls this daemon suspected or gone. This daemon's own record
  // now refutes that.
  kSelfRefuted,
  // A newer process runs under this daemon's name.
  kSelfReplaced,
};

class MemberTable {
 public:
  explicit MemberTable(Record self);

  const Record& self() const { return entries_.at(self_name_).record; }
  void SetSelfState(RecordState state);
  void SetSelfTargets(std::int64_t revision, std::int64_t digest);
  // Makes this daemon's record newer than any that others may have of it.
  void RenewSelf();

  // Merges a record received from another daemon. `now` is the time of the
  // change.
  MergeResult Merge(const Record& record, base::MonotonicTime now);

  // Null if the VM is not known.
  const Record* Find(const std::string& name) const;
  bool IsPresentMember(const std::string& name) const;

  // Sorted names of the live and leaving daemons of one domain, without this
  // one.
  std::vector<std::string> PresentIn(const std::string& domain) const;
  // Names of the daemons of one domain that are gone and not yet forgotten.
  std::vector<std::string> GoneIn(const std::string& domain) const;
  // All domains with a present daemon, this daemon's included.
  std::vector<std::string> Domains() const;
  // The `count` daemons that exchange updates with other domains on behalf of
  // `domain`, chosen from its live daemons by rendezvous hashing. Highest rank
  // first.
  std::vector<std::string> DelegatesOf(const std::string& domain,
                                       std::size_t count) const;

  std::vector<Record> AllRecords() const;
  std::vector<Record> RecordsOf(const std::string& domain) const;
  // Digest over name, incarnation and state of the present daemons of a domain,
  // and optionally over each one's targets revision, which only the daemons of
  // that domain itself know.
  enum class DigestScope { kMembers, kMembersAndRevisions };
  std::int64_t DigestOf(const std::string& domain, DigestScope scope) const;
  // The lowest targets revision active on the live daemons of a domain; 0 if
  // there are none.
  std::int64_t LowestRevisionOf(const std::string& domain) const;

  // Forgets daemons that have been gone since before `limit`.
  void ForgetGoneBefore(base::MonotonicTime limit);

  // Visits the records in the order of names.
  template <typename Visitor>
  void ForEach(const Visitor& visitor) const {
    for (const auto& [name, entry] : entries_) {
      visitor(entry.record);
    }
  }

 private:
  struct Entry {
    Record record;
    base::MonotonicTime changed_at;
  };

  MergeResult MergeSelf(const Record& record);
  MergeResult Insert(const Record& record, base::MonotonicTime now);
  MergeResult Replace(Entry& entry,
                      const Record& record,
                      base::MonotonicTime now);

  const std::string self_name_;
  // Always contains this daemon's own record.
  std::map<std::string, Entry> entries_;
  // The names in entries_ by failure domain.
  std::map<std::string, std::set<std::string>> names_by_domain_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_

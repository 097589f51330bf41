// The records that this daemon has of all daemons, its own included. Decides
// what a record heard from others changes; sends nothing itself.

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
  // The record says nothing new.
  kUnchanged,
  // A newer record of this VM is known; whoever sent this one should hear it.
  kOutdated,
  // Only the revision of the targets in force has risen.
  kRevisionChanged,
  // The VM has contradicted a doubt about it: it was alive a moment ago.
  kConfirmed,
  // The VM is new, has left, has come back or has another incarnation.
  kStateChanged,
  // The record doubts that this daemon is there. Its own record now contradicts
  // that.
  kSelfContradicted,
  // Another process runs under this daemon's name and is the newer one.
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

  // Takes in what another daemon says. `now` dates a change.
  MergeResult Merge(const Record& record, base::MonotonicTime now);

  // Null if the VM is not known.
  const Record* Find(const std::string& name) const;
  bool IsPresentMember(const std::string& name) const;

  // Names of live and leaving daemons of one domain in their order, this one
  // left out.
  std::vector<std::string> PresentIn(const std::string& domain) const;
  // Names of daemons of one domain that are gone and not yet forgotten.
  std::vector<std::string> GoneIn(const std::string& domain) const;
  // All domains with a present daemon, this one's included.
  std::vector<std::string> Domains() const;
  // The `count` daemons that exchange news with other domains for `domain`, by
  // rendezvous hashing over those that are live. Best first.
  std::vector<std::string> DelegatesOf(const std::string& domain,
                                       std::size_t count) const;

  std::vector<Record> AllRecords() const;
  std::vector<Record> RecordsOf(const std::string& domain) const;
  // Over name, incarnation and state of the present daemons of a domain, and
  // over the revision of targets of each if wanted: only the daemons of a
  // domain itself know these.
  enum class DigestScope { kMembers, kMembersAndRevisions };
  std::int64_t DigestOf(const std::string& domain, DigestScope scope) const;
  // The lowest revision in force on the live daemons of a domain; 0 if none.
  std::int64_t LowestRevisionOf(const std::string& domain) const;

  // Forgets daemons that have been gone since before `limit`.
  void ForgetGoneBefore(base::MonotonicTime limit);

  // Visits each record in the order of names.
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
  // Holds this daemon's own record at all times.
  std::map<std::string, Entry> entries_;
  // The names in entries_ by failure domain.
  std::map<std::string, std::set<std::string>> names_by_domain_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBER_TABLE_H_

// Implementation of membership::MemberTable.

#include "src/membership/member_table.h"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

#include "src/base/rendezvous.h"

namespace medlarspread::membership {

MemberTable::MemberTable(Record self) : self_name_(self.name) {
  names_by_domain_[self.failure_domain].insert(self.name);
  entries_[self_name_] = {std::move(self), {}};
}

void MemberTable::SetSelfState(RecordState state) {
  SetState(entries_.at(self_name_).record, state);
}

void MemberTable::SetSelfTargets(std::int64_t revision, std::int64_t digest) {
  Record& self = entries_.at(self_name_).record;
  self.targets_revision = revision;
  self.targets_digest = digest;
}

void MemberTable::RenewSelf() {
  ++entries_.at(self_name_).record.heartbeat;
}

MergeResult MemberTable::Merge(const Record& record, base::MonotonicTime now) {
  if (record.name == self_name_) {
    return MergeSelf(record);
  }
  // A suspicion is a request and changes no record; a daemon without an address
  // can't be contacted.
  if (record.name.empty() || record.address.empty() ||
      StateOf(record) == RecordState::kSuspected) {
    return MergeResult::kUnchanged;
  }
  const auto entry = entries_.find(record.name);
  if (entry == entries_.end()) {
    return Insert(record, now);
  }
  Record& known = entry->second.record;
  if (IsNewer(record, known)) {
    return Replace(entry->second, record, now);
  }
  if (IsNewer(known, record)) {
    return MergeResult::kOutdated;
  }
  // Within one incarnation the active revision never decreases, so that the
  // higher one of two otherwise equal records is the later one.
  if (record.targets_revision > known.targets_revision) {
    known.targets_revision = record.targets_revision;
    known.targets_digest = record.targets_digest;
    return MergeResult::kRevisionChanged;
  }
  return MergeResult::kUnchanged;
}

MergeResult MemberTable::MergeSelf(const Record& record) {
  Record& self = entries_.at(self_name_).record;
  if (record.incarnation > self.incarnation) {
    return MergeResult::kSelfReplaced;
  }
  if (record.incarnation < self.incarnation) {
    return MergeResult::kUnchanged;
  }
  if (StateOf(self) == RecordState::kGone) {
    // This daemon has announced it itself, because it is stopping.
    return MergeResult::kUnchanged;
  }
  const bool reports_failure = StateOf(record) == RecordState::kGone ||
                               StateOf(record) == RecordState::kSuspected;
  if (reports_failure && record.heartbeat >= self.heartbeat) {
    self.heartbeat = record.heartbeat + 1;
    return MergeResult::kSelfRefuted;
  }
  if (StateOf(record) == RecordState::kLeaving &&
      StateOf(self) == RecordState::kLive) {
    SetState(self, RecordState::kLeaving);
    return MergeResult::kStateChanged;
  }
  return MergeResult::kUnchanged;
}

MergeResult MemberTable::Insert(const Record& record, base::MonotonicTime now) {
  entries_[record.name] = {record, now};
  names_by_domain_[record.failure_domain].insert(record.name);
  return IsPresent(record) ? MergeResult::kStateChanged
                           : MergeResult::kUnchanged;
}

MergeResult MemberTable::Replace(Entry& entry,
                                 const Record& record,
                                 base::MonotonicTime now) {
  const Record previous = std::exchange(entry.record, record);
  Record& current = entry.record;
  if (current.failure_domain != previous.failure_domain) {
    names_by_domain_[previous.failure_domain].erase(previous.name);
    names_by_domain_[current.failure_domain].insert(current.name);
  }
  if (current.incarnation == previous.incarnation) {
    // An incarnation that is leaving stays so, even if a sender has not learned
    // of it yet.
    if (StateOf(previous) == RecordState::kLeaving &&
        StateOf(current) == RecordState::kLive) {
      SetState(current, RecordState::kLeaving);
    }
    if (previous.targets_revision > current.targets_revision) {
      current.targets_revision = previous.targets_revision;
      current.targets_digest = previous.targets_digest;
    }
  }
  const bool is_visible = current.incarnation != previous.incarnation ||
                          current.state != previous.state ||
                          current.address != previous.address;
  if (is_visible) {
    entry.changed_at = now;
    return MergeResult::kStateChanged;
  }
  return MergeResult::kRefuted;
}

const Record* MemberTable::Find(const std::string& name) const {
  const auto entry = entries_.find(name);
  return entry == entries_.end() ? nullptr : &entry->second.record;
}

bool MemberTable::IsPresentMember(const std::string& name) const {
  const Record* record = Find(name);
  return record != nullptr && IsPresent(*record);
}

std::vector<std::string> MemberTable::PresentIn(
    const std::string& domain) const {
  std::vector<std::string> names;
  const auto row = names_by_domain_.find(domain);
  if (row == names_by_domain_.end()) {
    return names;
  }
  for (const std::string& name : row->second) {
    if (name != self_name_ && IsPresentMember(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> MemberTable::GoneIn(const std::string& domain) const {
  std::vector<std::string> names;
  const auto row = names_by_domain_.find(domain);
  if (row == names_by_domain_.end()) {
    return names;
  }
  for (const std::string& name : row->second) {
    if (!IsPresentMember(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> MemberTable::Domains() const {
  std::vector<std::string> domains;
  for (const auto& [domain, names] : names_by_domain_) {
    const bool has_present =
        std::any_of(names.begin(), names.end(),
                    [this](const auto& name) { return IsPresentMember(name); });
    if (has_present) {
      domains.push_back(domain);
    }
  }
  return domains;
}

std::vector<std::string> MemberTable::DelegatesOf(const std::string& domain,
                                                  std::size_t count) const {
  std::vector<std::string> live;
  const auto row = names_by_domain_.find(domain);
  if (row == names_by_domain_.end()) {
    return live;
  }
  for (const std::string& name : row->second) {
    if (StateOf(*Find(name)) == RecordState::kLive) {
      live.push_back(name);
    }
  }
  live = base::RankByRendezvous(domain, std::move(live));
  live.resize(std::min(live.size(), count));
  return live;
}

std::vector<Record> MemberTable::AllRecords() const {
  std::vector<Record> records;
  records.reserve(entries_.size());
  ForEach([&records](const Record& record) { records.push_back(record); });
  return records;
}

std::vector<Record> MemberTable::RecordsOf(const std::string& domain) const {
  std::vector<Record> records;
  const auto row = names_by_domain_.find(domain);
  if (row == names_by_domain_.end()) {
    return records;
  }
  for (const std::string& name : row->second) {
    records.push_back(*Find(name));
  }
  return records;
}

std::int64_t MemberTable::DigestOf(const std::string& domain,
                                   DigestScope scope) const {
  std::uint64_t digest = 0;
  const auto row = names_by_domain_.find(domain);
  if (row == names_by_domain_.end()) {
    return 0;
  }
  for (const std::string& name : row->second) {
    const Record& record = *Find(name);
    if (!IsPresent(record)) {
      continue;
    }
    const std::array<std::int64_t, 3> facts{
        record.incarnation, record.state,
        scope == DigestScope::kMembers ? 0 : record.targets_revision};
    const std::uint64_t seed = XXH64(facts.data(), sizeof(facts), 0);
    // A sum does not depend on the order of names.
    digest += XXH64(name.data(), name.size(), seed);
  }
  // 32 bits are enough to tell tables apart and take less space on the wire.
  return static_cast<std::uint32_t>(digest);
}

std::int64_t MemberTable::LowestRevisionOf(const std::string& domain) const {
  std::int64_t lowest = 0;
  bool is_first = true;
  for (const Record& record : RecordsOf(domain)) {
    if (StateOf(record) != RecordState::kLive) {
      continue;
    }
    lowest = is_first ? record.targets_revision
                      : std::min(lowest, record.targets_revision);
    is_first = false;
  }
  return lowest;
}

void MemberTable::ForgetGoneBefore(base::MonotonicTime limit) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const Record& record = entry->second.record;
    if (record.name != self_name_ && !IsPresent(record) &&
        entry->second.changed_at < limit) {
      names_by_domain_[record.failure_domain].erase(record.name);
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace medlarspread::membership

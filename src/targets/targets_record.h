// The stored record of all targets: a JSON text under a single key. It contains
// its revision and the latest changes that led to it, so that a change whose
// reply was lost is recognized instead of being made twice.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_RECORD_H_
#define MEDLARSPREAD_TARGETS_TARGETS_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/targets/targets_change.h"

namespace medlarspread::targets {

constexpr char kTargetsKey[] = "targets";

// The number of changes that a record lists. A change_id that is submitted
// again after that many others counts as a new change.
constexpr std::size_t kMaxChangeMarks = 64;
// This bound keeps a record far below the store's limit of 1 MB.
constexpr std::size_t kMaxClasses = 1000;

// A completed change.
struct ChangeMark {
  std::string change_id;
  std::int64_t revision = 0;
  std::string class_name;
  // DigestOf() the change.
  std::int64_t digest = 0;

  friend bool operator==(const ChangeMark&, const ChangeMark&) = default;
};

struct TargetsRecord {
  // 0 is the empty record before the first change; it is never stored.
  std::int64_t revision = 0;
  std::map<std::string, blackboard::ClassTargets> classes;
  // Oldest first. Invariant: revisions increase strictly and the last one is
  // `revision`; change_ids differ.
  std::vector<ChangeMark> changes;

  friend bool operator==(const TargetsRecord&, const TargetsRecord&) = default;
};

// Computes the XXH64 digest; never 0, which means that no targets are known
// yet.
std::int64_t DigestBody(std::string_view body);

// The digest of the empty record, whose body is the empty text.
std::int64_t EmptyDigest();

// Encodes one class as JSON text; equal targets have equal texts.
std::string EncodeClass(const blackboard::ClassTargets& targets);

// Encodes the record; DecodeRecord() restores an equal one.
std::string EncodeRecord(const TargetsRecord& record);
// Fails with kMalformed for any text that EncodeRecord() cannot have written.
base::Result<TargetsRecord> DecodeRecord(const std::string& body);

// Returns the mark of the change, or null.
const ChangeMark* FindMark(const TargetsRecord& record,
                           const std::string& change_id);

// Returns the mark of the last change to the class, or null.
const ChangeMark* FindLastMarkOfClass(const TargetsRecord& record,
                                      const std::string& class_name);

// Returns the record that results from applying the change to `base`. Its
// revision is above that of `base` and above `floor_revision`.
TargetsRecord ApplyChange(const TargetsRecord& base,
                          const TargetsChange& change,
                          std::int64_t floor_revision);

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_RECORD_H_

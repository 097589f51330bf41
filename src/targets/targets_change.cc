// Checks and digests of a single change.

#include "src/targets/targets_change.h"

#include <algorithm>
#include <cctype>

#include "src/targets/class_targets_check.h"
#include "src/targets/targets_record.h"

namespace medlarspread::targets {

namespace {

constexpr std::size_t kMaxChangeIdLength = 64;

struct ClassNameVisitor {
  const std::string& operator()(const SetClass& set) const {
    return set.targets.name;
  }
  const std::string& operator()(const RemoveClass& remove) const {
    return remove.name;
  }
};

struct DigestVisitor {
  std::int64_t operator()(const SetClass& set) const {
    return DigestBody("set " + EncodeClass(set.targets));
  }
  std::int64_t operator()(const RemoveClass& remove) const {
    return DigestBody("remove " + remove.name);
  }
};

struct FaultVisitor {
  std::optional<ChangeInvalid> operator()(const SetClass& set) const {
    return FindFault(set.targets);
  }
  std::optional<ChangeInvalid> operator()(const RemoveClass& remove) const {
    return FindNameFault(remove.name);
  }
};

bool IsChangeIdCharacter(char letter) {
  return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
         std::string_view("-_.:").find(letter) != std::string_view::npos;
}

}  // namespace

const std::string& ClassNameOf(const TargetsChange& change) {
  return std::visit(ClassNameVisitor(), change.action);
}

std::int64_t DigestOf(const TargetsChange& change) {
  return std::visit(DigestVisitor(), change.action);
}

std::optional<ChangeInvalid> FindFault(const TargetsChange& change) {
  const std::string& id = change.change_id;
  if (id.empty() || id.size() > kMaxChangeIdLength ||
      !std::all_of(id.begin(), id.end(), IsChangeIdCharacter)) {
    return ChangeInvalid{
        "change_id", "must be 1 to 64 letters, digits, '-', '_', '.' or ':'"};
  }
  if (change.expected_revision && *change.expected_revision < 0) {
    return ChangeInvalid{"expected_revision", "must not be negative"};
  }
  return std::visit(FaultVisitor(), change.action);
}

}  // namespace medlarspread::targets

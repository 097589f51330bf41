// Encodes and decodes records of targets and applies changes to them.

#include "src/targets/targets_record.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include <cpprest/json.h>
#include <xxhash.h>

#include "src/store/json_fields.h"
#include "src/targets/class_targets_check.h"

namespace medlarspread::targets {

namespace {

using blackboard::ClassTargets;
using store::ReadInteger;
using store::ReadNumber;
using store::ReadString;
using web::json::value;

// Incremented when older daemons can no longer read the record.
constexpr std::int64_t kFormat = 1;

base::Error Malformed(std::string detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kTargets, "",
                         std::move(detail));
}

value ToJson(const ClassTargets& targets) {
  value object = value::object();
  object["name"] = value::string(targets.name);
  object["collection"] = value::string(targets.collection);
  object["latency_us"] =
      value::number(static_cast<std::int64_t>(targets.latency.count()));
  object["percentile"] = value::number(targets.percentile);
  object["coverage"] = value::number(targets.coverage);
  object["coverage_percentile"] = value::number(targets.coverage_percentile);
  return object;
}

value ToJson(const ChangeMark& mark) {
  value object = value::object();
  object["id"] = value::string(mark.change_id);
  object["revision"] = value::number(mark.revision);
  object["class"] = value::string(mark.class_name);
  object["digest"] = value::number(mark.digest);
  return object;
}

std::optional<ClassTargets> ParseClass(const value& object) {
  const auto name = ReadString(object, "name");
  const auto collection = ReadString(object, "collection");
  const auto latency = ReadInteger(object, "latency_us");
  const auto percentile = ReadNumber(object, "percentile");
  const auto coverage = ReadNumber(object, "coverage");
  const auto coverage_percentile = ReadNumber(object, "coverage_percentile");
  if (!name || !collection || !latency || !percentile || !coverage ||
      !coverage_percentile) {
    return std::nullopt;
  }
  ClassTargets targets{*name,       *collection, base::Duration(*latency),
                       *percentile, *coverage,   *coverage_percentile};
  if (FindFault(targets)) {
    return std::nullopt;
  }
  return targets;
}

std::optional<ChangeMark> ParseMark(const value& object) {
  const auto id = ReadString(object, "id");
  const auto revision = ReadInteger(object, "revision");
  const auto class_name = ReadString(object, "class");
  const auto digest = ReadInteger(object, "digest");
  if (!id || id->empty() || !revision || !class_name || !digest ||
      FindNameFault(*class_name)) {
    return std::nullopt;
  }
  return ChangeMark{*id, *revision, *class_name, *digest};
}

bool ParseClasses(const value& object, TargetsRecord& record) {
  const value* classes = store::FindArray(object, "classes");
  if (classes == nullptr || classes->size() > kMaxClasses) {
    return false;
  }
  for (const value& element : classes->as_array()) {
    const auto targets = ParseClass(element);
    if (!targets || !record.classes.emplace(targets->name, *targets).second) {
      return false;
    }
  }
  return true;
}

bool ParseMarks(const value& object, TargetsRecord& record) {
  const value* changes = store::FindArray(object, "changes");
  if (changes == nullptr || changes->size() == 0 ||
      changes->size() > kMaxChangeMarks) {
    return false;
  }
  std::int64_t previous = 0;
  std::set<std::string> ids;
  for (const value& element : changes->as_array()) {
    auto mark = ParseMark(element);
    if (!mark || mark->revision <= previous ||
        !ids.insert(mark->change_id).second) {
      return false;
    }
    previous = mark->revision;
    record.changes.push_back(std::move(*mark));
  }
  return previous == record.revision;
}

struct ApplyVisitor {
  TargetsRecord& record;

  void operator()(const SetClass& set) const {
    record.classes[set.targets.name] = set.targets;
  }
  void operator()(const RemoveClass& remove) const {
    record.classes.erase(remove.name);
  }
};

}  // namespace

std::int64_t DigestBody(std::string_view body) {
  const auto digest =
      static_cast<std::int64_t>(XXH64(body.data(), body.size(), 0));
  return digest == 0 ? 1 : digest;
}

std::int64_t EmptyDigest() {
  return DigestBody("");
}

std::string EncodeClass(const ClassTargets& targets) {
  return ToJson(targets).serialize();
}

std::string EncodeRecord(const TargetsRecord& record) {
  assert(record.revision > 0);
  value object = value::object();
  object["format"] = value::number(kFormat);
  object["revision"] = value::number(record.revision);
  value classes = value::array(record.classes.size());
  std::size_t index = 0;
  for (const auto& [name, targets] : record.classes) {
    classes[index++] = ToJson(targets);
  }
  object["classes"] = std::move(classes);
  value changes = value::array(record.changes.size());
  for (std::size_t i = 0; i < record.changes.size(); ++i) {
    changes[i] = ToJson(record.changes[i]);
  }
  object["changes"] = std::move(changes);
  return object.serialize();
}

base::Result<TargetsRecord> DecodeRecord(const std::string& body) {
  const auto object = store::ParseObject(body);
  if (!object) {
    return Malformed("the targets are not a JSON object");
  }
  if (ReadInteger(*object, "format") != kFormat) {
    return Malformed("the targets have an unknown format");
  }
  TargetsRecord record;
  record.revision = ReadInteger(*object, "revision").value_or(0);
  if (record.revision <= 0) {
    return Malformed("the targets have no revision");
  }
  if (!ParseClasses(*object, record)) {
    return Malformed("the targets contain an invalid class");
  }
  if (!ParseMarks(*object, record)) {
    return Malformed("the targets contain an invalid change");
  }
  return record;
}

const ChangeMark* FindMark(const TargetsRecord& record,
                           const std::string& change_id) {
  for (const ChangeMark& mark : record.changes) {
    if (mark.change_id == change_id) {
      return &mark;
    }
  }
  return nullptr;
}

const ChangeMark* FindLastMarkOfClass(const TargetsRecord& record,
                                      const std::string& class_name) {
  const auto mark = std::find_if(
      record.changes.rbegin(), record.changes.rend(),
      [&](const ChangeMark& mark) { return mark.class_name == class_name; });
  return mark == record.changes.rend() ? nullptr : &*mark;
}

TargetsRecord ApplyChange(const TargetsRecord& base,
                          const TargetsChange& change,
                          std::int64_t floor_revision) {
  assert(FindMark(base, change.change_id) == nullptr);
  TargetsRecord next = base;
  std::visit(ApplyVisitor{next}, change.action);
  next.revision = std::max(base.revision, floor_revision) + 1;
  next.changes.push_back(
      {change.change_id, next.revision, ClassNameOf(change), DigestOf(change)});
  if (next.changes.size() > kMaxChangeMarks) {
    next.changes.erase(next.changes.begin());
  }
  return next;
}

}  // namespace medlarspread::targets

// Encodes segments as JSON. Cells make up most of the size, so each is an array
// of numbers: an index into the table of targets, the minute, and the counts.

#include "src/burn/segment.h"

#include <utility>

#include <cpprest/json.h>

namespace medlarspread::burn {

namespace {

using web::json::value;

constexpr std::size_t kTargetsFields = 6;
constexpr std::size_t kCellFields = 11;

value Number(std::int64_t number) {
  return value::number(number);
}

value Numbers(const std::vector<std::int64_t>& numbers) {
  value array = value::array(numbers.size());
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    array[i] = Number(numbers[i]);
  }
  return array;
}

// The row in the table of targets that a cell refers to.
using TargetsRow = std::pair<std::string, AppliedTargets>;
using TargetsTable = std::map<TargetsRow, std::int64_t>;

TargetsTable MakeTable(const Cells& cells) {
  TargetsTable table;
  for (const auto& [key, counts] : cells) {
    table.emplace(TargetsRow{key.class_name, key.applied_targets}, 0);
  }
  std::int64_t index = 0;
  for (auto& [row, number] : table) {
    number = index++;
  }
  return table;
}

value EncodeTable(const TargetsTable& table) {
  value rows = value::array(table.size());
  for (const auto& [row, index] : table) {
    const AppliedTargets& applied_targets = row.second;
    value fields = Numbers(
        {0, applied_targets.revision, applied_targets.latency_us,
         applied_targets.coverage_ppm, applied_targets.latency_allowed_ppm,
         applied_targets.coverage_allowed_ppm});
    fields[0] = value::string(row.first);
    rows[index] = fields;
  }
  return rows;
}

value EncodeCells(const Cells& cells, const TargetsTable& table) {
  value rows = value::array(cells.size());
  std::size_t next = 0;
  for (const auto& [key, counts] : cells) {
    rows[next++] =
        Numbers({table.at({key.class_name, key.applied_targets}), key.minute,
                 counts.asked, counts.answered, counts.in_time,
                 counts.coverage_met, counts.both_met, counts.refused,
                 counts.unknown, counts.shard_answers, counts.upstream_sends});
  }
  return rows;
}

value EncodeRange(const VmIncarnation& of, const WallRange& range) {
  value object;
  object["vm"] = value::string(of.vm);
  object["incarnation"] = Number(of.incarnation);
  object["from_ms"] = Number(range.from_ms);
  object["until_ms"] = Number(range.until_ms);
  return object;
}

value EncodeGaps(const std::vector<Gap>& gaps) {
  value rows = value::array(gaps.size());
  for (std::size_t i = 0; i < gaps.size(); ++i) {
    rows[i] = EncodeRange(gaps[i].of, gaps[i].range);
    value requests = value::object();
    for (const auto& [class_name, count] : gaps[i].requests) {
      requests[class_name] = Number(count);
    }
    rows[i]["requests"] = requests;
  }
  return rows;
}

value EncodeSources(const std::vector<Source>& sources) {
  value rows = value::array(sources.size());
  for (std::size_t i = 0; i < sources.size(); ++i) {
    rows[i] = value::array(2);
    rows[i][0] = value::string(sources[i].id);
    rows[i][1] = Number(sources[i].sequence);
  }
  return rows;
}

std::int64_t Integer(const value& number) {
  return number.as_number().to_int64();
}

std::vector<TargetsRow> DecodeTable(const value& rows) {
  std::vector<TargetsRow> table;
  for (const value& row : rows.as_array()) {
    if (row.size() != kTargetsFields) {
      throw web::json::json_exception(
          "targets row has the wrong number of fields");
    }
    table.push_back({row.at(0).as_string(),
                     AppliedTargets{Integer(row.at(1)), Integer(row.at(2)),
                                    Integer(row.at(3)), Integer(row.at(4)),
                                    Integer(row.at(5))}});
  }
  return table;
}

Cells DecodeCells(const value& rows, const std::vector<TargetsRow>& table) {
  Cells cells;
  for (const value& row : rows.as_array()) {
    const auto index = static_cast<std::size_t>(Integer(row.at(0)));
    if (row.size() != kCellFields || index >= table.size()) {
      throw web::json::json_exception(
          "cell has the wrong number of fields or an invalid targets index");
    }
    const TargetsRow& targets = table[index];
    cells[{Integer(row.at(1)), targets.first, targets.second}] +=
        Counts{Integer(row.at(2)), Integer(row.at(3)), Integer(row.at(4)),
               Integer(row.at(5)), Integer(row.at(6)), Integer(row.at(7)),
               Integer(row.at(8)), Integer(row.at(9)), Integer(row.at(10))};
  }
  return cells;
}

VmIncarnation DecodeIncarnation(const value& object) {
  return {object.at("vm").as_string(), Integer(object.at("incarnation"))};
}

WallRange DecodeRange(const value& object) {
  return {Integer(object.at("from_ms")), Integer(object.at("until_ms"))};
}

Gap DecodeGap(const value& row) {
  Gap gap{DecodeIncarnation(row), DecodeRange(row), {}};
  for (const auto& [class_name, count] : row.at("requests").as_object()) {
    gap.requests[class_name] = Integer(count);
  }
  return gap;
}

Segment Decode(const value& object) {
  Segment segment;
  segment.writer = DecodeIncarnation(object);
  segment.range = DecodeRange(object);
  segment.nonce = Integer(object.at("nonce"));
  segment.sequence = Integer(object.at("sequence"));
  segment.is_closed = object.at("closed").as_bool();
  segment.is_last = object.at("last").as_bool();
  segment.is_sealed = object.at("sealed").as_bool();
  segment.is_after_seal = object.at("after_seal").as_bool();
  segment.clock_step_ms = Integer(object.at("clock_step_ms"));
  segment.cells =
      DecodeCells(object.at("cells"), DecodeTable(object.at("targets")));
  for (const value& row : object.at("gaps").as_array()) {
    segment.gaps.push_back(DecodeGap(row));
  }
  for (const value& row : object.at("covers").as_array()) {
    segment.covers.push_back({DecodeIncarnation(row), DecodeRange(row)});
  }
  for (const value& row : object.at("sources").as_array()) {
    segment.sources.push_back({row.at(0).as_string(), Integer(row.at(1))});
  }
  return segment;
}

}  // namespace

std::string EncodeSegment(const Segment& segment) {
  value object = EncodeRange(segment.writer, segment.range);
  object["nonce"] = Number(segment.nonce);
  object["sequence"] = Number(segment.sequence);
  object["closed"] = value::boolean(segment.is_closed);
  object["last"] = value::boolean(segment.is_last);
  object["sealed"] = value::boolean(segment.is_sealed);
  object["after_seal"] = value::boolean(segment.is_after_seal);
  object["clock_step_ms"] = Number(segment.clock_step_ms);
  const TargetsTable table = MakeTable(segment.cells);
  object["targets"] = EncodeTable(table);
  object["cells"] = EncodeCells(segment.cells, table);
  object["gaps"] = EncodeGaps(segment.gaps);
  value covers = value::array(segment.covers.size());
  for (std::size_t i = 0; i < segment.covers.size(); ++i) {
    covers[i] = EncodeRange(segment.covers[i].of, segment.covers[i].range);
  }
  object["covers"] = covers;
  object["sources"] = EncodeSources(segment.sources);
  return object.serialize();
}

base::Result<Segment> DecodeSegment(const std::string& text) {
  try {
    return Decode(value::parse(text));
  } catch (const web::json::json_exception& exception) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kReport, "",
                           exception.what());
  }
}

}  // namespace medlarspread::burn

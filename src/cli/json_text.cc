// Renders JSON as aligned text.

#include "src/cli/json_text.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "src/base/json_string.h"

namespace medlarspread::cli {

namespace {

using web::json::value;

constexpr std::size_t kIndent = 2;

std::optional<value> Parse(const std::string& text) {
  try {
    return value::parse(text);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string FormatScalar(const value& scalar) {
  if (scalar.is_string()) {
    return scalar.as_string();
  }
  // The JSON library would print 0.98 with 17 digits.
  if (scalar.is_double() && std::isfinite(scalar.as_double())) {
    return base::JsonNumber(scalar.as_double());
  }
  return scalar.serialize();
}

bool IsTable(const value& list) {
  if (!list.is_array() || list.size() == 0) {
    return false;
  }
  const auto& rows = list.as_array();
  return std::all_of(rows.begin(), rows.end(),
                     [](const value& row) { return row.is_object(); });
}

// Whether `field` is rendered on several lines: non-empty objects and tables.
bool IsBlock(const value& field) {
  return (field.is_object() && field.size() > 0) || IsTable(field);
}

// Renders a table cell: objects as "name=value", arrays separated by commas.
std::string FormatCell(const value& cell) {
  std::string text;
  if (cell.is_object()) {
    for (const auto& [name, field] : cell.as_object()) {
      text += (text.empty() ? "" : " ") + name + "=" + FormatCell(field);
    }
    return text.empty() ? "-" : text;
  }
  if (cell.is_array()) {
    for (const value& item : cell.as_array()) {
      text += (text.empty() ? "" : ", ") + FormatCell(item);
    }
    return text.empty() ? "-" : text;
  }
  text = FormatScalar(cell);
  return text.empty() ? "-" : text;
}

// Returns the columns of a table: "name" first, then the others in the order in
// which the rows contain them.
std::vector<std::string> ColumnsOf(const web::json::array& rows) {
  std::vector<std::string> columns;
  for (const value& row : rows) {
    for (const auto& [name, cell] : row.as_object()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.insert(name == "name" ? columns.begin() : columns.end(), name);
      }
    }
  }
  return columns;
}

using Lines = std::vector<std::vector<std::string>>;

std::string AlignColumns(const Lines& lines, std::size_t indent) {
  std::map<std::size_t, std::size_t> widths;
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    text.append(indent, ' ');
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += line[i];
      const bool is_last = i + 1 == line.size();
      text += is_last ? "\n" : std::string(widths[i] - line[i].size() + 2, ' ');
    }
  }
  return text;
}

std::string RenderTable(const web::json::array& rows, std::size_t indent) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  Lines lines = {columns};
  for (const value& row : rows) {
    std::vector<std::string> line;
    line.reserve(columns.size());
    for (const std::string& column : columns) {
      line.push_back(row.has_field(column) ? FormatCell(row.at(column)) : "-");
    }
    lines.push_back(std::move(line));
  }
  return AlignColumns(lines, indent);
}

std::string RenderValue(const value& root, std::size_t indent);

std::string RenderObject(const web::json::object& fields, std::size_t indent) {
  std::string text;
  for (const auto& [name, field] : fields) {
    text += std::string(indent, ' ') + name + ":";
    text += IsBlock(field) ? "\n" + RenderValue(field, indent + kIndent)
                           : " " + FormatScalar(field) + "\n";
  }
  return text;
}

std::string RenderValue(const value& root, std::size_t indent) {
  if (root.is_object()) {
    return RenderObject(root.as_object(), indent);
  }
  if (IsTable(root)) {
    return RenderTable(root.as_array(), indent);
  }
  return std::string(indent, ' ') + FormatScalar(root) + "\n";
}

}  // namespace

bool IsJson(const std::string& text) {
  return Parse(text).has_value();
}

std::optional<std::string> FindField(const std::string& json,
                                     const std::string& path) {
  const auto root = Parse(json);
  if (!root) {
    return std::nullopt;
  }
  const value* at = &*root;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('.', start), path.size());
    const std::string name = path.substr(start, end - start);
    if (!at->is_object() || !at->has_field(name)) {
      return std::nullopt;
    }
    at = &at->as_object().at(name);
    start = end + 1;
  }
  return FormatScalar(*at);
}

std::string RenderJson(const std::string& json) {
  const auto root = Parse(json);
  return root ? RenderValue(*root, 0) : json;
}

}  // namespace medlarspread::cli

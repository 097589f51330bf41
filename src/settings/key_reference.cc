// Renders the key table as Markdown and as INI.

#include "src/settings/key_reference.h"

#include "src/settings/key_table.h"

namespace medlarspread::settings {

namespace {

std::string DescribeDefault(const Key& key) {
  if (key.is_required) {
    return "required";
  }
  const std::string text = FormatKey(key, DaemonSettings{});
  return text.empty() ? "none" : "`" + text + "`";
}

}  // namespace

std::string RenderKeyReference() {
  std::string page;
  std::string section;
  for (const Key& key : Keys()) {
    if (key.section != section) {
      section = key.section;
      page += (page.empty() ? "" : "\n") + ("### [" + section + "]\n\n");
      page += "| key | default | values | description |\n";
      page += "|---|---|---|---|\n";
    }
    page += "| `" + key.name + "` | " + DescribeDefault(key) + " | " +
            DescribeRange(key) + " | " + key.help + " |\n";
  }
  return page;
}

std::string RenderSettings(const DaemonSettings& settings) {
  std::string text;
  std::string section;
  for (const Key& key : Keys()) {
    if (key.section != section) {
      section = key.section;
      text += (text.empty() ? "[" : "\n[") + section + "]\n";
    }
    const std::string value = FormatKey(key, settings);
    if (!value.empty()) {
      text += key.name + " = " + value + "\n";
    }
  }
  return text;
}

}  // namespace medlarspread::settings

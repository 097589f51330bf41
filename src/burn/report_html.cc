// The burn report as one HTML page without anything from outside.

#include <spdlog/fmt/fmt.h>

#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

}  // namespace

std::string WriteHtml(const BurnReport& report) {
  return "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
         "<title>Service-level burn</title><pre>" +
         Escape(WriteText(report)) + "</pre></html>\n";
}

}  // namespace medlarspread::burn

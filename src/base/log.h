// The daemon's log: one line per event on one stream, as JSON or as text, each
// with the step and the peer it concerns. The level can be changed at any time
// and from any thread.

#ifndef MEDLARSPREAD_BASE_LOG_H_
#define MEDLARSPREAD_BASE_LOG_H_

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

#include "src/base/error.h"

namespace medlarspread::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class LogFormat { kJson, kText };

const char* LogLevelName(LogLevel level);
const char* LogFormatName(LogFormat format);
std::optional<LogLevel> LogLevelFromName(std::string_view name);
std::optional<LogFormat> LogFormatFromName(std::string_view name);

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kJson;
  // The name of this VM, on every line.
  std::string vm;
};

// One event. Empty fields are left out of the line.
struct LogEntry {
  LogLevel level = LogLevel::kInfo;
  Step step = Step::kParse;
  std::string peer{};
  std::string request_id{};
  std::string message{};
};

// A cheap copyable handle; copies share the level. Safe to use from any thread.
class Log {
 public:
  // Discards every entry; for tests that don't look at the log.
  Log() = default;
  // `stream` must outlive every copy. Lines are written and flushed whole.
  Log(LogSettings settings, std::ostream& stream);

  void Write(const LogEntry& entry) const;
  // A failure that the daemon copes with: logged as a warning with the error's
  // own step and peer. `message` says what follows from it.
  void DidFail(const Error& error,
               std::string_view message,
               std::string_view request_id = {}) const;

  void set_level(LogLevel level) const;
  LogLevel level() const;

 private:
  class Impl;
  // Null: discards every entry.
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_LOG_H_

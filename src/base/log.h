// The daemon's log: one line per event, as JSON or as text, with the processing
// step and the peer that the event concerns. The level can be changed at any
// time and from any thread.

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
  // The name of this VM, written on every line.
  std::string vm;
};

// One event. Empty fields are omitted from the line.
struct LogEntry {
  LogLevel level = LogLevel::kInfo;
  Step step = Step::kParse;
  std::string peer{};
  std::string request_id{};
  std::string message{};
};

// A cheaply copyable handle; copies share the level. Thread-safe.
class Log {
 public:
  // Discards every entry; for tests that don't check the log.
  Log() = default;
  // `stream` must outlive every copy. Each line is written whole and flushed.
  Log(LogSettings settings, std::ostream& stream);

  void Write(const LogEntry& entry) const;
  // Logs a failure that the daemon recovers from, as a warning with the error's
  // step and peer. `message` describes the consequence.
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

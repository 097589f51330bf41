// Formats log entries and writes them through spdlog, which adds the time and
// the level and never interleaves lines.

#include "src/base/log.h"

#include <utility>

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>

#include "src/base/json_string.h"
#include "src/base/name_table.h"

namespace medlarspread::base {

namespace {

constexpr NameTable<LogLevel, 4> kLogLevelNames{{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}}};

constexpr NameTable<LogFormat, 2> kLogFormatNames{{{
    {LogFormat::kJson, "json"},
    {LogFormat::kText, "text"},
}}};

// Patterns of spdlog; %v is replaced by the rendered fields.
constexpr const char* kJsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";
constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";

spdlog::level::level_enum ToLibrary(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string JsonField(const char* name, std::string_view value) {
  return JsonString(name) + ":" + JsonString(value);
}

std::string RenderJsonFields(const std::string& vm, const LogEntry& entry) {
  std::string text = JsonField("vm", vm);
  text += "," + JsonField("step", StepName(entry.step));
  if (!entry.peer.empty()) {
    text += "," + JsonField("peer", entry.peer);
  }
  if (!entry.request_id.empty()) {
    text += "," + JsonField("request_id", entry.request_id);
  }
  return text + "," + JsonField("message", entry.message);
}

std::string RenderTextFields(const std::string& vm, const LogEntry& entry) {
  std::string text = vm + " " + StepName(entry.step);
  if (!entry.peer.empty()) {
    text += " peer=" + entry.peer;
  }
  if (!entry.request_id.empty()) {
    text += " request_id=" + entry.request_id;
  }
  // Quoted and escaped, so that a message can't contain a line break.
  return text + " " + JsonString(entry.message);
}

std::shared_ptr<spdlog::logger> MakeLogger(const LogSettings& settings,
                                           std::ostream& stream) {
  auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(stream, true);
  auto logger = std::make_shared<spdlog::logger>("medlarspread", sink);
  const bool is_json = settings.format == LogFormat::kJson;
  logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      is_json ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc));
  logger->set_level(ToLibrary(settings.level));
  return logger;
}

}  // namespace

const char* LogLevelName(LogLevel level) {
  return kLogLevelNames.NameOf(level);
}

const char* LogFormatName(LogFormat format) {
  return kLogFormatNames.NameOf(format);
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  return kLogLevelNames.ValueOf(name);
}

std::optional<LogFormat> LogFormatFromName(std::string_view name) {
  return kLogFormatNames.ValueOf(name);
}

class Log::Impl {
 public:
  Impl(LogSettings settings, std::ostream& stream)
      : settings_(std::move(settings)),
        logger_(MakeLogger(settings_, stream)) {}

  void Write(const LogEntry& entry) {
    const auto level = ToLibrary(entry.level);
    if (!logger_->should_log(level)) {
      return;
    }
    logger_->log(level, settings_.format == LogFormat::kJson
                            ? RenderJsonFields(settings_.vm, entry)
                            : RenderTextFields(settings_.vm, entry));
  }

  void set_level(LogLevel level) { logger_->set_level(ToLibrary(level)); }

  LogLevel level() const {
    for (const auto& [level, name] : kLogLevelNames.rows) {
      if (ToLibrary(level) == logger_->level()) {
        return level;
      }
    }
    return LogLevel::kInfo;
  }

 private:
  const LogSettings settings_;
  const std::shared_ptr<spdlog::logger> logger_;
};

Log::Log(LogSettings settings, std::ostream& stream)
    : impl_(std::make_shared<Impl>(std::move(settings), stream)) {}

void Log::Write(const LogEntry& entry) const {
  if (impl_) {
    impl_->Write(entry);
  }
}

void Log::DidFail(const Error& error,
                  std::string_view message,
                  std::string_view request_id) const {
  std::string text(message);
  text += ": " + error.code.message();
  if (!error.detail.empty()) {
    text += ": " + error.detail;
  }
  Write({.level = LogLevel::kWarning,
         .step = error.step,
         .peer = error.peer,
         .request_id = std::string(request_id),
         .message = std::move(text)});
}

void Log::set_level(LogLevel level) const {
  if (impl_) {
    impl_->set_level(level);
  }
}

LogLevel Log::level() const {
  return impl_ ? impl_->level() : LogLevel::kInfo;
}

}  // namespace medlarspread::base

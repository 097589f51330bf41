// Selects the writer, and implements the formatting shared by the writers.

#include "src/burn/report_format.h"

#include <cstdlib>
#include <ctime>

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr std::int64_t kSecondsPerMinute = 60;
constexpr double kPpmPerPercent = 10'000.0;
constexpr double kPercent = 100.0;
constexpr double kMicrosecondsPerMillisecond = 1'000.0;

std::tm TimeOf(std::int64_t wall_ms) {
  return fmt::gmtime(
      static_cast<std::time_t>(wall_ms / kMillisecondsPerSecond));
}

double PercentileOf(std::int64_t allowed_ppm) {
  return kPercent - static_cast<double>(allowed_ppm) / kPpmPerPercent;
}

}  // namespace

const char* ContentTypeOf(ReportFormat format) {
  switch (format) {
    case ReportFormat::kText:
      return "text/plain; charset=utf-8";
    case ReportFormat::kJson:
      return "application/json";
    case ReportFormat::kHtml:
      return "text/html; charset=utf-8";
  }
  std::abort();
}

std::string FormatReport(const BurnReport& report, ReportFormat format) {
  switch (format) {
    case ReportFormat::kText:
      return WriteText(report);
    case ReportFormat::kJson:
      return WriteJson(report);
    case ReportFormat::kHtml:
      return WriteHtml(report);
  }
  std::abort();
}

std::string WriteTime(std::int64_t wall_ms) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", TimeOf(wall_ms));
}

std::string WriteShortTime(std::int64_t wall_ms) {
  return fmt::format("{:%Y-%m-%d %H:%M}", TimeOf(wall_ms));
}

std::string WriteShare(const std::optional<double>& share) {
  return share ? fmt::format("{:.4f}%", *share * kPercent) : "-";
}

std::string WriteBurn(const std::optional<double>& burn_rate) {
  return burn_rate ? fmt::format("{:.2f}", *burn_rate) : "no budget";
}

std::string WriteTargets(const AppliedTargets& targets) {
  return fmt::format(
      "{:.6g}% within {:.6g} ms, {:.6g}% with coverage of {:.6g} or more",
      PercentileOf(targets.latency_allowed_ppm),
      static_cast<double>(targets.latency_us) / kMicrosecondsPerMillisecond,
      PercentileOf(targets.coverage_allowed_ppm),
      static_cast<double>(targets.coverage_ppm) / kMillion);
}

std::int64_t WholeRequests(std::int64_t millionths) {
  const std::int64_t whole = millionths / kMillion;
  return millionths % kMillion < 0 ? whole - 1 : whole;
}

std::string WriteCount(std::int64_t count) {
  constexpr std::size_t kGroup = 3;
  std::string digits = std::to_string(std::abs(count));
  for (std::size_t end = digits.size(); end > kGroup;) {
    end -= kGroup;
    digits.insert(end, ",");
  }
  return (count < 0 ? "-" : "") + digits;
}

std::string WriteBudgetLeft(const BudgetReport& budget) {
  const auto write = [](std::int64_t millionths) {
    const std::int64_t whole = WholeRequests(millionths);
    return whole < 0 ? "overspent by " + WriteCount(-whole) + " requests"
                     : WriteCount(whole) + " requests left";
  };
  return write(budget.left_millionths) + " (" +
         write(budget.left_at_worst_millionths) +
         " if all that is unaccounted was bad)";
}

std::string WriteRunsOut(const BudgetReport& budget, const BurnReport& report) {
  if (!budget.runs_out_wall_ms) {
    return "lasts the quarter at the rate of the last hour";
  }
  if (*budget.runs_out_wall_ms <= report.made_wall_ms) {
    return "spent";
  }
  return "runs out " + WriteShortTime(*budget.runs_out_wall_ms) +
         " at the rate of the last hour";
}

std::string WriteDuration(std::int64_t milliseconds) {
  const std::int64_t seconds =
      (milliseconds + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  if (seconds < kSecondsPerMinute) {
    return fmt::format("{} s", seconds);
  }
  const std::int64_t minutes = seconds / kSecondsPerMinute;
  if (minutes < kMinutesPerHour) {
    return fmt::format("{} min {} s", minutes, seconds % kSecondsPerMinute);
  }
  return fmt::format("{} h {} min", minutes / kMinutesPerHour,
                     minutes % kMinutesPerHour);
}

}  // namespace medlarspread::burn

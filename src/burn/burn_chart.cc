// Lays out the chart in the units of its SVG view box.

#include "src/burn/burn_chart.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include <spdlog/fmt/fmt.h>

#include "src/burn/report_writers.h"

namespace medlarspread::burn {

namespace {

constexpr double kWidth = 860;
constexpr double kHeight = 230;
constexpr double kLeft = 52;
constexpr double kRight = 24;
constexpr double kTop = 12;
constexpr double kBottom = 30;
constexpr double kPlotWidth = kWidth - kLeft - kRight;
constexpr double kPlotHeight = kHeight - kTop - kBottom;
// The scale reaches at least up to kMinTop and at most up to the last tick.
constexpr double kMinTop = 2;
constexpr double kTicks[] = {0, 1, 2, 5, 10, 20, 50, 100};
constexpr double kMaxTop = 100;

struct Scale {
  double top = kMinTop;
  std::size_t points = 0;

  double X(double index) const {
    return kLeft + kPlotWidth * index / static_cast<double>(points);
  }
  double Y(double burn) const {
    const double height = std::log1p(std::min(burn, top)) / std::log1p(top);
    return kTop + kPlotHeight * (1 - height);
  }
};

using Burn = std::optional<double>;
using PickBurn = Burn (*)(const HistoryPoint&);

Burn LatencyBurn(const HistoryPoint& point) {
  return point.latency_burn;
}

Burn CoverageBurn(const HistoryPoint& point) {
  return point.coverage_burn;
}

// Absent if there were no requests. A point without a burn rate (no budget) is
// drawn at the top.
Burn BurnToDraw(const HistoryPoint& point, PickBurn pick) {
  if (point.counts.asked == 0) {
    return std::nullopt;
  }
  return pick(point).value_or(kMaxTop);
}

Scale MakeScale(const std::vector<HistoryPoint>& history) {
  double most = kMinTop;
  for (const HistoryPoint& point : history) {
    most = std::max({most, BurnToDraw(point, LatencyBurn).value_or(0),
                     BurnToDraw(point, CoverageBurn).value_or(0)});
  }
  const auto* const tick =
      std::find_if(std::begin(kTicks), std::end(kTicks),
                   [most](double value) { return value >= most; });
  return {tick == std::end(kTicks) ? kMaxTop : *tick, history.size()};
}

std::string DrawLine(const std::vector<HistoryPoint>& history,
                     const Scale& scale,
                     PickBurn pick,
                     const char* css_class) {
  std::string path;
  bool is_pen_down = false;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Burn burn = BurnToDraw(history[i], pick);
    if (burn) {
      // Each point is drawn as a horizontal step over its minutes, so that a
      // single point is visible too.
      const double y = scale.Y(*burn);
      path += fmt::format("{}{:.1f} {:.1f}H{:.1f}", is_pen_down ? "L" : "M",
                          scale.X(static_cast<double>(i)), y,
                          scale.X(static_cast<double>(i + 1)));
    }
    is_pen_down = burn.has_value();
  }
  return fmt::format("<path class=\"{}\" d=\"{}\"/>\n", css_class, path);
}

std::string DrawShades(const std::vector<HistoryPoint>& history,
                       const Scale& scale) {
  std::string shades;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const std::int64_t missing_ms = history[i].unaccounted_vm_milliseconds;
    if (missing_ms > 0) {
      shades += fmt::format(
          "<rect class=\"missing\" x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" "
          "height=\"{}\"><title>{} UTC: {} of VM time without "
          "counts</title></rect>\n",
          scale.X(static_cast<double>(i)), kTop, scale.X(1) - scale.X(0),
          kPlotHeight, WriteShortTime(history[i].start_wall_ms),
          WriteDuration(missing_ms));
    }
  }
  return shades;
}

std::string DrawTicks(const Scale& scale) {
  std::string ticks;
  for (const double tick : kTicks) {
    if (tick > scale.top) {
      break;
    }
    const double y = scale.Y(tick);
    ticks += fmt::format(
        "<path class=\"{}\" d=\"M{} {:.1f}H{}\"/>"
        "<text class=\"tick\" x=\"{}\" y=\"{:.1f}\" "
        "text-anchor=\"end\">{}</text>\n",
        tick == 1 ? "even" : "grid", kLeft, y, kWidth - kRight, kLeft - 6,
        y + 4, tick);
  }
  return ticks;
}

std::string DrawHours(const std::vector<HistoryPoint>& history,
                      const Scale& scale) {
  constexpr std::int64_t kHourMs = kMinutesPerHour * kMillisecondsPerMinute;
  std::string hours;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const std::int64_t start = history[i].start_wall_ms;
    const std::int64_t end =
        start + history[i].minutes * kMillisecondsPerMinute;
    const std::int64_t hour = (start + kHourMs - 1) / kHourMs * kHourMs;
    if (hour >= end) {
      continue;
    }
    const double part =
        static_cast<double>(hour - start) / static_cast<double>(end - start);
    const double x = scale.X(static_cast<double>(i) + part);
    constexpr std::size_t kDateLength = sizeof("2026-12-02 ") - 1;
    hours += fmt::format(
        "<path class=\"grid\" d=\"M{:.1f} {}V{}\"/><text class=\"tick\" "
        "x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{}</text>\n",
        x, kTop, kTop + kPlotHeight, x, kHeight - 10,
        WriteShortTime(hour).substr(kDateLength));
  }
  return hours;
}

}  // namespace

std::string DrawBurn(const std::string& class_name,
                     const std::vector<HistoryPoint>& history) {
  if (history.empty()) {
    return "";
  }
  const Scale scale = MakeScale(history);
  std::string svg = fmt::format(
      "<svg viewBox=\"0 0 {} {}\" role=\"img\"><title>Burn of {} over the "
      "last hours, UTC</title>\n",
      kWidth, kHeight, EscapeHtml(class_name));
  svg += DrawShades(history, scale);
  svg += DrawTicks(scale);
  svg += DrawHours(history, scale);
  svg += DrawLine(history, scale, LatencyBurn, "latency");
  svg += DrawLine(history, scale, CoverageBurn, "coverage");
  return svg + "</svg>\n";
}

std::string EscapeHtml(const std::string& text) {
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

}  // namespace medlarspread::burn

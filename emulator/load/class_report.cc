// Counts and percentiles of one class, as text and JSON.

#include "emulator/load/class_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

}  // namespace

void ClassReport::DidReceive(const AskedQuery& asked,
                             const http::Response& response,
                             base::Duration latency) {
  if (response.status == http::kServiceUnavailable ||
      response.status == http::kTooManyRequests) {
    ++refused_;
    CountViolation(CheckRefusal(asked, response.body));
    return;
  }
  if (response.status != http::kOk) {
    ++(response.status == http::kGatewayTimeout ? unknown_ : rejected_);
    return;
  }
  ++answered_;
  const CheckedAnswer checked = CheckAnswer(asked, response.body);
  CountViolation(checked.violation);
  coverage_sum_ += checked.coverage;
  latencies_.push_back(latency);
  const bool is_in_time = latency <= load_.latency_target;
  const bool is_covered = checked.coverage >= load_.coverage_target;
  in_time_ += is_in_time ? 1 : 0;
  covered_ += is_covered ? 1 : 0;
  good_ += is_in_time && is_covered ? 1 : 0;
  after_deadline_ += latency > load_.deadline ? 1 : 0;
}

std::int64_t ClassReport::violations() const {
  std::int64_t sum = 0;
  for (const auto& [violation, name] : kViolations.rows) {
    sum += violation == Violation::kNone
               ? 0
               : violations_[static_cast<std::size_t>(violation)];
  }
  return sum;
}

double ClassReport::Percentile(double share) const {
  if (latencies_.empty()) {
    return 0.0;
  }
  std::vector<base::Duration> sorted = latencies_;
  std::ranges::sort(sorted);
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return base::ToMilliseconds(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

double ClassReport::ShareOfAsked(std::int64_t count) const {
  return asked_ == 0 ? 0.0
                     : static_cast<double>(count) / static_cast<double>(asked_);
}

double ClassReport::MeanCoverage() const {
  return answered_ == 0 ? 0.0 : coverage_sum_ / static_cast<double>(answered_);
}

std::string ClassReport::ToText() const {
  constexpr std::size_t kLineLength = 512;
  std::array<char, kLineLength> line{};
  std::snprintf(line.data(), line.size(),
                "%-16s asked %ld answered %ld p50 %.1f ms p99 %.1f ms p99.9 "
                "%.1f ms in time %.4f covered %.4f good %.4f coverage %.4f "
                "refused %ld unknown %ld rejected %ld failed %ld late %ld "
                "violations %ld",
                load_.name.c_str(), asked_, answered_, Percentile(kMedian),
                Percentile(kP99), Percentile(kP999), ShareOfAsked(in_time_),
                ShareOfAsked(covered_), ShareOfAsked(good_), MeanCoverage(),
                refused_, unknown_, rejected_, failed_, after_deadline_,
                violations());
  return line.data();
}

std::string ClassReport::ToJson() const {
  using web::json::value;
  value json;
  json["class"] = value::string(load_.name);
  json["asked"] = value::number(asked_);
  json["answered"] = value::number(answered_);
  json["refused"] = value::number(refused_);
  json["unknown"] = value::number(unknown_);
  json["rejected"] = value::number(rejected_);
  json["failed"] = value::number(failed_);
  json["after_deadline"] = value::number(after_deadline_);
  json["p50_ms"] = value::number(Percentile(kMedian));
  json["p99_ms"] = value::number(Percentile(kP99));
  json["p999_ms"] = value::number(Percentile(kP999));
  json["in_time_share"] = value::number(ShareOfAsked(in_time_));
  json["covered_share"] = value::number(ShareOfAsked(covered_));
  json["good_share"] = value::number(ShareOfAsked(good_));
  json["mean_coverage"] = value::number(MeanCoverage());
  value& violations = json["violations"];
  violations = value::object();
  for (const auto& [violation, name] : kViolations.rows) {
    if (violation != Violation::kNone) {
      violations[name] =
          value::number(violations_[static_cast<std::size_t>(violation)]);
    }
  }
  return json.serialize();
}

}  // namespace medlarspread::emulator

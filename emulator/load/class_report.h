// Results of the requests of one class in a load run.

#ifndef MEDLARSPREAD_EMULATOR_LOAD_CLASS_REPORT_H_
#define MEDLARSPREAD_EMULATOR_LOAD_CLASS_REPORT_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/load/answer_checker.h"
#include "emulator/load/class_load.h"
#include "src/http/message.h"

namespace medlarspread::emulator {

class ClassReport {
 public:
  explicit ClassReport(ClassLoad load) : load_(std::move(load)) {}

  void DidAsk() { ++asked_; }
  // Called for a response that arrived `latency` after the request's scheduled
  // send time.
  void DidReceive(const AskedQuery& asked,
                  const http::Response& response,
                  base::Duration latency);
  // Called if no response arrived.
  void DidFail() { ++failed_; }

  // Whether every request has a result.
  bool is_complete() const {
    return asked_ == answered_ + refused_ + unknown_ + rejected_ + failed_;
  }
  std::int64_t violations() const;

  // One line of text, and one JSON object.
  std::string ToText() const;
  std::string ToJson() const;

 private:
  void CountViolation(Violation violation) {
    ++violations_[static_cast<std::size_t>(violation)];
  }
  // The latency in milliseconds that a fraction `share` of the answers didn't
  // exceed; 0 without answers.
  double Percentile(double share) const;
  double ShareOfAsked(std::int64_t count) const;
  double MeanCoverage() const;

  ClassLoad load_;
  std::int64_t asked_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t unknown_ = 0;
  // Status 400, 404, 405, 408, 413 or any other unexpected status.
  std::int64_t rejected_ = 0;
  std::int64_t failed_ = 0;
  // Answers within the latency target, and those that met both targets.
  std::int64_t in_time_ = 0;
  std::int64_t covered_ = 0;
  std::int64_t good_ = 0;
  std::int64_t after_deadline_ = 0;
  double coverage_sum_ = 0.0;
  // Latencies of answers only, unordered.
  std::vector<base::Duration> latencies_;
  std::array<std::int64_t, kViolations.rows.size()> violations_{};
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_CLASS_REPORT_H_

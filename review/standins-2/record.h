// The record of a run: lines with the milliseconds since its start.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_2_RECORD_H_
#define MEDLARSPREAD_REVIEW_STANDINS_2_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "review/standins-2/wire.h"

namespace medlarspread::review {

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << MillisecondsOf(SteadyClock::now()) << " " << line << "\n"
          << std::flush;
  }

  // Milliseconds from the start of the run.
  std::int64_t MillisecondsOf(Time time) const {
    return std::chrono::duration_cast<milliseconds>(time - start_).count();
  }

 private:
  const Time start_ = SteadyClock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_2_RECORD_H_

// What a scenario saw, as lines of a file.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_RECORD_H_
#define MEDLARSPREAD_REVIEW_STANDINS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace medlarspread::review {

class Record {
 public:
  explicit Record(const std::string& file) : file_(file) {}

  // Writes the line after the milliseconds since the start.
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << milliseconds() << " " << line << std::endl;
  }

  std::int64_t milliseconds() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start_)
        .count();
  }

 private:
  const std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_RECORD_H_

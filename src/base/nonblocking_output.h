// A stream buffer that writes to a file descriptor without ever blocking.
//
// Lines that can't be written yet are buffered up to a limit. Beyond it whole
// lines are dropped and counted, and the count is written once there is space
// again. So a log whose reader is stuck can't delay a request.

#ifndef MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_
#define MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace medlarspread::base {

// Not thread-safe; the logger serializes its writes.
class NonblockingOutput : public std::streambuf {
 public:
  // Makes `descriptor` non-blocking. Buffers at most `max_pending_bytes`.
  explicit NonblockingOutput(int descriptor,
                             std::size_t max_pending_bytes = 256 << 10);

  std::int64_t dropped_lines() const { return dropped_; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  // Ends the current line and writes as much as the descriptor accepts.
  int sync() override;

 private:
  void FinishLine();
  void WritePending();

  const int descriptor_;
  const std::size_t max_pending_bytes_;
  std::string line_;
  // Whole lines not written yet; the first may be written in part.
  std::string pending_;
  std::int64_t dropped_ = 0;
  // Dropped lines that no line of the output has reported yet.
  std::int64_t unreported_drops_ = 0;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_

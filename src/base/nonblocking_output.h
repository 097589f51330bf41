// A stream buffer that never waits for its reader.
//
// Lines that the reader has not taken yet are kept up to a bound; beyond it
// whole lines are dropped and counted, and the count is written as soon as
// there is room. So a log that nobody reads can't hold a request up.

#ifndef MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_
#define MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace medlarspread::base {

// Not thread-safe; the logger that writes to it takes turns.
class NonblockingOutput : public std::streambuf {
 public:
  // Makes `descriptor` non-blocking. Keeps at most `most_bytes` back.
  explicit NonblockingOutput(int descriptor,
                             std::size_t most_bytes = 256 << 10);

  std::int64_t dropped_lines() const { return dropped_; }

 protected:
  int_type overflow(int_type letter) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  // Takes the line that was written so far, and writes what it can.
  int sync() override;

 private:
  void TakeLine();
  void WriteOut();

  const int descriptor_;
  const std::size_t most_bytes_;
  std::string line_;
  // Whole lines that wait for the reader, the first perhaps begun.
  std::string waiting_;
  std::int64_t dropped_ = 0;
  std::int64_t dropped_untold_ = 0;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_NONBLOCKING_OUTPUT_H_

// Line buffering, the bounded backlog and the non-blocking write().

#include "src/base/nonblocking_output.h"

#include <fcntl.h>
#include <unistd.h>

namespace medlarspread::base {

NonblockingOutput::NonblockingOutput(int descriptor,
                                     std::size_t max_pending_bytes)
    : descriptor_(descriptor), max_pending_bytes_(max_pending_bytes) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

NonblockingOutput::int_type NonblockingOutput::overflow(int_type character) {
  if (!traits_type::eq_int_type(character, traits_type::eof())) {
    line_ += traits_type::to_char_type(character);
  }
  return traits_type::not_eof(character);
}

std::streamsize NonblockingOutput::xsputn(const char* text,
                                          std::streamsize size) {
  line_.append(text, static_cast<std::size_t>(size));
  return size;
}

int NonblockingOutput::sync() {
  WritePending();
  FinishLine();
  WritePending();
  return 0;
}

void NonblockingOutput::FinishLine() {
  if (line_.empty()) {
    return;
  }
  if (pending_.size() + line_.size() > max_pending_bytes_) {
    ++dropped_;
    ++unreported_drops_;
  } else {
    if (unreported_drops_ > 0) {
      pending_ += R"({"level":"warning","step":"log","message":")" +
                  std::to_string(unreported_drops_) +
                  " lines were dropped because the reader is too slow\"}\n";
      unreported_drops_ = 0;
    }
    pending_ += line_;
  }
  line_.clear();
}

void NonblockingOutput::WritePending() {
  while (!pending_.empty()) {
    const ssize_t written =
        ::write(descriptor_, pending_.data(), pending_.size());
    // The pipe is full or the reader is gone: retried with the next line.
    if (written <= 0) {
      return;
    }
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace medlarspread::base

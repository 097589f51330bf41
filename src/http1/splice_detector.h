// Detects responses that are spliced from two.
//
// A server in trouble may break off a response and send another one behind it
// on the same connection. The bytes of both can parse as one response: the head
// of the second one then lies within a field, a chunk, the trailer or the body
// of the first, or begins there and ends behind it. So only a response whose
// bytes contain no beginning of another head can be taken as the answer to a
// request. This holds for the bytes as they were received, whatever part of the
// message they belong to.
//
// A head is a status line and the beginning of a field, or an empty line, each
// line ended by CRLF. A body that merely mentions a status line has none. At
// the end of a response a protocol version is enough if more bytes follow.
//
// NOTE: a response that was continued with fewer bytes of another one differs
// from a whole one only in the value of these bytes, which nothing in HTTP/1.1
// can show.
//
// Bookkeeping only; not thread-safe.

#ifndef MEDLARSPREAD_HTTP1_SPLICE_DETECTOR_H_
#define MEDLARSPREAD_HTTP1_SPLICE_DETECTOR_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace medlarspread::http1 {

// The two in the middle can change with the bytes that follow.
enum class SpliceVerdict {
  kWhole,
  // It ends with the begin of a status line.
  kLikelyWhole,
  // It ends with a whole status line and what may be the next line of a head.
  kLikelySpliced,
  kSpliced,
};

constexpr bool IsFinal(SpliceVerdict verdict) {
  return verdict == SpliceVerdict::kWhole || verdict == SpliceVerdict::kSpliced;
}

class SpliceDetector {
 public:
  // Begins with the next response.
  void Start();
  // Adds the next bytes of the response, framing included.
  void Add(std::string_view bytes);

  // Whether another head has been found already. All further bytes are ignored
  // then.
  bool is_spliced() const { return is_spliced_; }
  // The number of bytes of the response before that head.
  std::size_t splice_offset() const { return splice_offset_; }
  // The verdict on the response that the bytes so far make up. `bytes_behind`
  // are all bytes received after it.
  SpliceVerdict VerdictWith(std::string_view bytes_behind) const;

 private:
  // The number of bytes added so far.
  std::size_t size_ = 0;
  // The last bytes, from where a head may begin that has not ended; usually
  // empty, and limited by the lengths that are accepted for a head's parts.
  std::string candidate_;
  bool is_spliced_ = false;
  std::size_t splice_offset_ = 0;
};

}  // namespace medlarspread::http1

#endif  // MEDLARSPREAD_HTTP1_SPLICE_DETECTOR_H_

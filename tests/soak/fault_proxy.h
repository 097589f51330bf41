// A loopback proxy between a daemon and a server that it calls. It injects link
// faults: delay, reset, loss of all replies, or loss in both directions. It can
// also repeat replies, break them off and go on with another one, or replace
// them by bytes without end, as a faulty server does.
//
// All members, set_fault() included, must be called on the thread of the I/O
// context.

#ifndef MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_
#define MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/base/random.h"

namespace medlarspread::soak {

enum class LinkFault {
  kNone,
  // Bytes arrive 80 ms late.
  kDelay,
  // Open and new connections are reset.
  kReset,
  // Bytes from the target are dropped.
  kOneWay,
  // Bytes are dropped in both directions; connections stay open.
  kSilent,
};

// Where the second copy of a reply is sent.
enum class ReplyCopy {
  kNone,
  // Together with the reply.
  kBehind,
  // A moment after the reply, while the link is idle or just in use again.
  kIdle,
  // Right before the next reply on the link, whole or cut short.
  kBeforeNext,
  kCutBeforeNext,
};

// What follows a reply that breaks off, on the same link.
enum class ReplyContinuation {
  // The whole reply.
  kWhole,
  // The reply before it on the link, if there was one.
  kEarlier,
  // The reply broken off a second time, then the whole one.
  kCutAndWhole,
  // Nothing until the next reply on the link.
  kNextReply,
};

// What is sent without end in place of a reply.
enum class EndlessReply {
  kNotHttp,
  kHeader,
  kInterimResponses,
  kBody,
  kChunks,
  // A body of one byte at a time, with pauses.
  kSingleBytes,
};

class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, std::string target);

  // Sends this share of the replies twice, at places drawn with the seed. Each
  // reply must arrive in one piece.
  void RepeatReplies(double share, std::uint64_t seed);
  int repeated_replies() const { return repeated_replies_; }
  // Replaces this share of the replies by bytes without end.
  void SendEndlessReplies(double share, std::uint64_t seed);
  int endless_replies() const { return endless_replies_; }
  // Breaks this share of the replies off and goes on with another one.
  void SpliceReplies(double share, std::uint64_t seed);
  int spliced_replies() const { return spliced_replies_; }
  // How many of these the caller still read after kMostEndlessBytes.
  int unlimited_replies() const { return unlimited_replies_; }

  // More than a caller's limit and what the kernels on both sides buffer.
  static constexpr std::size_t kMostEndlessBytes = std::size_t{32} << 20;

  std::string address() const;
  void set_fault(LinkFault fault);
  // Sends new connections to `target`, for example because another process has
  // the address now.
  void set_target(std::string target) { target_ = std::move(target); }
  // Refuses new connections and resets open ones, as when the target process
  // ends.
  void Close();

 private:
  class Link;

  void Accept();
  ReplyCopy DrawCopy();
  std::optional<EndlessReply> DrawEndlessReply();
  // The bytes to send in place of a reply; `earlier` is the one before it.
  std::string DrawSplice(const std::string& reply, const std::string& earlier);
  // Cuts the text short at a random place.
  std::string DrawCut(const std::string& text);

  boost::asio::io_context& context_;
  std::string target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkFault fault_ = LinkFault::kNone;
  double repeated_share_ = 0.0;
  std::unique_ptr<base::Random> random_;
  int repeated_replies_ = 0;
  double endless_share_ = 0.0;
  int endless_replies_ = 0;
  int unlimited_replies_ = 0;
  double spliced_share_ = 0.0;
  int spliced_replies_ = 0;
  std::set<std::shared_ptr<Link>> links_;
};

}  // namespace medlarspread::soak

#endif  // MEDLARSPREAD_TESTS_SOAK_FAULT_PROXY_H_

// Forwards bytes between the two sockets of each link and applies the fault.

#include "tests/soak/fault_proxy.h"

#include <chrono>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>

#include "src/http1/caller_listener.h"

namespace medlarspread::soak {

namespace {

using boost::asio::ip::tcp;

constexpr auto kDelay = std::chrono::milliseconds(80);
constexpr auto kSingleBytePause = std::chrono::milliseconds(20);
// How long after a reply its copy is sent on an idle link.
constexpr auto kIdleTime = std::chrono::milliseconds(2);

// The header of the reply, without its last blank line and its length.
std::string HeaderWithoutLength(const std::string& reply) {
  std::string header = reply.substr(0, reply.find("\r\n\r\n") + 2);
  const auto length = header.find("Content-Length:");
  if (length != std::string::npos) {
    header.erase(length, header.find("\r\n", length) + 2 - length);
  }
  return header;
}

struct EndlessBytes {
  std::string begin;
  std::string repeated;
  std::chrono::milliseconds pause{};
};

EndlessBytes MakeEndless(EndlessReply form, const std::string& reply) {
  const std::string header = HeaderWithoutLength(reply);
  const std::string many(4096, 'x');
  switch (form) {
    case EndlessReply::kNotHttp:
      return {"", many};
    case EndlessReply::kHeader:
      return {header, "A: b\r\n"};
    case EndlessReply::kInterimResponses:
      return {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    case EndlessReply::kBody:
      return {header + "\r\n", many};
    case EndlessReply::kChunks:
      return {header + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"};
    case EndlessReply::kSingleBytes:
      return {header + "\r\n", "x", kSingleBytePause};
  }
  return {};
}

}  // namespace

class FaultProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(FaultProxy& proxy, tcp::socket caller)
      : proxy_(proxy), caller_(std::move(caller)), target_(proxy.context_) {}

  void Start() {
    const auto endpoint = http1::ParseEndpoint(proxy_.target_);
    target_.async_connect(
        endpoint.value(),
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error) {
            self->Reset();
            return;
          }
          self->Pump(self->caller_, self->target_, self->to_target_, false);
          self->Pump(self->target_, self->caller_, self->to_caller_, true);
        });
  }

  void Reset() {
    boost::system::error_code ignored;
    // Closing with a linger time of zero sends a reset.
    for (tcp::socket* socket : {&caller_, &target_}) {
      socket->set_option(tcp::socket::linger(true, 0), ignored);
      socket->close(ignored);
    }
    proxy_.links_.erase(shared_from_this());
  }

 private:
  using Bytes = std::array<char, 8192>;

  void Pump(tcp::socket& from, tcp::socket& to, Bytes& bytes, bool is_reply) {
    from.async_read_some(
        boost::asio::buffer(bytes),
        [self = shared_from_this(), &from, &to, &bytes, is_reply](
            const boost::system::error_code& error, std::size_t size) {
          if (error) {
            self->Close();
            return;
          }
          self->Pass(from, to, bytes, size, is_reply);
        });
  }

  void Pass(tcp::socket& from,
            tcp::socket& to,
            Bytes& bytes,
            std::size_t size,
            bool is_reply) {
    const LinkFault fault = proxy_.fault_;
    const bool is_dropped = fault == LinkFault::kSilent ||
                            (fault == LinkFault::kOneWay && is_reply);
    if (is_dropped) {
      // Bytes are lost, so the rest of the stream would be corrupt: this
      // direction is never read again.
      return;
    }
    const auto delay = fault == LinkFault::kDelay ? kDelay : kDelay * 0;
    std::string text(bytes.data(), size);
    const auto resume = [self = shared_from_this(), &from, &to, &bytes,
                         is_reply] { self->Pump(from, to, bytes, is_reply); };
    if (!is_reply) {
      WriteAfter(delay, to, std::move(text), resume);
      return;
    }
    if (const auto form = proxy_.DrawEndlessReply()) {
      const EndlessBytes endless = MakeEndless(*form, text);
      WriteAfter(delay, to, endless.begin,
                 [self = shared_from_this(), &to, endless] {
                   self->SendEndlessly(to, endless);
                 });
      return;
    }
    const ReplyCopy copy = proxy_.DrawCopy();
    std::string sent =
        std::exchange(copy_before_next_, "") +
        proxy_.DrawSplice(text, std::exchange(earlier_reply_, text));
    if (copy == ReplyCopy::kBehind) {
      sent += text;
    } else if (copy == ReplyCopy::kBeforeNext) {
      copy_before_next_ = text;
    } else if (copy == ReplyCopy::kCutBeforeNext) {
      copy_before_next_ = proxy_.DrawCut(text);
    }
    if (copy != ReplyCopy::kIdle) {
      WriteAfter(delay, to, std::move(sent), resume);
      return;
    }
    WriteAfter(delay, to, std::move(sent),
               [self = shared_from_this(), &to, text, resume] {
                 self->WriteAfter(kIdleTime, to, text, resume);
               });
  }

  // Goes on until the caller closes.
  void SendEndlessly(tcp::socket& to, const EndlessBytes& endless) {
    endless_bytes_ += endless.repeated.size();
    if (endless_bytes_ > kMostEndlessBytes) {
      ++proxy_.unlimited_replies_;
      Close();
      return;
    }
    WriteAfter(endless.pause, to, endless.repeated,
               [self = shared_from_this(), &to, endless] {
                 self->SendEndlessly(to, endless);
               });
  }

  // Calls `done` when the bytes have been written.
  void WriteAfter(std::chrono::milliseconds delay,
                  tcp::socket& to,
                  std::string text,
                  std::function<void()> done) {
    auto timer = std::make_shared<boost::asio::steady_timer>(proxy_.context_);
    timer->expires_after(delay);
    const auto kept = std::make_shared<std::string>(std::move(text));
    timer->async_wait(
        [self = shared_from_this(), timer, &to, kept,
         done = std::move(done)](const boost::system::error_code&) {
          boost::asio::async_write(
              to, boost::asio::buffer(*kept),
              [self, kept, done](const boost::system::error_code& error,
                                 std::size_t) {
                if (error) {
                  self->Close();
                  return;
                }
                done();
              });
        });
  }

  void Close() {
    boost::system::error_code ignored;
    caller_.close(ignored);
    target_.close(ignored);
    proxy_.links_.erase(shared_from_this());
  }

  FaultProxy& proxy_;
  tcp::socket caller_;
  tcp::socket target_;
  Bytes to_target_{};
  Bytes to_caller_{};
  std::string copy_before_next_;
  std::string earlier_reply_;
  std::size_t endless_bytes_ = 0;
};

FaultProxy::FaultProxy(boost::asio::io_context& context, std::string target)
    : context_(context),
      target_(std::move(target)),
      acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}) {
  Accept();
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void FaultProxy::set_fault(LinkFault fault) {
  fault_ = fault;
  if (fault != LinkFault::kReset) {
    return;
  }
  const std::vector<std::shared_ptr<Link>> all(links_.begin(), links_.end());
  for (const auto& link : all) {
    link->Reset();
  }
}

void FaultProxy::RepeatReplies(double share, std::uint64_t seed) {
  repeated_share_ = share;
  random_ = std::make_unique<base::Random>(seed);
}

ReplyCopy FaultProxy::DrawCopy() {
  // Most copies are whole and come before the next reply: only these can be
  // taken for it, and all others cost the connection.
  constexpr ReplyCopy kOtherCopies[] = {ReplyCopy::kBehind, ReplyCopy::kIdle,
                                        ReplyCopy::kCutBeforeNext};
  constexpr double kOtherShare = 0.25;
  if (!random_ || random_->Unit() >= repeated_share_) {
    return ReplyCopy::kNone;
  }
  ++repeated_replies_;
  return random_->Unit() < kOtherShare
             ? kOtherCopies[random_->Below(std::size(kOtherCopies))]
             : ReplyCopy::kBeforeNext;
}

void FaultProxy::SendEndlessReplies(double share, std::uint64_t seed) {
  endless_share_ = share;
  random_ = std::make_unique<base::Random>(seed);
}

std::optional<EndlessReply> FaultProxy::DrawEndlessReply() {
  constexpr EndlessReply kForms[] = {
      EndlessReply::kNotHttp,          EndlessReply::kHeader,
      EndlessReply::kInterimResponses, EndlessReply::kBody,
      EndlessReply::kChunks,           EndlessReply::kSingleBytes};
  if (endless_share_ == 0.0 || random_->Unit() >= endless_share_) {
    return std::nullopt;
  }
  ++endless_replies_;
  return kForms[random_->Below(std::size(kForms))];
}

void FaultProxy::SpliceReplies(double share, std::uint64_t seed) {
  spliced_share_ = share;
  random_ = std::make_unique<base::Random>(seed);
}

std::string FaultProxy::DrawSplice(const std::string& reply,
                                   const std::string& earlier) {
  constexpr ReplyContinuation kForms[] = {
      ReplyContinuation::kWhole, ReplyContinuation::kEarlier,
      ReplyContinuation::kCutAndWhole, ReplyContinuation::kNextReply};
  if (spliced_share_ == 0.0 || random_->Unit() >= spliced_share_) {
    return reply;
  }
  ++spliced_replies_;
  const std::string cut = reply.substr(0, 1 + random_->Below(reply.size() - 1));
  switch (kForms[random_->Below(std::size(kForms))]) {
    case ReplyContinuation::kWhole:
      return cut + reply;
    case ReplyContinuation::kEarlier:
      return cut + earlier;
    case ReplyContinuation::kCutAndWhole:
      return cut + DrawCut(reply) + reply;
    case ReplyContinuation::kNextReply:
      return cut;
  }
  return reply;
}

std::string FaultProxy::DrawCut(const std::string& text) {
  return text.substr(0, 1 + random_->Below(text.size()));
}

void FaultProxy::Close() {
  set_fault(LinkFault::kReset);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void FaultProxy::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
          return;
        }
        auto link = std::make_shared<Link>(*this, std::move(socket));
        links_.insert(link);
        if (fault_ == LinkFault::kReset) {
          link->Reset();
        } else {
          link->Start();
        }
        Accept();
      });
}

}  // namespace medlarspread::soak

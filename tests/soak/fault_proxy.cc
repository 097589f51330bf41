// Forwards bytes between the two sockets of each link and applies the fault.

#include "tests/soak/fault_proxy.h"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>

#include "src/http1/caller_listener.h"

namespace medlarspread::soak {

namespace {

using boost::asio::ip::tcp;

constexpr auto kDelay = std::chrono::milliseconds(80);

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
    auto timer = std::make_shared<boost::asio::steady_timer>(proxy_.context_);
    timer->expires_after(fault == LinkFault::kDelay ? kDelay : kDelay * 0);
    timer->async_wait([self = shared_from_this(), timer, &from, &to, &bytes,
                       size, is_reply](const boost::system::error_code&) {
      boost::asio::async_write(
          to, boost::asio::buffer(bytes.data(), size),
          [self, &from, &to, &bytes, is_reply](
              const boost::system::error_code& error, std::size_t) {
            if (error) {
              self->Close();
              return;
            }
            self->Pump(from, to, bytes, is_reply);
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

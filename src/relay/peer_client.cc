// Runs the HTTP exchanges with peers.

#include "src/relay/peer_client.h"

#include <utility>
#include <vector>

#include "src/http1/caller_listener.h"
#include "src/http1/timed_exchange.h"
#include "src/relay/propagation_delays.h"
#include "src/relay/update_server.h"

namespace medlarspread::relay {

namespace {

using base::ErrorCode;
using base::Step;

constexpr int kHttpVersion = 11;
constexpr base::Duration kListTimeout = base::Milliseconds(1'000);

ErrorCode CodeOf(http1::Status status) {
  switch (status) {
    case http1::Status::gone:
      return ErrorCode::kExpired;
    case http1::Status::not_found:
      return ErrorCode::kNotFound;
    default:
      return ErrorCode::kUnavailable;
  }
}

}  // namespace

base::Duration AnswerTimeout(const std::string& target) {
  if (target == kNewsTarget || target.starts_with(kPositionPrefix)) {
    return kListTimeout;
  }
  return target == kFreshnessTarget ? kPeerTimeoutMargin
                                    : kLongPollWait + kPeerTimeoutMargin;
}

base::Result<StoreUpdate> DecodeResponse(const http1::Response& response,
                                         const std::string& peer) {
  if (response.result() == http1::Status::ok) {
    return DecodeUpdate(response.body(), peer);
  }
  return base::MakeError(CodeOf(response.result()), Step::kPeerLink, peer,
                         "status " + std::to_string(response.result_int()));
}

PeerClient::PeerClient(boost::asio::io_context& context,
                       base::TaskRunner control,
                       std::string self_entry)
    : context_(context),
      control_(std::move(control)),
      self_entry_(std::move(self_entry)) {}

FetchFromPeer PeerClient::fetch() {
  return [self = shared_from_this()](const std::string& peer,
                                     const std::string& target, auto done) {
    self->Fetch(peer, target, std::move(done));
  };
}

void PeerClient::Fetch(const std::string& peer,
                       const std::string& target,
                       std::function<void(base::Result<StoreUpdate>)> done) {
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  target, kHttpVersion);
  request->set(boost::beast::http::field::host, peer);
  request->set(kFollowerHeader, self_entry_);
  http1::TimedExchange exchange;
  exchange.request = std::move(request);
  exchange.timeout = AnswerTimeout(target);
  exchange.step = Step::kPeerLink;
  exchange.peer = peer;
  exchange.done = [done = std::move(done),
                   peer](const base::Result<http1::Response>& response) {
    if (response.is_ok()) {
      done(DecodeResponse(response.value(), peer));
    } else {
      done(response.error());
    }
  };
  const bool is_watch = target.starts_with(kCursorPrefix);
  if (is_watch) {
    CloseOthers(peer);
  }
  http1::StartTimedExchange(ConnectionTo(peer), control_, std::move(exchange));
}

std::shared_ptr<http1::ClientConnection> PeerClient::ConnectionTo(
    const std::string& peer) {
  std::shared_ptr<http1::ClientConnection>& connection = connections_[peer];
  if (connection && connection->is_free()) {
    return connection;
  }
  const auto endpoint = http1::ParseEndpoint(peer);
  if (!endpoint.is_ok()) {
    connections_.erase(peer);
    return nullptr;
  }
  http1::ClientConnection::Settings settings;
  settings.peer = endpoint.value();
  settings.connect_timeout = kPeerTimeoutMargin;
  settings.did_change = [weak = weak_from_this(),
                         peer](http1::ClientConnection& changed) {
    if (const auto self = weak.lock()) {
      self->DidChange(peer, changed);
    }
  };
  connection =
      std::make_shared<http1::ClientConnection>(context_, std::move(settings));
  return connection;
}

void PeerClient::DidChange(const std::string& peer,
                           http1::ClientConnection& connection) {
  const auto row = connections_.find(peer);
  const bool is_last =
      row != connections_.end() && row->second.get() == &connection;
  if (is_last && connection.is_closed()) {
    connections_.erase(row);
  } else if (!is_last && connection.is_free()) {
    connection.Close();
  }
}

void PeerClient::CloseOthers(const std::string& peer) {
  std::vector<std::shared_ptr<http1::ClientConnection>> others;
  for (const auto& [address, connection] : connections_) {
    if (address != peer && connection->is_free()) {
      others.push_back(connection);
    }
  }
  for (const auto& connection : others) {
    connection->Close();
  }
}

}  // namespace medlarspread::relay

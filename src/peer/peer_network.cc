// Opens, identifies and closes the links.

#include "src/peer/peer_network.h"

#include <atomic>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "src/base/task_runner.h"
#include "src/peer/acceptor.h"
#include "src/peer/endpoint.h"
#include "src/peer/link_table.h"

namespace medlarspread::peer {

namespace {

using base::ErrorCode;
using base::Step;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Protocol errors are logged as warnings because an operator must look into
// them. Lost connections are routine.
base::LogLevel LogLevelFor(const base::Error& reason) {
  const bool is_fault = reason.code == ErrorCode::kMalformed ||
                        reason.code == ErrorCode::kTooLarge ||
                        reason.code == ErrorCode::kConflict;
  return is_fault ? base::LogLevel::kWarning : base::LogLevel::kInfo;
}

// The heartbeat that tells an older incarnation of `name` that a newer one
// runs.
Message MakeReplacedNotice(const std::string& name, std::int64_t incarnation) {
  wire::MemberRecord record;
  record.name = name;
  record.incarnation = incarnation;
  wire::Heartbeat heartbeat;
  heartbeat.others.push_back(std::move(record));
  return heartbeat;
}

}  // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PeerNetworkSettings settings,
       boost::asio::io_context& traffic,
       const blackboard::Blackboard& blackboard,
       DidReceive did_receive,
       DidLosePeer did_lose_peer,
       const base::Clock& clock,
       base::Log log);

  base::Status Open();
  base::Status Send(const std::string& peer, Message message);
  void Close();

  const std::string& address() const { return acceptor_->address(); }
  const TrafficCounter& sent() const { return sent_; }
  const TrafficCounter& received() const { return received_; }
  std::size_t link_count() const { return links_.size(); }

 private:
  base::Result<std::string> FindAddress(const std::string& peer) const;
  ConnectionPointer MakeConnection(Connection::Socket socket,
                                   const std::string& label);
  ConnectionPointer Connect(const std::string& peer,
                            const tcp::endpoint& endpoint);
  void DidAccept(Connection::Socket socket);
  base::Status DidRead(Connection& connection, std::string_view envelope);
  void RejectOutdated(Connection& connection,
                      const Sender& sender,
                      std::int64_t newest_incarnation);
  void DidClose(Connection& connection, const base::Error& reason);
  void SchedulePrune();
  void Prune();
  void DiscardRemovedPeers(const blackboard::MembershipView& previous,
                           const blackboard::MembershipView& current);

  const PeerNetworkSettings settings_;
  boost::asio::io_context& traffic_;
  const blackboard::Blackboard& blackboard_;
  const DidReceive did_receive_;
  const DidLosePeer did_lose_peer_;
  const std::shared_ptr<const Codec> codec_;
  const base::TaskRunner timers_;
  const base::Log log_;
  std::atomic<bool> is_closed_ = false;

  // Set by Open().
  std::shared_ptr<Acceptor> acceptor_;
  LinkTable links_;
  TrafficCounter sent_;
  TrafficCounter received_;
  // The membership view that the links were last compared with; accessed on
  // timers_ only.
  std::shared_ptr<const blackboard::MembershipView> pruned_view_;
};

PeerNetwork::Impl::Impl(PeerNetworkSettings settings,
                        boost::asio::io_context& traffic,
                        const blackboard::Blackboard& blackboard,
                        DidReceive did_receive,
                        DidLosePeer did_lose_peer,
                        const base::Clock& clock,
                        base::Log log)
    : settings_(std::move(settings)),
      traffic_(traffic),
      blackboard_(blackboard),
      did_receive_(std::move(did_receive)),
      did_lose_peer_(std::move(did_lose_peer)),
      codec_(std::make_shared<const Codec>(
          Sender{settings_.self_name, settings_.incarnation},
          settings_.max_frame_bytes)),
      timers_(traffic),
      log_(std::move(log)),
      links_({settings_.initial_backoff, settings_.max_backoff},
             clock,
             std::hash<std::string>()(settings_.self_name) ^
                 static_cast<std::uint64_t>(settings_.incarnation)),
      pruned_view_(blackboard.membership.Read()) {}

base::Status PeerNetwork::Impl::Open() {
  acceptor_ = std::make_shared<Acceptor>(
      traffic_, settings_.initial_backoff, log_,
      [weak = weak_from_this()](Connection::Socket socket) {
        if (const auto self = weak.lock()) {
          self->DidAccept(std::move(socket));
        }
      });
  const base::Status status = acceptor_->Open(settings_.listen_address);
  if (status.is_ok()) {
    SchedulePrune();
  }
  return status;
}

void PeerNetwork::Impl::DidAccept(Connection::Socket socket) {
  error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) {
    // The peer has already closed the connection.
    return;
  }
  const auto connection =
      MakeConnection(std::move(socket), FormatEndpoint(remote));
  if (links_.AddIncoming(connection)) {
    connection->Start();
  }
}

ConnectionPointer PeerNetwork::Impl::MakeConnection(Connection::Socket socket,
                                                    const std::string& label) {
  const auto self = shared_from_this();
  return std::make_shared<Connection>(
      std::move(socket), codec_, settings_.max_queue_bytes, label,
      Connection::Handlers{
          [self](Connection& connection, std::string_view envelope) {
            return self->DidRead(connection, envelope);
          },
          [self](Connection& connection, const base::Error& reason) {
            self->DidClose(connection, reason);
          }});
}

ConnectionPointer PeerNetwork::Impl::Connect(const std::string& peer,
                                             const tcp::endpoint& endpoint) {
  const auto connection = MakeConnection(
      Connection::Socket(boost::asio::make_strand(traffic_)), peer);
  connection->Connect(endpoint, settings_.connect_timeout);
  return connection;
}

base::Result<std::string> PeerNetwork::Impl::FindAddress(
    const std::string& peer) const {
  const auto view = blackboard_.membership.Read();
  for (const auto* table : {&view->members, &view->absent}) {
    const auto member = table->find(peer);
    if (member != table->end()) {
      return member->second.address;
    }
  }
  return base::MakeError(ErrorCode::kNotFound, Step::kPeerLink, peer,
                         "not a member");
}

base::Status PeerNetwork::Impl::Send(const std::string& peer, Message message) {
  if (peer == settings_.self_name) {
    return base::MakeError(ErrorCode::kInvalidArgument, Step::kPeerLink, peer,
                           "message to this daemon itself");
  }
  const auto address = FindAddress(peer);
  if (!address.is_ok()) {
    return address.error();
  }
  const auto endpoint = ParseEndpoint(address.value());
  if (!endpoint.is_ok()) {
    return endpoint.error();
  }
  const std::size_t kind = message.index();
  auto frame = codec_->Encode(std::move(message), peer);
  if (!frame.is_ok()) {
    return frame.error();
  }
  const auto link = links_.FindOrConnect(
      peer, address.value(), [&] { return Connect(peer, endpoint.value()); });
  if (!link.is_ok()) {
    return link.error();
  }
  if (link.value().replaced) {
    link.value().replaced->Close(base::MakeError(ErrorCode::kConnectionLost,
                                                 Step::kPeerLink, peer,
                                                 "peer has a new address"));
  }
  const std::size_t bytes = frame.value().size();
  const base::Status status =
      link.value().connection->Send(std::move(frame.value()));
  if (status.is_ok()) {
    sent_.Add(kind, bytes);
  }
  return status;
}

base::Status PeerNetwork::Impl::DidRead(Connection& connection,
                                        std::string_view envelope) {
  if (is_closed_) {
    return base::Done{};
  }
  auto received = codec_->Decode(envelope, connection.label());
  if (!received.is_ok()) {
    return received.error();
  }
  const Sender& sender = received.value().sender;
  received_.Add(received.value().message.index(),
                kFrameHeaderBytes + envelope.size());
  const auto identity =
      links_.RecordSender(connection.shared_from_this(), sender);
  for (const ConnectionPointer& outdated : identity.outdated) {
    outdated->Close(base::MakeError(ErrorCode::kConnectionLost, Step::kPeerLink,
                                    sender.name, "older incarnation"));
  }
  if (sender.incarnation < identity.newest_incarnation) {
    RejectOutdated(connection, sender, identity.newest_incarnation);
    return base::Done{};
  }
  did_receive_(sender, std::move(received.value().message));
  return base::Done{};
}

void PeerNetwork::Impl::RejectOutdated(Connection& connection,
                                       const Sender& sender,
                                       std::int64_t newest_incarnation) {
  const base::Error reason = base::MakeError(
      ErrorCode::kConflict, Step::kPeerLink, sender.name,
      "incarnation " + std::to_string(sender.incarnation) + " is older than " +
          std::to_string(newest_incarnation));
  auto notice = codec_->Encode(
      MakeReplacedNotice(sender.name, newest_incarnation), sender.name);
  if (notice.is_ok()) {
    // The queue can't be full: nothing else is sent on an incoming link.
    const base::Status status = connection.Send(std::move(notice.value()));
    if (!status.is_ok()) {
      log_.DidFail(
          status.error(),
          "an older incarnation could not be notified that it was replaced");
    }
  }
  connection.CloseAfterFlush(reason);
}

void PeerNetwork::Impl::DidClose(Connection& connection,
                                 const base::Error& reason) {
  const bool is_failure = reason.code != ErrorCode::kStopping;
  const std::string peer = links_.Remove(connection, is_failure);
  if (is_failure) {
    log_.Write({.level = LogLevelFor(reason),
                .step = reason.step,
                .peer = peer.empty() ? reason.peer : peer,
                .message = "link closed: " + reason.ToString()});
  }
  if (!is_closed_ && !peer.empty()) {
    did_lose_peer_(peer);
  }
}

void PeerNetwork::Impl::SchedulePrune() {
  timers_.After(settings_.prune_interval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->is_closed_) {
      self->Prune();
      self->SchedulePrune();
    }
  });
}

void PeerNetwork::Impl::Prune() {
  const auto view = blackboard_.membership.Read();
  const auto previous = std::exchange(pruned_view_, view);
  if (previous == view) {
    return;
  }
  for (const auto& [name, member] : previous->members) {
    if (view->members.contains(name)) {
      continue;
    }
    for (const ConnectionPointer& link : links_.LinksOf(name)) {
      link->Close(base::MakeError(ErrorCode::kConnectionLost, Step::kPeerLink,
                                  name, "no longer a member"));
    }
  }
  DiscardRemovedPeers(*previous, *view);
}

// A peer that is no longer a member or absent was removed permanently.
void PeerNetwork::Impl::DiscardRemovedPeers(
    const blackboard::MembershipView& previous,
    const blackboard::MembershipView& current) {
  for (const auto* table : {&previous.members, &previous.absent}) {
    for (const auto& [name, member] : *table) {
      if (!current.members.contains(name) && !current.absent.contains(name)) {
        links_.DiscardPeer(name);
      }
    }
  }
}

void PeerNetwork::Impl::Close() {
  if (is_closed_.exchange(true)) {
    return;
  }
  if (acceptor_) {
    acceptor_->Close();
  }
  const base::Error reason = base::MakeError(
      ErrorCode::kStopping, Step::kStop, "", "this daemon is shutting down");
  const auto links = links_.CloseToNewLinks();
  for (const ConnectionPointer& link : links) {
    link->CloseAfterFlush(reason);
  }
  if (links_.WaitUntilEmpty(settings_.flush_timeout)) {
    return;
  }
  log_.DidFail(reason,
               std::to_string(links_.size()) +
                   " links still had queued messages after the flush timeout");
  for (const ConnectionPointer& link : links) {
    link->Close(reason);
  }
  links_.WaitUntilEmpty(settings_.flush_timeout);
}

PeerNetwork::PeerNetwork(PeerNetworkSettings settings,
                         boost::asio::io_context& traffic,
                         const blackboard::Blackboard& blackboard,
                         DidReceive did_receive,
                         DidLosePeer did_lose_peer,
                         base::Clock clock,
                         base::Log log)
    : impl_(std::make_shared<Impl>(std::move(settings),
                                   traffic,
                                   blackboard,
                                   std::move(did_receive),
                                   std::move(did_lose_peer),
                                   clock,
                                   std::move(log))) {}

PeerNetwork::~PeerNetwork() {
  impl_->Close();
}

base::Status PeerNetwork::Open() {
  return impl_->Open();
}

const std::string& PeerNetwork::address() const {
  return impl_->address();
}

PeerPort PeerNetwork::port() {
  return {[impl = impl_](const std::string& peer, Message message) {
    return impl->Send(peer, std::move(message));
  }};
}

void PeerNetwork::Close() {
  impl_->Close();
}

const TrafficCounter& PeerNetwork::sent() const {
  return impl_->sent();
}

const TrafficCounter& PeerNetwork::received() const {
  return impl_->received();
}

std::size_t PeerNetwork::link_count() const {
  return impl_->link_count();
}

}  // namespace medlarspread::peer

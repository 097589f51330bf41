// Assembles the parts of the targets controller and posts tasks to them.

#include "src/targets/targets_controller.h"

#include <atomic>
#include <optional>
#include <utility>

#include "src/targets/change_session.h"
#include "src/targets/held_targets.h"
#include "src/targets/peer_exchange.h"
#include "src/targets/store_reader.h"

namespace medlarspread::targets {

namespace {

// How often a starting daemon checks whether it has become ready.
constexpr base::Duration kReadyInterval = base::Milliseconds(50);

base::Error MakeRefusal(base::ErrorCode code, std::string detail) {
  return base::MakeError(code, base::Step::kTargets, "", std::move(detail));
}

}  // namespace

// Shared with the tasks posted to the control sequence. All but the
// constructor, is_ready() and alarms() run there.
class TargetsController::Impl
    : public std::enable_shared_from_this<TargetsController::Impl> {
 public:
  Impl(const TargetsSettings& settings,
       base::Clock clock,
       base::Random& random,
       base::TaskRunner control,
       store::Store store,
       peer::PeerPort peers,
       blackboard::Blackboard& blackboard,
       const base::Log& log)
      : settings_(settings),
        clock_(clock),
        control_(control),
        store_(store),
        blackboard_(blackboard),
        held_(std::make_shared<HeldTargets>(clock, blackboard, log)),
        peers_(std::make_shared<PeerExchange>(settings,
                                              random,
                                              control,
                                              std::move(peers),
                                              blackboard,
                                              held_,
                                              log)),
        reader_(std::make_shared<StoreReader>(settings,
                                              random,
                                              control,
                                              store,
                                              blackboard,
                                              held_)) {}

  void Start() {
    reader_->Start();
    CheckReady();
  }

  void Stop() {
    is_stopped_ = true;
    reader_->Stop();
    peers_->Stop();
  }

  void Change(TargetsChange change, ChangeCallback callback);

  const base::TaskRunner& control() const { return control_; }
  PeerExchange& peers() { return *peers_; }
  bool is_ready() const { return is_ready_.load(); }
  TargetsAlarms alarms() const { return held_->alarms(); }

 private:
  bool is_settled() const { return blackboard_.membership.Read()->is_settled; }
  // Sets `is_ready_` once the daemon is ready; until then checks again later.
  void CheckReady();
  // Returns why no change can be accepted for processing now, if so.
  std::optional<base::Error> FindObstacle() const;

  const TargetsSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::Store store_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<HeldTargets> held_;
  const std::shared_ptr<PeerExchange> peers_;
  const std::shared_ptr<StoreReader> reader_;

  // When membership settled; used while the daemon starts.
  std::optional<base::MonotonicTime> settled_at_;
  bool is_stopped_ = false;
  std::atomic<bool> is_ready_ = false;
  // Invariant: at most settings_.max_changes.
  int changes_ = 0;
};

void TargetsController::Impl::CheckReady() {
  if (!is_settled()) {
    settled_at_.reset();
  } else if (!settled_at_) {
    settled_at_ = clock_.Now();
  }
  // NOTE: a single peer's revision is not enough, because the peer may have
  // started from the same restored store. The wait gives more peers time to
  // send a heartbeat.
  const bool has_waited =
      settled_at_ && clock_.Now() - *settled_at_ >= settings_.peer_wait;
  if (held_->is_known() && has_waited &&
      peers_->HighestLive() <= held_->revision()) {
    is_ready_ = true;
    return;
  }
  if (!is_stopped_) {
    control_.After(kReadyInterval,
                   [self = shared_from_this()] { self->CheckReady(); });
  }
}

std::optional<base::Error> TargetsController::Impl::FindObstacle() const {
  if (is_stopped_) {
    return MakeRefusal(base::ErrorCode::kStopping, "this VM is stopping");
  }
  if (!is_ready_) {
    return MakeRefusal(base::ErrorCode::kUnavailable,
                       "this VM has not learnt the targets yet");
  }
  if (!is_settled()) {
    return MakeRefusal(base::ErrorCode::kUnavailable,
                       "this VM does not know its peers at present");
  }
  if (changes_ >= settings_.max_changes) {
    return MakeRefusal(base::ErrorCode::kOverloaded,
                       "too many changes are in progress");
  }
  return std::nullopt;
}

void TargetsController::Impl::Change(TargetsChange change,
                                     ChangeCallback callback) {
  if (auto fault = FindFault(change)) {
    callback(std::move(*fault));
    return;
  }
  if (auto obstacle = FindObstacle()) {
    callback(ChangeRefused{std::move(*obstacle), settings_.retry_after});
    return;
  }
  ++changes_;
  auto finish = [self = shared_from_this(),
                 callback = std::move(callback)](ChangeOutcome outcome) {
    --self->changes_;
    callback(std::move(outcome));
  };
  std::make_shared<ChangeSession>(settings_, clock_, control_, store_, held_,
                                  peers_, std::move(change), std::move(finish))
      ->Start();
}

TargetsController::TargetsController(const TargetsSettings& settings,
                                     base::Clock clock,
                                     base::Random& random,
                                     base::TaskRunner control,
                                     store::Store store,
                                     peer::PeerPort peers,
                                     blackboard::Blackboard& blackboard,
                                     base::Log log)
    : impl_(std::make_shared<Impl>(settings,
                                   std::move(clock),
                                   random,
                                   std::move(control),
                                   std::move(store),
                                   std::move(peers),
                                   blackboard,
                                   log)) {}

TargetsController::~TargetsController() {
  Stop();
}

void TargetsController::Start() {
  impl_->control().Post([impl = impl_] { impl->Start(); });
}

void TargetsController::Stop() {
  impl_->control().Post([impl = impl_] { impl->Stop(); });
}

void TargetsController::DidReceive(const peer::Sender& sender,
                                   const peer::wire::TargetsRequest& request) {
  impl_->control().Post([impl = impl_, sender, request] {
    impl->peers().DidReceiveRequest(sender, request);
  });
}

void TargetsController::DidReceive(const peer::Sender& sender,
                                   const peer::wire::TargetsBody& body) {
  impl_->control().Post([impl = impl_, sender, body] {
    impl->peers().DidReceiveBody(sender, body);
  });
}

void TargetsController::DidSeeRevision(const std::string& peer,
                                       std::int64_t revision,
                                       std::int64_t digest) {
  impl_->control().Post([impl = impl_, peer, revision, digest] {
    impl->peers().DidSeeRevision(peer, revision, digest);
  });
}

void TargetsController::Change(TargetsChange change, ChangeCallback callback) {
  impl_->control().Post([impl = impl_, change = std::move(change),
                         callback = std::move(callback)]() mutable {
    impl->Change(std::move(change), std::move(callback));
  });
}

bool TargetsController::is_ready() const {
  return impl_->is_ready();
}

TargetsAlarms TargetsController::alarms() const {
  return impl_->alarms();
}

}  // namespace medlarspread::targets

// Dispatches each change in the store to a controller by the key's prefix.

#include "src/daemon/store_controllers.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "src/membership/daemon_entry.h"
#include "src/platform/configuration_decoder.h"
#include "src/quarantine/verdict_entry.h"

namespace medlarspread::daemon {

namespace {

using blackboard::LifecycleState;

static_assert(membership::LeaseRegistrationSettings{}.reader_renewal_interval ==
              relay::kStoreContactInterval);

// The lease of keys that must outlive this daemon.
constexpr std::int64_t kNoLease = 0;

// Parses "domain=region,...", which was validated with the settings.
std::map<std::string, std::string> ParseRegions(std::string text) {
  std::erase(text, ' ');
  std::map<std::string, std::string> regions;
  std::istringstream pairs(text);
  for (std::string pair; std::getline(pairs, pair, ',');) {
    const auto equals = pair.find('=');
    regions[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return regions;
}

blackboard::Member MakeSelf(const settings::DaemonSettings& settings) {
  const settings::VmSettings& vm = settings.vm;
  blackboard::Member self;
  self.address = settings.peers.address;
  self.name = vm.name;
  self.region = vm.region;
  self.failure_domain = vm.failure_domain;
  self.query_address = settings.peers.query_address;
  self.processor_share = vm.processor_share;
  return self;
}

// How long a daemon that found no other daemon at its start waits before it
// reads the store again: VMs with a larger share of a processor have registered
// by then, and it is well before this daemon would register itself.
base::Duration InitialRereadDelay(const settings::VmSettings& vm) {
  constexpr int kPercent = 70;
  return membership::RegistrationDelay({}, vm.processor_share) * kPercent / 100;
}

std::vector<std::string> ParseAddresses(std::string text) {
  std::erase(text, ' ');
  std::vector<std::string> addresses;
  std::istringstream parts(text);
  for (std::string address; std::getline(parts, address, ',');) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

std::shared_ptr<http1::CallerListener> MakePeerListener(
    boost::asio::io_context& context,
    const std::string& address,
    std::shared_ptr<relay::UpdateServer> server,
    const base::Clock& clock) {
  http1::CallerListener::Settings listener;
  listener.address = address;
  listener.limits = [] { return http1::MessageLimits{}; };
  listener.handle = [server = std::move(server)](const http1::Request& request,
                                                 http1::Respond respond) {
    return server->Handle(request, std::move(respond));
  };
  return std::make_shared<http1::CallerListener>(context, std::move(listener),
                                                 clock);
}

}  // namespace

StoreControllers::StoreControllers(const settings::DaemonSettings& settings,
                                   boost::asio::io_context& context,
                                   base::Clock clock,
                                   std::shared_ptr<base::Random> random,
                                   base::TaskRunner control,
                                   store::EventSource store,
                                   blackboard::Blackboard& blackboard,
                                   base::Log log)
    : clock_(clock),
      blackboard_(blackboard),
      log_(log),
      regions_(ParseRegions(settings.vm.regions)),
      leaves_(blackboard, log),
      routes_(blackboard, log),
      outages_(std::make_shared<store::OutageDetector>(
          store::OutageDetectorSettings{},
          clock,
          log)),
      store_(outages_->Observe(std::move(store))),
      verdicts_(std::make_shared<quarantine::VerdictController>(
          control,
          random,
          [put = store_.put](const std::string& key,
                             const std::string& value,
                             std::function<void(base::Status)> done) {
            put(key, value, kNoLease, std::move(done));
          },
          blackboard,
          log)),
      event_log_(clock.Now().microseconds),
      update_reader_(std::make_shared<relay::UpdateReader>(
          relay::UpdateReaderSettings{
              {settings.vm.name, settings.vm.failure_domain,
               ParseAddresses(settings.peers.seeds)},
              InitialRereadDelay(settings.vm)},
          clock,
          control,
          store_,
          outages_,
          std::make_shared<relay::PeerClient>(
              context,
              control,
              membership::EncodeNamedEntry(MakeSelf(settings)))
              ->fetch(),
          blackboard,
          [this] { DidRestoreStore(); },
          log)),
      update_server_(std::make_shared<relay::UpdateServer>(
          event_log_,
          control,
          [update_reader = update_reader_] {
            return update_reader->freshness();
          },
          [this](const std::string& entry) {
            registration_->DidHearFollower(entry);
          })),
      peer_listener_(MakePeerListener(context,
                                      settings.peers.address,
                                      update_server_,
                                      clock)),
      registration_(std::make_shared<membership::LeaseRegistration>(
          membership::LeaseRegistrationSettings{},
          MakeSelf(settings),
          clock,
          control,
          store_,
          blackboard,
          [update_reader = update_reader_] {
            return update_reader->is_reading_store();
          },
          [update_reader = update_reader_] {
            return update_reader->renewal_delay();
          },
          [update_reader = update_reader_,
           update_server = update_server_](const base::Status& renewed) {
            if (renewed.is_ok()) {
              update_reader->DidRenew();
              update_server->DidConfirm();
            } else {
              update_reader->DidFailToRenew(renewed.error());
            }
          },
          log)),
      follower_(std::make_shared<store::Follower>(
          store::FollowerSettings{},
          clock,
          std::move(random),
          control,
          update_reader_->source(),
          outages_,
          [this](const store::Position& position) {
            event_log_.DidList(position);
          },
          [this](const std::vector<store::Event>& events,
                 const store::Position& reached) {
            DidChange(events, reached);
          },
          [this](const store::Position& position) { DidReach(position); },
          log)) {}

void StoreControllers::Start() {
  registration_->Start();
  follower_->Start();
}

void StoreControllers::Stop() {
  registration_->Stop();
  follower_->Stop();
  verdicts_->Stop();
}

void StoreControllers::DidChange(const std::vector<store::Event>& events,
                                 const store::Position& reached) {
  constexpr std::string_view kLeaves = platform::kLeafKeyPrefix;
  constexpr std::string_view kDaemons = membership::kDaemonKeyPrefix;
  constexpr std::string_view kFollowers = membership::kFollowersKeyPrefix;
  constexpr std::string_view kVerdicts = quarantine::kVerdictKeyPrefix;
  for (const store::Event& event : events) {
    const std::string_view key = event.key;
    if (key.starts_with(kFollowers)) {
      registration_->DidChangeFollowers(event.key.substr(kFollowers.size()),
                                        event.value);
    } else if (key.starts_with(kLeaves)) {
      DidChangeLeaf(event.key.substr(kLeaves.size()), event);
    } else if (key.starts_with(kDaemons)) {
      registration_->DidChange(event.key.substr(kDaemons.size()), event.value);
    } else if (key.starts_with(kVerdicts)) {
      verdicts_->DidChange(event.key.substr(kVerdicts.size()), event.value);
    } else if (key == platform::kConfigurationKey) {
      DidChangeConfiguration(event);
    }
  }
  leaves_.Publish();
  registration_->Publish();
  CheckReadiness();
  event_log_.Append(events, reached);
  update_server_->DidAppend();
}

void StoreControllers::DidReach(const store::Position& position) {
  event_log_.DidReach(position);
  blackboard_.store.Write(event_log_.position());
  update_server_->DidConfirm();
}

void StoreControllers::DidRestoreStore() {
  registration_->DidRestoreStore();
  verdicts_->DidRestoreStore();
}

void StoreControllers::DidChangeLeaf(const std::string& id,
                                     const store::Event& event) {
  if (!event.value) {
    leaves_.DidRemove(id);
    return;
  }
  auto entry = platform::DecodeLeaf(id, *event.value, clock_.Now());
  if (!entry.is_ok()) {
    leaves_.DidInvalidate(id, entry.error());
    return;
  }
  blackboard::Upstream& leaf = entry.value().upstream;
  const auto region = regions_.find(leaf.failure_domain);
  if (region != regions_.end()) {
    leaf.region = region->second;
  }
  leaves_.DidWrite(std::move(entry.value()));
}

void StoreControllers::DidChangeConfiguration(const store::Event& event) {
  if (!event.value) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kTargets,
                .message = "the configuration was removed from the store; "
                           "keeping the last one"});
    return;
  }
  const auto freshness = update_reader_->freshness();
  const targets::RoutesOrigin origin{
      event.position(), update_reader_->DescribeSource(),
      freshness ? std::optional(freshness->age) : std::nullopt};
  if (routes_.DidRead(platform::DecodeConfiguration(*event.value), origin)) {
    leaves_.SetConnections(blackboard_.routes.Read()->connections);
  }
}

void StoreControllers::CheckReadiness() {
  const auto lifecycle = blackboard_.lifecycle.Read();
  if (lifecycle->state != LifecycleState::kStarting ||
      blackboard_.routes.Read()->revision == 0) {
    return;
  }
  blackboard_.lifecycle.Write({LifecycleState::kReady, ""});
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kAdmit,
              .message = "ready"});
}

}  // namespace medlarspread::daemon

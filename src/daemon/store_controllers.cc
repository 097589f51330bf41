// Hands each change in the store to the controller that it concerns.

#include "src/daemon/store_controllers.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "src/platform/configuration_decoder.h"

namespace medlarspread::daemon {

namespace {

using blackboard::LifecycleState;

// "domain=region" with commas between; checked when the settings were read.
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

blackboard::Member MakeSelf(const settings::VmSettings& vm) {
  blackboard::Member self;
  self.name = vm.name;
  self.region = vm.region;
  self.failure_domain = vm.failure_domain;
  return self;
}

}  // namespace

StoreControllers::StoreControllers(const settings::DaemonSettings& settings,
                                   base::Clock clock,
                                   std::shared_ptr<base::Random> random,
                                   base::TaskRunner control,
                                   store::EventSource source,
                                   blackboard::Blackboard& blackboard,
                                   base::Log log)
    : clock_(clock),
      blackboard_(blackboard),
      log_(log),
      regions_(ParseRegions(settings.vm.regions)),
      leafs_(blackboard, log),
      routes_(blackboard, log),
      registration_(std::make_shared<membership::LeaseRegistration>(
          membership::LeaseRegistrationSettings{},
          MakeSelf(settings.vm),
          control,
          source,
          blackboard,
          log)),
      follower_(std::make_shared<store::Follower>(
          store::FollowerSettings{},
          clock,
          std::move(random),
          control,
          source,
          [this](const std::vector<store::Event>& events) {
            DidChange(events);
          },
          log)) {}

void StoreControllers::Start() {
  registration_->Start();
  follower_->Start();
}

void StoreControllers::Stop() {
  registration_->Stop();
  follower_->Stop();
}

void StoreControllers::DidChange(const std::vector<store::Event>& events) {
  constexpr std::string_view kLeafs = platform::kLeafKeyPrefix;
  constexpr std::string_view kDaemons = membership::kDaemonKeyPrefix;
  for (const store::Event& event : events) {
    const std::string_view key = event.key;
    if (key.starts_with(kLeafs)) {
      DidChangeLeaf(event.key.substr(kLeafs.size()), event);
    } else if (key.starts_with(kDaemons)) {
      registration_->DidChange(event.key.substr(kDaemons.size()), event.value);
    } else if (key == platform::kConfigurationKey) {
      DidChangeConfiguration(event);
    }
  }
  leafs_.Publish();
  registration_->Publish();
  CheckReadiness();
}

void StoreControllers::DidChangeLeaf(const std::string& id,
                                     const store::Event& event) {
  if (!event.value) {
    leafs_.DidRemove(id);
    return;
  }
  auto leaf = platform::DecodeLeaf(id, *event.value, clock_.Now());
  if (!leaf.is_ok()) {
    log_.DidFail(leaf.error(), "an entry that can't be read is left out");
    return;
  }
  const auto region = regions_.find(leaf.value().failure_domain);
  if (region != regions_.end()) {
    leaf.value().region = region->second;
  }
  leafs_.DidWrite(std::move(leaf.value()));
}

void StoreControllers::DidChangeConfiguration(const store::Event& event) {
  if (!event.value) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kTargets,
                .message = "the configuration was removed; the last one stays "
                           "in force"});
    return;
  }
  if (routes_.DidRead(platform::DecodeConfiguration(*event.value))) {
    leafs_.SetConnections(blackboard_.routes.Read()->connections);
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

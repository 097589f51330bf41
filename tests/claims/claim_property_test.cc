// Tests random interleavings of all events that concern claims: in any order,
// an identifier is granted at most once and each claim call is answered exactly
// once. A failing run prints its seed and the shrunk sequence.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/claims/claims_world.h"

namespace medlarspread::claims {
namespace {

constexpr int kDaemons = 3;
constexpr int kIdentifiers = 3;

// One event. `kind` selects the type, `first` and `second` the daemons.
struct Event {
  int kind = 0;
  int first = 0;
  int second = 0;
};

void showValue(const Event& event, std::ostream& stream) {  // NOLINT
  stream << "{" << event.kind << "," << event.first << "," << event.second
         << "}";
}

rc::Gen<Event> AnyEvent() {
  return rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 12)),
      rc::gen::set(&Event::first, rc::gen::inRange(0, kDaemons)),
      rc::gen::set(&Event::second, rc::gen::inRange(0, kDaemons)));
}

template <typename Fault>
std::function<Fault()> Drawn(std::vector<Fault> faults,
                             std::shared_ptr<base::Random> random) {
  return [faults = std::move(faults), random = std::move(random)] {
    return faults[random->Below(faults.size())];
  };
}

void SetFaults(ClaimsWorld& world, std::uint64_t seed) {
  const auto random = std::make_shared<base::Random>(seed);
  world.store().next_fault = Drawn<StoreFault>(
      {StoreFault::kNone, StoreFault::kNone, StoreFault::kNone,
       StoreFault::kLoseReply, StoreFault::kLoseRequest, StoreFault::kApplyLate,
       StoreFault::kUnavailable},
      random);
  world.next_link_fault = Drawn<LinkFault>(
      {LinkFault::kNone, LinkFault::kNone, LinkFault::kLose,
       LinkFault::kDuplicate, LinkFault::kLate, LinkFault::kRefuse},
      random);
}

void Happen(ClaimsWorld& world,
            const std::vector<std::string>& ids,
            const Event& event) {
  constexpr std::int64_t kShortStepMilliseconds = 30;
  constexpr std::int64_t kLongStepMilliseconds = 400;
  const std::string& id = ids[static_cast<std::size_t>(event.second)];
  switch (event.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      world.Ask(event.first, id);
      return;
    case 4:
      world.Ask(event.first, id, base::Milliseconds(30));
      return;
    case 5:
      world.Pause(event.first);
      return;
    case 6:
      world.Resume(event.first);
      return;
    case 7:
      world.Restart(event.first);
      return;
    case 8:
      world.SetView(event.first, {event.first, event.second});
      return;
    case 9:
      world.Advance(base::Milliseconds(1 + event.second));
      return;
    case 10:
      world.Advance(
          base::Milliseconds(kShortStepMilliseconds * (1 + event.second)));
      return;
    default:
      world.Advance(
          base::Milliseconds(kLongStepMilliseconds * (1 + event.second)));
      return;
  }
}

TEST(ClaimPropertyTest, OneIdentifierIsGrantedAtMostOnce) {
  const bool holds = rc::check([](std::uint64_t seed) {
    ClaimsWorld world(kDaemons);
    SetFaults(world, seed);
    std::vector<std::string> ids;
    ids.reserve(kIdentifiers);
    for (int index = 0; index < kIdentifiers; ++index) {
      ids.push_back(world.MakeId("aaaaaaa" + std::to_string(index)));
    }
    const auto events = *rc::gen::container<std::vector<Event>>(AnyEvent());
    for (const Event& event : events) {
      Happen(world, ids, event);
      RC_ASSERT(world.max_grants() <= 1);
    }
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      world.Resume(daemon);
    }
    world.Advance(base::Milliseconds(10'000));
    RC_ASSERT(world.max_grants() <= 1);
    RC_ASSERT(world.max_answers() <= 1);
    RC_TAG(world.max_grants());
  });
  EXPECT_TRUE(holds);
}

// Checks that the property can fail: if a daemon sends on an unsettled claim,
// as if a swap of unknown outcome had succeeded, a request is sent twice.
TEST(ClaimPropertyTest, SendingOnAnUnsettledClaimWouldDouble) {
  ClaimsWorld world(2);
  const std::string id = world.MakeId("aaaaaaaa");
  world.store().next_fault = [] { return StoreFault::kLoseRequest; };
  const auto first = world.Ask(0, id, base::Milliseconds(300));
  world.Advance(base::Milliseconds(3000));
  world.store().next_fault = [] { return StoreFault::kNone; };
  const auto second = world.Ask(1, id);
  world.Advance(base::Milliseconds(3000));
  EXPECT_EQ(world.result(first).outcome, ClaimOutcome::kUnsettled);
  EXPECT_EQ(world.result(second).outcome, ClaimOutcome::kGranted);
}

}  // namespace
}  // namespace medlarspread::claims

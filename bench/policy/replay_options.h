// What one replay runs with.

#ifndef MEDLARSPREAD_BENCH_POLICY_REPLAY_OPTIONS_H_
#define MEDLARSPREAD_BENCH_POLICY_REPLAY_OPTIONS_H_

#include <cstdint>
#include <vector>

#include "src/admission/second_send_policy.h"
#include "src/admission/urgency_queue.h"
#include "src/base/name_table.h"
#include "src/blackboard/views.h"

namespace medlarspread::bench {

struct ReplayClass {
  blackboard::ClassTargets targets;
  // Its part of the offered load; the parts add up to 1.
  double share = 0.0;
};

// How the gate learns of the waits.
enum class WaitNews {
  // From the queues themselves, ten milliseconds old at the most.
  kFresh,
  // From replies to the same entry and class; counted down as they age.
  kReplies,
  // The same, but each reply tells of all classes.
  kRepliesOfAll,
  // From replies to the same entry and class; halved every 50 ms.
  kRepliesHalved,
};

constexpr base::NameTable<WaitNews, 4> kWaitNewsNames{
    {{{WaitNews::kFresh, "fresh"},
      {WaitNews::kReplies, "replies"},
      {WaitNews::kRepliesOfAll, "replies_of_all"},
      {WaitNews::kRepliesHalved, "replies_halved"}}}};

struct ReplayOptions {
  std::uint64_t seed = 1;
  // Offered load as a share of what the slots can do.
  double load = 0.8;
  double seconds = 30.0;
  int shards = 10;
  int replicas = 3;
  int slots = 2;
  double mean_service_ms = 5.0;
  // Share of requests that take ten times as long.
  double straggler_share = 0.01;
  admission::UrgencyOrder order = admission::UrgencyOrder::kClassSlack;
  // 0 sends nothing a second time.
  double second_send_share = admission::SecondSendPolicy::kDefaultShare;
  // After this multiple of the typical service time, at the least.
  double second_send_multiple = admission::SecondSendPolicy::kDefaultMultiple;
  bool has_gate = true;
  WaitNews news = WaitNews::kFresh;
  // Daemons that take requests in; each sees the replies to its own.
  int entries = 9;
  std::vector<ReplayClass> classes;
};

}  // namespace medlarspread::bench

#endif  // MEDLARSPREAD_BENCH_POLICY_REPLAY_OPTIONS_H_

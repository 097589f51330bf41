// Runs the parts of the burn report on the control sequence: collects counts at
// a fixed interval, flushes and rolls up on jittered timers, and reports on
// demand.

#include "src/burn/burn_controller.h"

#include <utility>

#include "src/burn/burn_view.h"
#include "src/burn/count_writer.h"
#include "src/burn/lost_member_monitor.h"
#include "src/burn/own_counts.h"
#include "src/burn/report_builder.h"
#include "src/burn/roll_up_runner.h"
#include "src/burn/segment_reader.h"
#include "src/burn/sharded_counts.h"

namespace medlarspread::burn {

namespace {

constexpr int kMaxStopAttempts = 4;
constexpr base::Duration kStopRetryDelay = base::Milliseconds(500);
// A member's counts are overdue after this many flush intervals without a
// write.
constexpr int kGraceIntervals = 3;

// Returns 0.75 to 1.25 times `mean`, so that VMs started together do not write
// at the same time.
base::Duration Jitter(base::Duration mean, base::Random& random) {
  constexpr double kLeast = 0.75;
  constexpr double kSpread = 0.5;
  const double factor = kLeast + kSpread * random.Unit();
  return base::Duration(
      static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
}

std::int64_t DrawNonce(base::Random& random) {
  // JSON parsers that use doubles represent integers below 2^53 exactly.
  constexpr std::uint64_t kBound = std::uint64_t{1} << 53;
  return static_cast<std::int64_t>(random.Below(kBound));
}

}  // namespace

struct BurnController::State {
  State(BurnSettings settings_in,
        base::Clock clock_in,
        base::Random& random_in,
        base::TaskRunner control_in,
        store::Store store_in,
        blackboard::Blackboard& board_in,
        base::Log log_in)
      : settings(std::move(settings_in)),
        clock(std::move(clock_in)),
        random(random_in),
        control(std::move(control_in)),
        store(std::move(store_in)),
        board(board_in),
        log(std::move(log_in)),
        own(settings, clock, DrawNonce(random_in)),
        writer(std::make_shared<CountWriter>(settings, store, own, log)),
        lost_member_monitor(std::make_shared<LostMemberMonitor>(settings,
                                                                clock,
                                                                store,
                                                                board,
                                                                log)),
        roll_up(settings, clock, store, board, log) {}

  const BurnSettings settings;
  const base::Clock clock;
  base::Random& random;
  const base::TaskRunner control;
  const store::Store store;
  blackboard::Blackboard& board;
  const base::Log log;

  const std::shared_ptr<ShardedCounts> counts =
      std::make_shared<ShardedCounts>();
  // Counts of this VM over the last hour, published on the blackboard.
  Cells recent;
  OwnCounts own;
  const std::shared_ptr<CountWriter> writer;
  const std::shared_ptr<LostMemberMonitor> lost_member_monitor;
  RollUpRunner roll_up;

  // Result of the last successful read; used for reports during a store outage.
  StoredCounts last_read;
  std::optional<std::int64_t> last_read_wall_ms;

  bool is_stopping = false;
  int stop_attempts = 0;
  std::function<void()> stopped;
};

BurnController::BurnController(BurnSettings settings,
                               base::Clock clock,
                               base::Random& random,
                               base::TaskRunner control,
                               store::Store store,
                               blackboard::Blackboard& board,
                               base::Log log)
    : state_(std::make_unique<State>(std::move(settings),
                                     std::move(clock),
                                     random,
                                     std::move(control),
                                     std::move(store),
                                     board,
                                     std::move(log))) {}

BurnController::~BurnController() = default;

RecordRequest BurnController::recorder() const {
  return [counts = state_->counts](const RequestRecord& record) {
    counts->Record(record);
  };
}

void BurnController::Start() {
  state_->control.Post([self = shared_from_this()] {
    self->Collect();
    self->Flush();
    self->ScheduleRollUp();
  });
}

void BurnController::Collect() {
  State& state = *state_;
  if (state.is_stopping) {
    return;
  }
  TakeCounts();
  state.lost_member_monitor->CheckMembers();
  state.lost_member_monitor->WriteMarks();
  After(state.settings.collect_interval, &BurnController::Collect);
}

void BurnController::TakeCounts() {
  State& state = *state_;
  const Cells cells = state.counts->Take();
  state.own.Collect(cells);
  Add(cells, state.recent);
  const std::int64_t now_minute = MinuteOf(state.clock.WallMilliseconds());
  ForgetOldCells(state.recent, now_minute);
  state.board.burn.Write(MakeBurnView(state.recent, now_minute));
}

void BurnController::After(base::Duration delay,
                           void (BurnController::*method)()) {
  state_->control.After(delay, [weak = weak_from_this(), method] {
    if (const auto self = weak.lock()) {
      ((*self).*method)();
    }
  });
}

void BurnController::Flush() {
  State& state = *state_;
  if (state.is_stopping) {
    return;
  }
  // Collect first: the written segment claims to cover the time up to now.
  TakeCounts();
  state.writer->Flush(false, [self = shared_from_this()] {
    State& state = *self->state_;
    if (state.is_stopping) {
      self->FlushLast();
      return;
    }
    self->After(Jitter(state.settings.flush_interval, state.random),
                &BurnController::Flush);
  });
}

void BurnController::ScheduleRollUp() {
  After(Jitter(state_->settings.roll_up_interval, state_->random),
        &BurnController::RollUp);
}

void BurnController::RollUp() {
  if (state_->is_stopping) {
    return;
  }
  state_->roll_up.Run([self = shared_from_this()] { self->ScheduleRollUp(); });
}

void BurnController::Stop(std::function<void()> done) {
  state_->control.Post([self = shared_from_this(), done = std::move(done)] {
    State& state = *self->state_;
    state.is_stopping = true;
    state.stopped = done;
    // If a flush is in progress, its completion calls FlushLast().
    if (!state.writer->is_flushing()) {
      self->FlushLast();
    }
  });
}

void BurnController::FlushLast() {
  State& state = *state_;
  TakeCounts();
  ++state.stop_attempts;
  state.writer->Flush(true, [self = shared_from_this()] {
    State& state = *self->state_;
    if (state.own.is_finished() || state.stop_attempts >= kMaxStopAttempts) {
      if (!state.own.is_finished()) {
        state.log.Write({.level = base::LogLevel::kError,
                         .step = base::Step::kStop,
                         .message = "could not write the last burn counts "
                                    "to the store; the burn report will "
                                    "list them as unaccounted"});
      }
      std::exchange(state.stopped, nullptr)();
      return;
    }
    // NOTE: `self` keeps the controller alive until it has stopped.
    state.control.After(kStopRetryDelay, [self] { self->FlushLast(); });
  });
}

void BurnController::Report(ReportQuery query, ReportCallback callback) {
  state_->control.Post([self = shared_from_this(), query = std::move(query),
                        callback = std::move(callback)] {
    State& state = *self->state_;
    ReadCounts(state.store, state.settings, state.control,
               [self, query, callback](base::Result<StoredCounts> read) {
                 callback(self->MakeReport(query, std::move(read)));
               });
  });
}

BurnReport BurnController::MakeReport(const ReportQuery& query,
                                      base::Result<StoredCounts> read) {
  State& state = *state_;
  if (!state.is_stopping) {
    TakeCounts();
  }
  ReportInput input;
  input.reporting_vm = state.settings.vm_name;
  input.now_wall_ms = state.clock.WallMilliseconds();
  input.class_name = query.class_name;
  input.pending_grace = kGraceIntervals * state.settings.flush_interval;
  input.longest_request = state.settings.longest_request;
  input.members = CurrentMembers(*state.board.membership.Read());
  if (read.is_ok()) {
    state.last_read = std::move(read.value());
    state.last_read_wall_ms = input.now_wall_ms;
  } else {
    input.is_partial = true;
    input.notes.push_back("the store could not be read: " +
                          read.error().ToString());
  }
  input.others_read_wall_ms = state.last_read_wall_ms;
  input.segments = state.last_read.segments;
  input.gone_wall_ms = state.last_read.gone_wall_ms;
  for (const std::string& key : state.last_read.damaged) {
    input.is_partial = true;
    input.notes.push_back("the value at " + key +
                          " is damaged; its counts are missing");
  }
  // The counts in memory include everything that this VM has written.
  for (auto& [key, segment] : state.own.Segments()) {
    input.segments[key] = std::move(segment);
  }
  return BuildReport(input);
}

}  // namespace medlarspread::burn

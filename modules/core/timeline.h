#ifndef MODULES_CORE_TIMELINE_H_
#define MODULES_CORE_TIMELINE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace chicory {

/** What an event of the time line tells. */
enum class TimelineEventKind {
  kProcessStarted,
  kProcessStopping,
  kRequestArrived,
  kRequestRefused,
  kRequestFinished,
  kAttemptStarted,
  kAttemptEnded,
  kAttemptCancelled,
  kIdempotencyRecordWritten,
  kIdempotentResponseReplayed,
  kConfigurationInForce,
  kOrphanReleased,
  kPeerState,
  kUpstreamState,
};

/** The stable name of a kind. */
const char* TimelineEventKindName(TimelineEventKind kind);

/** One event of one process. */
struct TimelineEvent {
  /** Lamport stamp: greater than that of every event that caused this one. */
  uint64_t stamp = 0;
  absl::Time time;
  std::string process;
  TimelineEventKind kind = TimelineEventKind::kProcessStarted;
  /** Request or attempt that the event belongs to; may be empty. */
  std::string request;
  /** Key=value pairs, in the order given. */
  std::vector<std::pair<std::string, std::string>> details;
};

/** The recent events of one process, with a causal clock.

    Stamps travel on messages between processes, so that merged events respect
    cause and effect although clocks differ. Holds a bounded number of events
    in memory and drops the oldest. Thread-safe. */
class Timeline {
 public:
  /** `process` names the process in merged output. */
  explicit Timeline(std::string process) : process_(std::move(process)) {}

  /** Records an event at `time` and returns its stamp. */
  uint64_t Record(absl::Time time,
                  TimelineEventKind kind,
                  std::string_view request,
                  std::vector<std::pair<std::string, std::string>> details);

  /** Takes note of a stamp that arrived on a message. */
  void Observe(uint64_t stamp);

  /** The stamp to put on an outgoing message. */
  uint64_t stamp() const;

  /** The events held, oldest first, one JSON object a line. */
  std::string ToJsonLines() const;

 private:
  static constexpr size_t kMaxEvents = 20000;

  const std::string process_;
  mutable absl::Mutex mutex_;
  uint64_t stamp_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<TimelineEvent> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_CORE_TIMELINE_H_

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

/** The kind of a timeline event. */
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

/** Returns the stable name of a kind, as written to exported timelines. */
const char* TimelineEventKindName(TimelineEventKind kind);

/** An event recorded by one process. */
struct TimelineEvent {
  /** Lamport timestamp, greater than that of every event that causally precedes
      this one. */
  uint64_t stamp = 0;
  absl::Time time;
  std::string process;
  TimelineEventKind kind = TimelineEventKind::kProcessStarted;
  /** The request or attempt that the event belongs to; may be empty. */
  std::string request;
  /** Additional key=value pairs, in the order in which they were given. */
  std::vector<std::pair<std::string, std::string>> details;
};

/** Records the recent events of a process, ordered by a Lamport clock.

    Messages between processes carry the clock's timestamp, so that merged
    timelines preserve causal order although wall clocks differ. At most
    kMaxEvents events are kept; older ones are dropped.

    Thread-safe. */
class Timeline {
 public:
  /** `process` identifies this process in merged output. */
  explicit Timeline(std::string process) : process_(std::move(process)) {}

  /** Records an event that occurred at `time` and returns its Lamport
      timestamp. */
  uint64_t Record(absl::Time time,
                  TimelineEventKind kind,
                  std::string_view request,
                  std::vector<std::pair<std::string, std::string>> details);

  /** Advances the clock to the timestamp of a received message. */
  void Observe(uint64_t stamp);

  /** Returns the current timestamp, to be sent with outgoing messages. */
  uint64_t stamp() const;

  /** Returns the recorded events as JSON Lines, oldest first. */
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

#ifndef MODULES_DECISIONS_COMMAND_H_
#define MODULES_DECISIONS_COMMAND_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/strong_id.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** The actions that the dispatcher requests of its owner. */
enum class CommandKind {
  /** Start an attempt on `upstreams`, whose last element is the lead engine. */
  kStart,
  /** Respond to the caller with `refusal` and abort a running attempt. */
  kRefuse,
  /** Request `upstreams` to cancel `attempt` and free its memory. */
  kCancel,
};

/** The details of a refused request, as reported to its caller. */
struct Refusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  RunState run_state = RunState::kNotRun;
  /** Time after which the caller may retry; zero when a retry is pointless. */
  absl::Duration retry_after = absl::ZeroDuration();
};

/** One command of the dispatcher; fields that its kind does not need keep their
    defaults.
    @see Dispatcher::Tick */
struct Command {
  CommandKind kind = CommandKind::kStart;
  RequestId request;
  /** Sequence number of the attempt to start or to cancel. */
  uint64_t attempt = 0;
  std::vector<UpstreamId> upstreams;
  /** Priority level at the upstreams; 0 is the most urgent. */
  int level = 0;
  /** Number of response tokens that the caller has received. The attempt
      resumes after them. */
  int64_t resume_from = 0;
  Refusal refusal;
};

/** The ways in which an attempt ends. */
enum class AttemptOutcome {
  /** The complete response was received. */
  kCompleted,
  /** The upstream refused the request without executing it. */
  kRefused,
  /** The upstream could not be connected to, so that nothing was sent. */
  kUnreachable,
  /** The connection was lost after the request had been sent. */
  kDied,
  /** No token arrived within the stall limits. @see StallLimits */
  kStalled,
  /** The upstream responded with an error. */
  kFailed,
  /** The caller disconnected. */
  kCallerDisconnected,
};

/** Returns the name of an outcome in logs and metrics. */
const char* AttemptOutcomeName(AttemptOutcome outcome);

/** The end of an attempt, as observed by the connection that ran it. */
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  /** The upstream that failed; id 0 stands for the lead engine. */
  UpstreamId upstream;
  /** With kRefused: true when the upstream is shutting down. */
  bool leaving = false;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_COMMAND_H_

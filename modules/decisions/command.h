#ifndef MODULES_DECISIONS_COMMAND_H_
#define MODULES_DECISIONS_COMMAND_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/strong_id.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** What the shell around the decisions has to do. */
enum class CommandKind {
  /** Start an attempt on `upstreams`, the leader last. */
  kStart,
  /** Answer the caller with `refusal`, ending an attempt that still runs. */
  kRefuse,
  /** Tell `upstreams` to give up `attempt` and its memory. */
  kCancel,
};

/** Why and how a request is refused. */
struct Refusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  RunState run_state = RunState::kNotRun;
  /** When it is worth coming back; zero when it is not. */
  absl::Duration retry_after = absl::ZeroDuration();
};

/** One command of the dispatcher. */
struct Command {
  CommandKind kind = CommandKind::kStart;
  RequestId request;
  uint64_t attempt = 0;
  std::vector<UpstreamId> upstreams;
  /** Priority level for the upstream. */
  int level = 0;
  /** Tokens that the caller already has. */
  int64_t resume_from = 0;
  Refusal refusal;
};

/** How an attempt ended. */
enum class AttemptOutcome {
  /** The whole answer came. */
  kCompleted,
  /** The upstream said that it did not run. */
  kRefused,
  /** Nothing was sent: the upstream could not be reached. */
  kUnreachable,
  /** The connection broke after the call was sent. */
  kDied,
  /** The upstream stayed silent too long. */
  kStalled,
  /** The upstream answered with an error of its own. */
  kFailed,
  /** The caller hung up. */
  kCallerGone,
};

/** The stable name of an outcome. */
const char* AttemptOutcomeName(AttemptOutcome outcome);

/** The end of an attempt as the shell saw it. */
struct AttemptEnd {
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  /** The upstream at fault; the leader when there is one only. */
  UpstreamId upstream;
  /** True when the refusing upstream said that it is leaving. */
  bool leaving = false;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_COMMAND_H_

#ifndef MODULES_DECISIONS_REQUEST_TABLE_H_
#define MODULES_DECISIONS_REQUEST_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/config/configuration.h"
#include "modules/core/strong_id.h"

namespace chicory {

/** Whether the work of a request can have taken place. Stands in every error
    body towards callers, and is true there. */
enum class RunState { kNotRun, kOutcomeUnknown, kRan };

/** The words of RunState, as callers read them. */
const char* RunStateName(RunState state);

/** Why a request was refused. */
enum class RefusalReason {
  kOverloaded,
  kDeadlineExceeded,
  kNoUpstream,
  kAccountLimit,
  kRetriesExhausted,
  kCrashesUpstreams,
  kUpstreamFailed,
  kPromptTooLong,
  kStopping,
};

/** The stable name of a reason. */
const char* RefusalReasonName(RefusalReason reason);

/** What a request asks for, as far as decisions need to know it. */
struct RequestSpec {
  RequestId id;
  std::string account;
  /** Share of a contended fleet, relative to other accounts. */
  double weight = 1;
  std::string route;
  std::string pool;
  /** Empty for a plain service. */
  std::string model;
  RepeatRule repeat = RepeatRule::kSafe;
  /** Rank of the route's priority; 0 goes first. */
  int rank = 0;
  /** Index of the length class; 0 is the shortest. */
  size_t length_class = 0;
  /** Bound of the length class. */
  absl::Duration first_token_within = absl::Seconds(30);
  /** Estimate, in tokens. */
  int64_t prompt_tokens = 0;
  /** Most tokens that the answer may have. */
  int64_t answer_tokens = 0;
  /** Equal for the same prompt of the same account. */
  uint64_t fingerprint = 0;
  /** Hashes of the prompt's prefixes, a block of kPrefixBlockTokens each. */
  std::vector<uint64_t> prefix_blocks;
  absl::Time arrived;
  absl::Time deadline;
};

/** Prompts over this many tokens are long: they are bounded on an upstream and
    leave memory to the others. */
inline constexpr int64_t kLongPromptTokens = 32000;

/** Tokens that one prefix block covers. */
inline constexpr int64_t kPrefixBlockTokens = 512;

/** Where a request is in its life. */
enum class RequestPhase { kQueued, kBackingOff, kRunning };

/** One admitted request. */
struct RequestRow {
  RequestSpec spec;
  RequestPhase phase = RequestPhase::kQueued;
  int attempts = 0;
  /** Tokens of the answer that the caller already has. */
  int64_t tokens_delivered = 0;
  /** True once an attempt ended whose effect is not known to be nothing. */
  bool may_have_run = false;
  /** True after an upstream died under the request. */
  bool suspect = false;
  /** Place in its queue; lower goes first. */
  double queue_tag = 0;
  /** The level under which it is queued; fixed while it is queued. */
  int queue_level = 0;
  /** The running attempt; 0 when none runs. */
  uint64_t attempt = 0;
  /** Upstreams of the running attempt, its leader last. */
  std::vector<UpstreamId> upstreams;
};

/** All admitted requests of one instance. */
using RequestTable = absl::flat_hash_map<RequestId, RequestRow>;

/** Number of priority levels that upstreams are given; 0 goes first. */
inline constexpr int kPriorityLevels = 8;

/** The level of a request: length class and rank in one number. */
int PriorityLevelOf(const RequestSpec& spec);

/** Engine memory that a request needs in all, in tokens. */
int64_t MemoryNeedOf(const RequestSpec& spec);

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_TABLE_H_

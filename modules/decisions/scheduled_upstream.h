#ifndef MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_
#define MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** Identifies one placement of a request across all instances. */
struct WorkKey {
  /** IPv4 address of the instance that holds the request. */
  uint32_t owner = 0;
  /** Unique for the owner, also across its restarts. */
  uint64_t sequence = 0;

  friend bool operator==(WorkKey a, WorkKey b) {
    return a.owner == b.owner && a.sequence == b.sequence;
  }
  friend bool operator<(WorkKey a, WorkKey b) {
    return std::pair(a.owner, a.sequence) < std::pair(b.owner, b.sequence);
  }
  template <class H>
  friend H AbslHashValue(H state, WorkKey key) {
    return H::combine(std::move(state), key.owner, key.sequence);
  }
};

/** Identifies an upstream by the stable hash of its id. */
using UpstreamKey = uint64_t;

/** Identifies one incarnation of an upstream; a restart begins another. */
using UpstreamIncarnation = uint64_t;

/** Identifies a part of a prompt, such as a document, by its content. */
using PromptPart = uint64_t;

/** Identifies repeats of the same request by its caller and content. */
using RequestFingerprint = uint64_t;

/** Identifies a client account by the stable hash of its name; 0 for none. */
using AccountKey = uint64_t;

/** Identifies a region by the stable hash of its name; 0 if it is unknown. */
using RegionKey = uint64_t;

/** The beginning of a prompt up to the end of one of its parts. */
struct PromptPrefix {
  /** Identifies the content of all parts up to here. */
  uint64_t id = 0;
  /** Length of the beginning, in tokens. */
  int64_t tokens = 0;
};

/** The outcome of one attempt, as the scheduler counts it for the upstream. */
enum class AttemptResult {
  kDone,
  /** The upstream reported that it is at capacity. */
  kFull,
  /** The connection was reset, the response was malformed or an error, or the
      upstream did not respond. */
  kFault,
  /** Ended by the caller or by this instance. */
  kCancelled,
  /** The connection broke when the upstream may already have been running the
      request. */
  kCrash,
};

/** A request to be placed at an upstream. */
struct WorkRequest {
  WorkKey key;
  std::string service;
  /** 0 for services that are not model engines. */
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /** Latest time at which the first event is on time. */
  absl::Time due;
  /** Time after which a response is of no use to the caller. */
  absl::Time deadline;
  /** Time until which the caller waits for the first event; a caller abandons a
      stream that is silent for too long. Of no meaning if after `deadline`. */
  absl::Time first_event_deadline = absl::InfiniteFuture();
  /** Longest gap between two events that counts as on time. */
  absl::Duration event_gap = absl::InfiniteDuration();
  /** Requests of lower values are scheduled first; 0 is the most urgent. */
  int priority = 0;
  /** Upstreams at which earlier attempts failed or were refused. */
  std::vector<UpstreamKey> avoid;
  /** The group of upstreams that may serve it. @see SchedulerGroups */
  uint32_t group = 0;
  /** The client account among whose requests room is shared fairly. */
  AccountKey account = 0;
  /** Equal for repeats of one request by its caller; 0 if unknown. */
  RequestFingerprint fingerprint = 0;
  /** The regions whose upstreams may serve it; empty for all. */
  std::vector<RegionKey> regions;
  /** Beginnings of the prompt that an upstream may still hold, the shortest
      first. Empty if the upstreams of its service keep none. */
  std::vector<PromptPrefix> prefixes;
};

/** The properties of an upstream that scheduling depends on. */
struct UpstreamSpec {
  UpstreamKey key = 0;
  std::string service;
  int slots = 1;
  RegionKey region = 0;
  /** Until then it is cold and takes few requests a second. */
  absl::Time cold_until = absl::InfinitePast();
  /** The rate at which it gets requests while it is cold, from all instances
      together, and how many it may get at once after a pause. */
  double cold_requests_per_second = 0;
  double cold_burst = 1;
};

/** Engine memory, in tokens, to be reserved for a prompt at one upstream. */
struct MemoryShare {
  UpstreamKey upstream = 0;
  int64_t tokens = 0;
};

/** Returns the value of serving a request, relative to a request of no tokens.
    It grows with the length, since long prompts are rarer and their callers
    have waited longer. */
double RequestValue(int64_t prompt_tokens, int64_t output_tokens);

/** The load that a request, or a part of its prompt, puts on one upstream. */
struct UpstreamLoad {
  WorkKey key;
  bool is_prompt_part = false;
  bool response_started = false;
  /** Engine memory that it occupies. */
  int64_t tokens = 0;
  absl::Time due;
  absl::Time deadline;
  /** Expected time of the request's first event, including the prefill of
      prompts that were placed at the upstream since. */
  absl::Time expected;
  /** Prefill that it adds to the engine's backlog until its response starts. */
  absl::Duration prefill = absl::ZeroDuration();
  double gap_ms = 0;
  double value = 0;
};

/** An upstream with the load and the recent faults that a scheduler knows of.
    Not thread-safe. */
struct ScheduledUpstream {
  UpstreamSpec info;
  bool eligible = true;
  /** A small cost that differs between schedulers. @see ScheduledUpstreamTable
   */
  double preference = 0;
  std::vector<UpstreamLoad> loads;
  /** Expected end of the prefill of all prompts placed here. */
  absl::Time prefill_until = absl::InfinitePast();
  absl::Time last_placed = absl::InfinitePast();
  /** Exponentially decaying count of faults, as of `fault_score_at`. */
  double fault_score = 0;
  absl::Time fault_score_at = absl::InfinitePast();
  /** Until then it is used only if every upstream of the service is suspended
      or full. */
  absl::Time suspended_until = absl::InfinitePast();
  /** Until then it gets no work, because it reported that it is at capacity. */
  absl::Time full_until = absl::InfinitePast();

  /** Limits the prefill backlog to that of the loads whose responses have not
      started. To be called when a load is removed or its response starts. */
  void LimitBacklog(absl::Time now);
  /** Returns the fault score, decayed to `now`. */
  double FaultScoreAt(absl::Time now) const;
  /** Adds `amount` to the fault score, and suspends the upstream if the score
      is too high. */
  void AddFault(double amount, absl::Time now);
};
}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_

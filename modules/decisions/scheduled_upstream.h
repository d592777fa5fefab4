#ifndef MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_
#define MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** Names one placement of a request over all instances. */
struct WorkKey {
  /** The instance that holds the request, by its IPv4 address. */
  uint32_t owner = 0;
  /** Unique within the owner's incarnation and beyond it. */
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

/** An upstream by the stable hash of its id. */
using UpstreamKey = uint64_t;

/** How one send ended, for the scheduler's view of the upstream. */
enum class AttemptResult {
  kDone,
  /** The upstream said that it is full. */
  kFull,
  /** Reset, garbled, silent or answered with an error. */
  kFault,
  /** Ended for reasons of the caller or of this side. */
  kCancelled,
  /** The upstream broke off while it may have run the request. */
  kCrash,
};

/** A request that asks for an upstream. */
struct WorkRequest {
  WorkKey key;
  std::string service;
  /** 0 for requests that no model engine serves. */
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /** The first part of the answer is on time until then. */
  absl::Time due;
  /** Nothing is of use after it. */
  absl::Time deadline;
  /** Longest pause between events that is on time. */
  absl::Duration event_gap = absl::InfiniteDuration();
  /** 0 goes first. */
  int priority = 0;
  /** Upstreams that already failed or refused it. */
  std::vector<UpstreamKey> avoid;
  /** The group of upstreams that may serve it. @see SchedulerGroups */
  uint32_t group = 0;
  /** Equal for the same request sent again; 0 when it cannot be told. */
  uint64_t fingerprint = 0;
};

/** An upstream as the scheduler needs it. */
struct UpstreamSpec {
  UpstreamKey key = 0;
  std::string service;
  int slots = 1;
};

/** Memory that is to be set aside at an engine for a prompt. */
struct MemoryShare {
  UpstreamKey upstream = 0;
  int64_t tokens = 0;
};

/** What a request is worth to its caller, relative to a tiny one: long prompts
    are rarer and their callers have waited longer. */
double RequestValue(int64_t prompt_tokens, int64_t output_tokens);

/** A request, or a part of its prompt, at one upstream. */
struct UpstreamLoad {
  WorkKey key;
  bool is_part = false;
  bool response_started = false;
  /** Memory that it takes. */
  int64_t tokens = 0;
  absl::Time due;
  absl::Time deadline;
  /** When the request's first part was expected, delays since included. */
  absl::Time expected;
  double gap_ms = 0;
  double value = 0;
};
/** An upstream with all that is known to run there. */
struct ScheduledUpstream {
  UpstreamSpec info;
  bool eligible = true;
  /** A small cost that differs between schedulers. */
  double preference = 0;
  std::vector<UpstreamLoad> loads;
  /** When the prompts read there now are expected to be read. */
  absl::Time read_until = absl::InfinitePast();
  absl::Time last_placed = absl::InfinitePast();
  /** Recent faults as of `faults_at`. */
  double faults = 0;
  absl::Time faults_at = absl::InfinitePast();
  /** Left alone for its faults until then, if others can serve. */
  absl::Time suspended_until = absl::InfinitePast();
  /** It said that it was full. */
  absl::Time full_until = absl::InfinitePast();

  /** Recent faults, each of which fades. */
  double FaultsAt(absl::Time now) const;
  void AddFault(double amount, absl::Time now);
};
}  // namespace chicory

#endif  // MODULES_DECISIONS_SCHEDULED_UPSTREAM_H_

#ifndef MODULES_DECISIONS_ENGINE_TIMING_H_
#define MODULES_DECISIONS_ENGINE_TIMING_H_

#include <cstdint>

#include "absl/time/time.h"

namespace chicory {

/** The published speed of a model engine that works in passes. */
struct EngineProfile {
  /** Requests that run at once. */
  int slots = 1;
  /** Tokens that the memory holds. */
  int64_t memory_tokens = 0;
  /** Time of one token step without requests, in milliseconds. */
  double step_ms = 1;
  /** Added to a step for each request that is writing, in milliseconds. */
  double per_sequence_ms = 0;
  /** Added to a step per 1,000 tokens of context of a writer, in ms. */
  double per_context_k_ms = 0;
  /** Prompt tokens read in a millisecond. */
  double prefill_tokens_per_ms = 1;
  /** Time per million pairs of a token and an earlier one, in ms. */
  double per_million_pairs_ms = 0;
  /** Most prompt tokens read in one step. */
  int64_t chunk_tokens = 0;
  /** Steps of a pass that has writers. */
  int steps_per_pass = 1;
};

/** Time to read a prompt of `tokens` on one engine. */
absl::Duration ReadTime(const EngineProfile& engine, int64_t tokens);

/** Time of a pass with `writers` requests that write over `context_tokens` of
    context in all, without any reading. */
absl::Duration PassTime(const EngineProfile& engine,
                        int writers,
                        int64_t context_tokens);

}  // namespace chicory

#endif  // MODULES_DECISIONS_ENGINE_TIMING_H_

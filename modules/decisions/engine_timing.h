#ifndef MODULES_DECISIONS_ENGINE_TIMING_H_
#define MODULES_DECISIONS_ENGINE_TIMING_H_

#include <cstdint>

#include "absl/time/time.h"

namespace chicory {

/** The published speed of a model engine with continuous batching, which
    prefills prompts and decodes in passes of several steps. */
struct EngineProfile {
  /** Maximum number of requests that run at the same time. */
  int slots = 1;
  /** Capacity of the memory, in tokens. */
  int64_t memory_tokens = 0;
  /** Base time of a decode step, in milliseconds. */
  double step_ms = 1;
  /** Additional time of a step for each decoding sequence, in milliseconds. */
  double per_sequence_ms = 0;
  /** Additional time of a step per 1,000 tokens of context of the decoding
      sequences, in milliseconds. */
  double per_context_k_ms = 0;
  /** Prompt tokens prefilled per millisecond. */
  double prefill_tokens_per_ms = 1;
  /** Prefill time per million pairs of a token and an earlier one, which the
      attention compares, in milliseconds. */
  double per_million_pairs_ms = 0;
  /** Maximum number of prompt tokens prefilled in one step. */
  int64_t chunk_tokens = 0;
  /** Number of decode steps in a pass that has decoding sequences. */
  int steps_per_pass = 1;
};

/** Returns the time to prefill a prompt of `tokens` on one engine. */
absl::Duration PrefillTime(const EngineProfile& engine, int64_t tokens);

/** Returns the time of a pass without prefill, with `decoding_sequences` that
    have `context_tokens` of context in total. */
absl::Duration PassTime(const EngineProfile& engine,
                        int decoding_sequences,
                        int64_t context_tokens);

/** Returns the time to generate `tokens` tokens on an engine whose slots and
    memory are all in use. */
absl::Duration DecodeTime(const EngineProfile& engine, int64_t tokens);

}  // namespace chicory

#endif  // MODULES_DECISIONS_ENGINE_TIMING_H_

#include "modules/decisions/engine_timing.h"

#include <algorithm>

namespace chicory {

absl::Duration PrefillTime(const EngineProfile& engine, int64_t tokens) {
  const double count = static_cast<double>(tokens);
  const double million_pairs = count * count / 2e6;
  return absl::Milliseconds(count / engine.prefill_tokens_per_ms +
                            million_pairs * engine.per_million_pairs_ms);
}

absl::Duration PassTime(const EngineProfile& engine,
                        int decoding_sequences,
                        int64_t context_tokens) {
  const double step =
      engine.step_ms + engine.per_sequence_ms * decoding_sequences +
      engine.per_context_k_ms * static_cast<double>(context_tokens) / 1000.0;
  return absl::Milliseconds(
      step * (decoding_sequences > 0 ? engine.steps_per_pass : 1));
}

absl::Duration DecodeTime(const EngineProfile& engine, int64_t tokens) {
  const absl::Duration pass =
      PassTime(engine, engine.slots, engine.memory_tokens);
  return pass / std::max(engine.steps_per_pass, 1) * tokens;
}

}  // namespace chicory

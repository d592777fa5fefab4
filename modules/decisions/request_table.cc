#include "modules/decisions/request_table.h"

#include <algorithm>

namespace chicory {

namespace {

/** Levels by which one rank outweighs length classes. */
constexpr int kLevelsPerRank = 2;

/** Length classes from here on have one level. */
constexpr int kLastLengthLevel = 2;

}  // namespace

const char* RunStateName(RunState state) {
  static constexpr const char* kNames[] = {"not run", "outcome unknown", "ran"};
  return kNames[static_cast<int>(state)];
}

const char* RefusalReasonName(RefusalReason reason) {
  static constexpr const char* kNames[] = {
      "overloaded",      "deadline_exceeded", "no_upstream",
      "account_limit",   "retries_exhausted", "crashes_upstreams",
      "upstream_failed", "prompt_too_long",   "stopping",
  };
  return kNames[static_cast<int>(reason)];
}

int PriorityLevelOf(const RequestSpec& spec) {
  // The longest classes share a level: within it upstreams take work in the
  // order it came, so that what needs most memory is not overtaken for ever.
  const int by_length =
      std::min(static_cast<int>(spec.length_class), kLastLengthLevel);
  const int level = by_length + kLevelsPerRank * spec.rank;
  return std::clamp(level, 0, kPriorityLevels - 1);
}

int64_t MemoryNeedOf(const RequestSpec& spec) {
  return spec.prompt_tokens + spec.answer_tokens;
}

}  // namespace chicory

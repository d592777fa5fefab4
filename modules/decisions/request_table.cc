#include "modules/decisions/request_table.h"

#include <algorithm>

namespace chicory {

namespace {

/** Number of priority levels between two ranks. */
constexpr int kLevelsPerRank = 2;

/** Length classes from this one on share a priority level. */
constexpr int kMaxLengthLevel = 2;

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
  // The longest classes share a level. Upstreams serve a level in order of
  // arrival, so that the requests that need most memory are not starved.
  const int length_level =
      std::min(static_cast<int>(spec.length_class), kMaxLengthLevel);
  const int level = length_level + kLevelsPerRank * spec.rank;
  return std::clamp(level, 0, kPriorityLevels - 1);
}

int64_t MemoryNeedOf(const RequestSpec& spec) {
  return spec.prompt_tokens + spec.response_tokens;
}

}  // namespace chicory

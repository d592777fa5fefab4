#include "modules/decisions/command.h"

namespace chicory {

const char* AttemptOutcomeName(AttemptOutcome outcome) {
  static constexpr const char* kNames[] = {
      "completed", "refused", "unreachable", "died",
      "stalled",   "failed",  "caller_gone",
  };
  return kNames[static_cast<int>(outcome)];
}

}  // namespace chicory

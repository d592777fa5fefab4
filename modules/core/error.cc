#include "modules/core/error.h"

namespace chicory {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kTimeout:
      return "timeout";
  }
  return "invalid";
}

}  // namespace chicory

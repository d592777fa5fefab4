#ifndef MODULES_DECISIONS_REQUEST_CLASS_H_
#define MODULES_DECISIONS_REQUEST_CLASS_H_

#include <bit>
#include <cstdint>
#include <string>
#include <utility>

#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Requests of one service and priority whose prompts are similar in length:
   the priority and a bucket of the length. */
using RequestClass = std::pair<std::string, std::pair<int, int>>;

inline RequestClass ClassOf(const WorkRequest& request) {
  // Each bucket spans a factor of four.
  const int bucket =
      std::bit_width(static_cast<uint64_t>(request.prompt_tokens)) / 2;
  return {request.service, {request.priority, bucket}};
}

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_CLASS_H_

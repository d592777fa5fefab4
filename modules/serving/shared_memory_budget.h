#ifndef MODULES_SERVING_SHARED_MEMORY_BUDGET_H_
#define MODULES_SERVING_SHARED_MEMORY_BUDGET_H_

#include <cstddef>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "modules/core/memory_budget.h"

namespace chicory {

/** A MemoryBudget for the threads of several servers and of the client for
    upstreams. */
struct SharedMemoryBudget {
  explicit SharedMemoryBudget(size_t max_bytes)
      : budget({.max_bytes = max_bytes, .now = absl::Now}) {}

  absl::Mutex mutex;
  MemoryBudget budget ABSL_GUARDED_BY(mutex);
};

}  // namespace chicory

#endif  // MODULES_SERVING_SHARED_MEMORY_BUDGET_H_

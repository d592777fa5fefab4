#ifndef MODULES_CORE_CORE_H_
#define MODULES_CORE_CORE_H_

/** Public header of the core module: identifiers, errors, findings, metrics,
    logging, hashing and the event timeline. Depends on external libraries only.

    Classes: StrongId, AttemptId, Error, Findings, Counters, MemoryBudget,
    Timeline;
    functions of log.h and hashing.h. event_log.h, with the class EventLog, is
    included separately. */

#include "modules/core/attempt_id.h"
#include "modules/core/counters.h"
#include "modules/core/error.h"
#include "modules/core/findings.h"
#include "modules/core/hashing.h"
#include "modules/core/log.h"
#include "modules/core/memory_budget.h"
#include "modules/core/strong_id.h"
#include "modules/core/timeline.h"

#endif  // MODULES_CORE_CORE_H_

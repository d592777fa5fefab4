#ifndef MODULES_DECISIONS_LONG_PROMPT_RESERVE_H_
#define MODULES_DECISIONS_LONG_PROMPT_RESERVE_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Reserves engines for the longest prompts of a service while callers want
    more than its capacity.

    Load: more short prompts than the engines can serve, and long ones that need
    an engine for seconds. A short prompt finds room as soon as one stream ends,
    but an engine without streams, which a long prompt needs, is never left. The
    reserved engines follow the share of the long prompts in the engine time
   that callers want. Not thread-safe. */
class LongPromptReserve {
 public:
  /** Returns the time for which a request occupies one engine, if as many
      streams as slots share the rest of it. */
  static absl::Duration EngineTime(const EngineProfile& engine,
                                   const WorkRequest& request);

  /** Called once for each request of a model engine. */
  void OnSubmitted(const WorkRequest& request,
                   absl::Duration engine_time,
                   absl::Time now);
  /** Called when a request could not be placed because its service is busy. */
  void OnContended(const std::string& service, absl::Time now);
  /** Removes the engines from `usable` that are reserved for longer prompts. */
  void RemoveReserved(const WorkRequest& request,
                      absl::Duration engine_time,
                      absl::Time now,
                      std::vector<ScheduledUpstream*>* usable);

 private:
  struct Service {
    /** Exponentially decaying sums, as of `counted_at`. */
    absl::Duration all_time;
    absl::Duration long_time;
    double requests = 0;
    absl::Time counted_at = absl::InfinitePast();
    absl::Time contended_until = absl::InfinitePast();
    std::vector<UpstreamKey> reserved;
    absl::Time next_release = absl::InfinitePast();
  };
  static void Decay(Service* service, absl::Time now);
  static bool IsLong(const Service& service, absl::Duration engine_time);
  /** Returns the number of engines to reserve. */
  static size_t Wanted(const Service& service, size_t engines);
  static void Adjust(Service* service,
                     const std::vector<ScheduledUpstream*>& usable,
                     absl::Time now);

  absl::flat_hash_map<std::string, Service> services_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LONG_PROMPT_RESERVE_H_

#ifndef MODULES_SERVING_UPSTREAM_WATCHER_H_
#define MODULES_SERVING_UPSTREAM_WATCHER_H_

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/counters.h"
#include "modules/core/timeline.h"
#include "modules/decisions/orphan_collector.h"
#include "modules/serving/request_broker.h"
#include "modules/serving/upstream_client.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Follows the platform's instance list, asks engines for their load, and
    sweeps them for attempts whose owner is gone. Threads of its own. */
class UpstreamWatcher {
 public:
  struct Options {
    std::string instance;
    uint64_t incarnation = 0;
    absl::Duration list_period = absl::Seconds(1);
    absl::Duration load_period = absl::Milliseconds(500);
    absl::Duration sweep_period = absl::Seconds(2);
    /** Most engines whose load is asked for; the others are heard from on
        answers only. */
    size_t max_polled = 64;
  };

  /** What the watcher asks of and tells to the rest of the process. */
  struct Links {
    /** What is known of the process that owns an attempt. */
    OrphanCollector::OwnerLookup owner_state;
    /** Live instances, this one among them. */
    std::function<std::vector<std::string>()> live_instances;
    /** An entry instance stands in the list. */
    std::function<void(const InstanceRecord&)> on_entry;
  };

  /** All pointers must outlive this object. */
  UpstreamWatcher(const Options& options,
                  Links links,
                  ObjectStore* store,
                  UpstreamClient* client,
                  RequestBroker* broker,
                  Counters* counters,
                  Timeline* time_line);
  ~UpstreamWatcher();

  void Start();
  void Stop();

 private:
  /** An engine as it was last seen in the list. */
  struct Engine {
    std::string name;
    std::string address;
    absl::Time next_poll = absl::InfinitePast();
    uint64_t incarnation = 0;
    /** The last cache event of this incarnation that was seen. */
    uint64_t cache_sequence = 0;
  };

  void RunList();
  void RunLoads();
  void RunSweeps();
  void ReadList();
  void PollLoad(Engine* engine);
  void ReadCacheEvents(Engine* engine);
  void Sweep(const Engine& engine);
  std::vector<Engine> Engines() const;
  void Pause(absl::Duration wait) const;

  const Options options_;
  const Links links_;
  ObjectStore* const store_;
  UpstreamClient* const client_;
  RequestBroker* const broker_;
  Counters* const counters_;
  Timeline* const time_line_;
  OrphanCollector orphans_;
  std::map<std::string, int> missing_;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_UPSTREAM_WATCHER_H_

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

/** Keeps the dispatcher's table of upstreams up to date.

    Its three threads read the platform's instance list, poll engines for their
    load and prefix cache changes, and sweep engines for orphans, which are
    attempts whose owner no longer runs. Start() and Stop() must be called from
    one thread. @see OrphanCollector */
class UpstreamWatcher {
 public:
  struct Options {
    /** Name of this instance. */
    std::string instance;
    /** Start time of this process, in milliseconds since the Unix epoch. */
    uint64_t incarnation = 0;
    /** Time between two reads of the instance list. */
    absl::Duration list_period = absl::Seconds(1);
    /** Time between two load polls of an engine. */
    absl::Duration load_period = absl::Milliseconds(500);
    /** Time between two sweeps for orphans. */
    absl::Duration sweep_period = absl::Seconds(2);
    /** Maximum number of engines that this instance polls. It gets load reports
        of the others only with their responses. */
    size_t max_polled = 64;
  };

  /** Functions that the rest of the process supplies; called on the watcher's
      threads. */
  struct Callbacks {
    /** Returns what is known of the process that owns an attempt. */
    OrphanCollector::OwnerLookup owner_state;
    /** Returns the names of the live instances, including this one. */
    std::function<std::vector<std::string>()> live_instances;
    /** Called for each entry instance, at every read of the list. */
    std::function<void(const InstanceRecord&)> on_entry_instance;
  };

  /** All pointers must outlive this object. */
  UpstreamWatcher(const Options& options,
                  Callbacks callbacks,
                  ObjectStore* store,
                  UpstreamClient* client,
                  RequestBroker* broker,
                  Counters* counters,
                  Timeline* timeline);
  ~UpstreamWatcher();

  void Start();
  void Stop();

 private:
  /** Polling state of an engine. */
  struct Engine {
    std::string name;
    std::string address;
    absl::Time next_poll = absl::InfinitePast();
    uint64_t incarnation = 0;
    /** Sequence of the last prefix cache change received in `incarnation`. */
    uint64_t cache_sequence = 0;
  };

  void RunListReads();
  void RunLoadPolls();
  void RunSweeps();
  void ReadInstanceList();
  void PollLoad(Engine* engine);
  void ReadCacheChanges(Engine* engine);
  void Sweep(const Engine& engine);
  /** Returns all engines whose state is not kGone, sorted by name. */
  std::vector<Engine> Engines() const;
  /** Sleeps for `duration`, or until Stop() is called. */
  void Sleep(absl::Duration duration) const;

  const Options options_;
  const Callbacks callbacks_;
  ObjectStore* const store_;
  UpstreamClient* const client_;
  RequestBroker* const broker_;
  Counters* const counters_;
  Timeline* const timeline_;
  OrphanCollector orphans_;
  /** By upstream: the number of successive reads of the list that it was
      missing from. Only for the thread that reads the list. */
  std::map<std::string, int> missed_reads_;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_UPSTREAM_WATCHER_H_

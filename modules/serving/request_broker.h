#ifndef MODULES_SERVING_REQUEST_BROKER_H_
#define MODULES_SERVING_REQUEST_BROKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/core/attempt_id.h"
#include "modules/core/counters.h"
#include "modules/core/timeline.h"
#include "modules/decisions/dispatcher.h"
#include "modules/decisions/pending_cancellations.h"
#include "modules/serving/http_api_server.h"
#include "modules/serving/interrupt.h"
#include "modules/serving/upstream_client.h"

namespace chicory {

/** An attempt that a handler is to run. */
struct AttemptSpec {
  /** The id that travels to the upstreams. */
  std::string attempt;
  RequestId request;
  uint64_t sequence = 0;
  /** Names and addresses of the upstreams, the leader last. */
  std::vector<std::pair<std::string, std::string>> upstreams;
  int level = 0;
  int64_t resume_from = 0;
};

/** How a request ended for its handler. */
struct RequestEnd {
  enum class Kind { kCompleted, kRefused, kCallerGone };
  Kind kind = Kind::kCompleted;
  /** Meaningful when refused. */
  Refusal refusal;
};

/** The thin shell around the dispatcher: gives it time, chance and events, and
    carries its commands to the threads that handle requests. Thread-safe. */
class RequestBroker : private Dispatcher::Listener {
 public:
  struct Options {
    std::string instance;
    uint64_t incarnation = 0;
  };

  /** Is told what other instances should know; called without locks. */
  using DeathSink = std::function<void(uint64_t fingerprint, uint32_t deaths)>;
  using StateSink = std::function<void(const std::string&, UpstreamState)>;

  /** Runs one attempt and says how it ended. */
  using AttemptFunction =
      std::function<AttemptEnd(const AttemptSpec&, Interrupt*)>;

  /** All pointers must outlive this object. */
  RequestBroker(Options options,
                UpstreamClient* client,
                Counters* counters,
                Timeline* time_line);
  ~RequestBroker() override;

  void set_sinks(DeathSink deaths, StateSink states);

  /** Starts the threads that run timers and cancels. */
  void Start();

  /** Ends them, after the cancels that are due have been tried. */
  void Stop();

  /** Runs `spec` through all its attempts on the calling thread. `spec.id` is
      filled in. A caller that hangs up ends the request, unless `connection`
      is absent. */
  RequestEnd Run(RequestSpec spec,
                 const std::optional<CallerConnection>& connection,
                 const AttemptFunction& run_attempt);

  /** @see Dispatcher::OnFirstToken, Dispatcher::OnDelivered */
  void OnFirstToken(const AttemptSpec& order);
  void OnDelivered(const AttemptSpec& order, int64_t tokens);

  /** Runs `function` on the dispatcher and carries out what follows. */
  void RunOnDispatcher(
      const std::function<void(Dispatcher&, absl::Time)>& function);

  /** A question for an upstream's load was not answered. True when it counts
      as silent; this instance's attempts on it are then broken off to go on
      elsewhere. */
  bool OnLoadPollFailed(const std::string& name);

  /** Whether an attempt of this process runs. */
  bool IsRunning(uint64_t sequence) const;

  /** Owes a cancel to an upstream. */
  void Cancel(const std::string& upstream, const std::string& attempt);

  /** A new id for an attempt outside the dispatcher. */
  std::string NewAttemptId();

  /** Requests admitted and not ended. */
  size_t in_flight() const;

 private:
  struct Mailbox {
    std::optional<Command> start;
    std::optional<Refusal> refusal;
    bool is_caller_gone = false;
    std::optional<CallerConnection> connection;
    Interrupt interrupt;
    std::vector<std::string> upstreams;
    absl::CondVar changed;
  };

  void OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) override;
  void OnUpstreamStateObserved(const std::string& name,
                               UpstreamState state) override;

  void TickLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TellSinks();
  void RunTimers();
  void RunCancels();
  void WatchCallers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  AttemptSpec OrderOf(const Command& command)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string AttemptText(uint64_t sequence) const;

  const Options options_;
  UpstreamClient* const client_;
  Counters* const counters_;
  Timeline* const time_line_;
  DeathSink death_sink_;
  StateSink state_sink_;

  mutable absl::Mutex mutex_;
  Dispatcher dispatcher_ ABSL_GUARDED_BY(mutex_);
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<RequestId, std::shared_ptr<Mailbox>> mailboxes_
      ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, RequestId> running_ ABSL_GUARDED_BY(mutex_);
  PendingCancellations debts_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::function<void()>> notes_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_request_ ABSL_GUARDED_BY(mutex_) = 1;
  std::atomic<uint64_t> next_outside_attempt_{1};
  std::atomic<bool> is_stopping_{false};
  std::thread timer_thread_;
  std::thread cancel_thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_REQUEST_BROKER_H_

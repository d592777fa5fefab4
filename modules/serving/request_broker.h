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

/** Describes one attempt to the request handler that runs it. */
struct AttemptSpec {
  /** The attempt id that is sent to upstreams, unique over all instances. */
  std::string attempt;
  RequestId request;
  /** Number of the attempt within this process. */
  uint64_t sequence = 0;
  /** Names and addresses of the upstreams, the lead engine last. */
  std::vector<std::pair<std::string, std::string>> upstreams;
  /** Priority level at the upstreams. */
  int level = 0;
  /** Number of tokens that previous attempts delivered. */
  int64_t resume_from = 0;
};

/** The result of RequestBroker::Run. */
struct RequestEnd {
  enum class Kind { kCompleted, kRefused, kCallerDisconnected };
  Kind kind = Kind::kCompleted;
  /** Only meaningful for kRefused. */
  Refusal refusal;
};

/** Runs requests by the decisions of a Dispatcher.

    Supplies the dispatcher with the clock, random numbers and events, and
    passes its commands to the threads that handle requests: a handler calls
    Run() and blocks there while its attempts are placed, run and retried. Its
    own two threads run the timers and send cancellations. Thread-safe. */
class RequestBroker : private Dispatcher::Listener {
 public:
  struct Options {
    /** Name of this instance. */
    std::string instance;
    /** Start time of this process, in milliseconds since the Unix epoch. */
    uint64_t incarnation = 0;
  };

  /** Receives the number of upstream crashes charged to a request fingerprint,
      which other instances need. Called without locks. */
  using DeathCountSink =
      std::function<void(uint64_t fingerprint, uint32_t deaths)>;
  /** Receives the state of an upstream that this instance has observed, which
      other instances need. Called without locks. */
  using UpstreamStateSink =
      std::function<void(const std::string&, UpstreamState)>;

  /** Runs one attempt on the calling thread and returns how it ended. Must
      return soon after the interrupt is raised. */
  using AttemptFunction =
      std::function<AttemptEnd(const AttemptSpec&, Interrupt*)>;

  /** All pointers must outlive this object. */
  RequestBroker(Options options,
                UpstreamClient* client,
                Counters* counters,
                Timeline* timeline);
  ~RequestBroker() override;

  /** Sets the receivers of state. Must be called before Start(). */
  void set_sinks(DeathCountSink deaths, UpstreamStateSink states);

  /** Starts the threads that run timers and cancellations. */
  void Start();

  /** Stops the threads, after sending each cancellation that is due one last
      time. */
  void Stop();

  /** Runs a request through all its attempts on the calling thread.

      @param spec         the request; `spec.id` is assigned here
      @param connection   polled for a disconnect of the caller, which ends the
                          request; without one the request runs to its end
      @param run_attempt  called once for each attempt, without locks */
  RequestEnd Run(RequestSpec spec,
                 const std::optional<CallerConnection>& connection,
                 const AttemptFunction& run_attempt);

  /** Called when an attempt has delivered its first token.
      @see Dispatcher::OnFirstToken */
  void OnFirstToken(const AttemptSpec& attempt_spec);

  /** Called when `tokens` tokens of the response, counted from its beginning,
      have been delivered to the caller.
      @see Dispatcher::OnDelivered */
  void OnDelivered(const AttemptSpec& attempt_spec, int64_t tokens);

  /** Calls `function` with the dispatcher and the current time while the lock
      is held, then executes the commands that result. */
  void RunOnDispatcher(
      const std::function<void(Dispatcher&, absl::Time)>& function);

  /** Called when a load poll of an upstream failed. Returns true if the
      upstream is now considered unresponsive; attempts of this instance on it
      are then interrupted, so that they are retried elsewhere. */
  bool OnLoadPollFailed(const std::string& name);

  /** Returns whether an attempt of this process is running. */
  bool IsRunning(uint64_t sequence) const;

  /** Queues a cancellation of `attempt` at the upstream with the address
      `upstream`. It is retried until the upstream confirms it or
      PendingCancellations::kRetryPeriod has passed. */
  void Cancel(const std::string& upstream, const std::string& attempt);

  /** Returns a new id for an attempt that the dispatcher does not number. */
  std::string NewAttemptId();

  /** Returns the number of requests inside Run(). */
  size_t in_flight() const;

 private:
  /** State shared between the dispatcher's commands and the handler of a
      request. Guarded by `mutex_`, except for `interrupt`. */
  struct Mailbox {
    std::optional<Command> start;
    std::optional<Refusal> refusal;
    bool is_caller_disconnected = false;
    std::optional<CallerConnection> connection;
    Interrupt interrupt;
    /** Names of the upstreams of the running attempt. */
    std::vector<std::string> upstreams;
    absl::CondVar changed;
  };

  void OnDeathCountChanged(uint64_t fingerprint, uint32_t deaths) override;
  void OnUpstreamStateObserved(const std::string& name,
                               UpstreamState state) override;

  /** Runs the dispatcher and executes its commands. */
  void TickLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /** Calls the sinks for the changes that were recorded under the lock. */
  void NotifySinks();
  void RunTimers();
  void RunCancellations();
  void CheckCallerConnections() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  AttemptSpec MakeAttemptSpec(const Command& command)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::string FormatAttemptId(uint64_t sequence) const;

  const Options options_;
  UpstreamClient* const client_;
  Counters* const counters_;
  Timeline* const timeline_;
  DeathCountSink death_count_sink_;
  UpstreamStateSink upstream_state_sink_;

  mutable absl::Mutex mutex_;
  Dispatcher dispatcher_ ABSL_GUARDED_BY(mutex_);
  absl::BitGen random_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<RequestId, std::shared_ptr<Mailbox>> mailboxes_
      ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<uint64_t, RequestId> running_ ABSL_GUARDED_BY(mutex_);
  PendingCancellations pending_cancellations_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::function<void()>> pending_notifications_
      ABSL_GUARDED_BY(mutex_);
  uint64_t next_request_ ABSL_GUARDED_BY(mutex_) = 1;
  std::atomic<uint64_t> next_undispatched_attempt_{1};
  std::atomic<bool> is_stopping_{false};
  std::thread timer_thread_;
  std::thread cancellation_thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_REQUEST_BROKER_H_

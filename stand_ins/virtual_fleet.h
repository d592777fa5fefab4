#ifndef STAND_INS_VIRTUAL_FLEET_H_
#define STAND_INS_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/dispatcher.h"
#include "modules/decisions/gossip_node.h"
#include "modules/decisions/orphan_collector.h"
#include "modules/decisions/pending_cancellations.h"
#include "modules/decisions/stall_limits.h"
#include "stand_ins/engine_model.h"

namespace chicory {

/** A chat completion that a simulated caller requests.

    A caller may submit the same call several times, once per client retry;
    CallRecord describes the result over all submissions. */
struct VirtualCall {
  /** Virtual time of the first submission. */
  absl::Time at;
  std::string account = "account";
  double weight = 1;
  int rank = 0;
  /** Prompt tokens that the engines process. */
  int64_t prompt_tokens = 1000;
  /** Prompt tokens that the entry estimates and schedules by. */
  int64_t estimated_tokens = 1000;
  /** Tokens that the engine would generate without a limit. */
  int64_t response_tokens = 50;
  /** Limit on the generated tokens, as requested by the caller. */
  int64_t max_tokens = 256;
  /** How long the caller waits for one submission to complete; the request's
      deadline is derived from it. */
  absl::Duration timeout = absl::Seconds(60);
  /** Identifies calls of one kind, so that crashes can be attributed to it. */
  uint64_t fingerprint = 0;
  /** Hashes of the prompt's leading blocks, for prefix caching. */
  std::vector<uint64_t> prefix_blocks;
  /** Crashes every engine that starts to run the call. */
  bool crashes = false;
};

/** The result of a call over all its submissions. */
struct CallRecord {
  /** How the call ended, as the caller sees it. */
  enum class End { kPending, kCompleted, kRefused, kTimedOut, kBroken };
  VirtualCall call;
  /** Index into VirtualFleet::Options::length_classes. */
  size_t length_class = 0;
  /** Time from the first submission to the first token, and to the end of the
      call; infinite until then. */
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration ended = absl::InfiniteDuration();
  End end = End::kPending;
  /** The refusal of the last failed submission. */
  Refusal refusal;
  /** Submissions so far, including the first. */
  int submissions = 0;
  /** Number of the submission that the caller is waiting for, counted from 1;
      0 while it waits for none. */
  int awaited_submission = 0;
  /** Attempts that entries started, over all submissions. */
  int attempts = 0;
  /** Time from the first submission to the start of the last attempt. */
  absl::Duration last_attempt_start = absl::InfiniteDuration();
  /** True once any engine has accepted the call. */
  bool has_run = false;
  /** Tokens of the last submission that reached the caller in sequence. */
  int64_t delivered = 0;
};

/** A discrete-event simulation of entries, engines and callers in virtual time.

    Each entry runs the production decision code (Dispatcher, GossipNode,
    OrphanCollector, PendingCancellations); each engine is an EngineModel, as in
    the engine stand-in. Network topology and machines are not modelled: every
   message takes Options::message_delay. Add calls and faults, then call
   RunUntil(). Two runs with the same options, calls and faults are identical.

    Not thread-safe. */
class VirtualFleet {
 public:
  struct Options {
    int entries = 3;
    int engines = 4;
    uint64_t seed = 1;
    EngineModel::Options engine;
    /** Four default classes are used when this is empty. */
    std::vector<LengthClass> length_classes;
    /** One-way delay of every message. */
    absl::Duration message_delay = absl::Milliseconds(1);
    /** Interval at which an entry polls the load reports of engines. */
    absl::Duration load_period = absl::Milliseconds(500);
    /** Interval at which an engine measures its load, and the delay until it
        publishes the measurement. */
    absl::Duration load_lag = absl::Milliseconds(300);
    /** Number of engines whose load each entry polls; 0 for all. */
    int polled_engines = 0;
    /** True when responses carry the engine's current load report. */
    bool load_on_responses = true;
    /** Delay until a change of an engine's state appears in the platform's
        list of upstreams. */
    absl::Duration registration_lag = absl::Seconds(3);
    /** Maximum number of client retries after a failed submission. */
    int max_client_retries = 0;
    /** Mean delay before a client retry; varied at random by up to a half. */
    absl::Duration client_retry_delay = absl::Seconds(1);
    /** True when callers wait at least as long as a refusal's Retry-After. */
    bool follows_retry_after = true;
    /** True when entries end attempts whose upstream exceeds StallLimits. */
    bool detects_stalls = true;
    /** True when entries cancel the requests of callers that disconnected. */
    bool cancels_disconnected_requests = true;
    /** True when entries gossip with each other and collect orphans. */
    bool has_gossip = true;
    /** Creates the options of each entry's dispatcher. Defaults to the
        placement policies of production. */
    std::function<Dispatcher::Options()> make_dispatcher;
  };

  explicit VirtualFleet(Options options);
  ~VirtualFleet();

  /** Schedules the first submission of a call at `call.at`. */
  void AddCall(const VirtualCall& call);

  /** Schedules `action` at virtual time `at`, or now if that has passed. */
  void ScheduleAt(absl::Time at, std::function<void()> action);

  /** Processes all events up to `until` and sets the clock to it. */
  void RunUntil(absl::Time until);

  absl::Time now() const { return now_; }

  // Fault injection. Engines and entries are numbered from 1.
  void KillEngine(int engine);
  void RestartEngine(int engine);
  void FreezeEngine(int engine, absl::Duration duration);
  /** Makes an engine refuse new work as leaving. The platform's list shows the
      state after Options::registration_lag. */
  void MarkEngineLeaving(int engine);
  void KillEntry(int entry);
  void RestartEntry(int entry);
  void FreezeEntry(int entry, absl::Duration duration);

  const std::vector<CallRecord>& records() const { return records_; }
  /** Number of engines that calls have crashed. */
  int crashes() const { return crashes_; }
  /** Number of jobs that entries sent to engines that were already leaving,
      and the time of the last one. */
  int attempts_on_leaving_engines() const {
    return attempts_on_leaving_engines_;
  }
  absl::Time last_attempt_on_leaving_engine() const {
    return last_attempt_on_leaving_engine_;
  }
  /** Engine memory that is reserved now, in tokens, over all live engines. */
  int64_t reserved_memory() const;
  /** Number of cancellations that an entry sent for an attempt of another
      entry which was alive and still running the attempt. */
  int live_owner_cancellations() const { return live_owner_cancellations_; }
  /** Total time that engines have spent in steps. */
  absl::Duration busy() const;
  /** Number of attempts that entries have started. */
  int64_t attempts() const { return attempts_; }
  const Options& options() const { return options_; }

 private:
  struct Engine;
  struct Entry;
  struct RunningAttempt;

  /** A scheduled action; events at the same time run in insertion order. */
  struct Event {
    absl::Time at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Callers.
  void SubmitCall(size_t record_index, absl::Duration delay);
  /** Ends the call, or schedules a client retry if any are left. */
  void OnSubmissionFailed(size_t record_index,
                          CallRecord::End end,
                          const Refusal& refusal);
  // Entries.
  /** Starts a new incarnation of an entry; `index` counts from 0. */
  void StartEntry(int index);
  /** Runs `action` now, when the entry resumes if it is frozen, or never if
      it is dead. */
  void RunOnEntry(Entry* entry, std::function<void()> action);
  /** Executes the dispatcher's commands and schedules its next timer. */
  void TickEntry(Entry* entry);
  void ExecuteCommand(Entry* entry, const Command& command);
  void EndAttempt(Entry* entry,
                  uint64_t sequence,
                  AttemptOutcome outcome,
                  UpstreamId faulty_upstream,
                  bool leaving);
  /** Sends the request to the lead engine, which generates the response. */
  void StartLeadEngine(Entry* entry, uint64_t sequence);
  /** Reserves memory at the next helper of a group. Once all helpers have
      granted and prefilled their parts, starts the lead engine. */
  void ReserveNextPart(Entry* entry, uint64_t sequence);
  void CheckStalls(Entry* entry);
  void PollLoads(Entry* entry);
  void SendCancellations(Entry* entry);
  void Gossip(Entry* entry);
  /** Adds orphans on the engines assigned to `entry` to its pending
      cancellations. */
  void Sweep(Entry* entry);
  /** Runs `task` in every `period`, at a random point of it, until this
      incarnation of the entry dies. */
  void RunPeriodically(Entry* entry,
                       absl::Duration period,
                       void (VirtualFleet::*task)(Entry*));
  // Engines.
  /** Sends one job of an attempt to an engine and reports a refusal or failure
      to the entry. `crashes` makes the engine die when it accepts the job. */
  void SubmitToEngine(Entry* entry,
                      uint64_t sequence,
                      UpstreamId upstream,
                      EngineJob job,
                      bool crashes);
  /** Runs `action` now, or when the engine resumes if it is frozen. */
  void RunOnEngine(Engine* engine, std::function<void()> action);
  void StepIfIdle(Engine* engine);
  /** Runs one step of the model, and the next one when it ends. */
  void Step(Engine* engine);
  void OnEngineEvent(Engine* engine, const EngineEvent& event);
  /** Ends the engine's process and breaks its connections. */
  void MarkEngineDead(Engine* engine);
  /** Returns the entry whose current incarnation owns `attempt` and sets
      `sequence`; null when there is none. */
  Entry* FindAttemptOwner(const std::string& attempt, uint64_t* sequence);
  Engine* FindEngine(Entry* entry, UpstreamId upstream);
  LoadReport PublishedLoad(const Engine& engine) const;

  Options options_;
  absl::Time now_ = absl::UnixEpoch();
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Entry>> dead_entries_;
  std::vector<CallRecord> records_;
  std::vector<uint64_t> submission_of_;
  int crashes_ = 0;
  int attempts_on_leaving_engines_ = 0;
  absl::Time last_attempt_on_leaving_engine_ = absl::InfinitePast();
  int live_owner_cancellations_ = 0;
  int64_t attempts_ = 0;
  /** Step time of engine incarnations that have ended. */
  absl::Duration dead_engine_busy_ = absl::ZeroDuration();
};

}  // namespace chicory

#endif  // STAND_INS_VIRTUAL_FLEET_H_

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

/** A call of a recorded trace or a scenario. */
struct VirtualCall {
  absl::Time at;
  std::string account = "account";
  double weight = 1;
  int rank = 0;
  int64_t prompt_tokens = 1000;
  /** What the entry believes. */
  int64_t estimated_tokens = 1000;
  int64_t answer_tokens = 50;
  int64_t max_tokens = 256;
  /** How long the caller waits; also the request's deadline. */
  absl::Duration timeout = absl::Seconds(60);
  uint64_t fingerprint = 0;
  std::vector<uint64_t> prefix_blocks;
  /** Kills each engine that runs it. */
  bool crashes = false;
};

/** What became of a call over all its resends. */
struct CallRecord {
  enum class End { kPending, kCompleted, kRefused, kTimedOut, kBroken };
  VirtualCall call;
  size_t length_class = 0;
  /** From the first sending to the first token and to the end. */
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration ended = absl::InfiniteDuration();
  End end = End::kPending;
  /** The last refusal. */
  Refusal refusal;
  int submissions = 0;
  /** The sending that the caller waits for; 0 while it waits for none. */
  int awaited = 0;
  int attempts = 0;
  /** From the first sending to the start of the last attempt. */
  absl::Duration placed = absl::InfiniteDuration();
  /** True once an engine took it. */
  bool has_run = false;
  /** Tokens that reached the caller in order in the last sending. */
  int64_t delivered = 0;
};

/** Entries and engines in virtual time: the decision code that ships, driven by
    the engine stand-in's own model. No network topology and no model of
    machines; messages take a fixed time. The same seed gives the same run. */
class VirtualFleet {
 public:
  struct Options {
    int entries = 3;
    int engines = 4;
    uint64_t seed = 1;
    EngineModel::Options engine;
    std::vector<LengthClass> length_classes;
    absl::Duration message_delay = absl::Milliseconds(1);
    absl::Duration load_period = absl::Milliseconds(500);
    absl::Duration load_lag = absl::Milliseconds(300);
    /** Engines whose load an entry asks for; 0 for all. */
    int polled_engines = 0;
    /** Loads ride on answers. */
    bool load_on_answers = true;
    /** How long the platform's list lags. */
    absl::Duration list_lag = absl::Seconds(3);
    /** How often a caller sends again after a failure, and how soon. */
    int max_client_retries = 0;
    absl::Duration resend_pause = absl::Seconds(1);
    /** Callers follow the advice on when to come back. */
    bool follows_retry_after = true;
    /** Entries give up attempts whose upstream is silent for too long. */
    bool detects_stalls = true;
    /** Entries notice callers that hung up. */
    bool cancels_disconnected_requests = true;
    /** Entries talk to each other and sweep engines. */
    bool has_gossip = true;
    /** Makes each entry's dispatcher; the default is the one that ships. */
    std::function<Dispatcher::Options()> make_dispatcher;
  };

  explicit VirtualFleet(Options options);
  ~VirtualFleet();

  /** Adds a call to come. */
  void AddCall(const VirtualCall& call);

  /** Runs `action` at `at`. */
  void At(absl::Time at, std::function<void()> action);

  /** Runs until `until`. */
  void RunUntil(absl::Time until);

  absl::Time now() const { return now_; }

  // Faults; engines and entries count from 1.
  void KillEngine(int engine);
  void RestartEngine(int engine);
  void FreezeEngine(int engine, absl::Duration length);
  /** The engine takes no new work and says so; the list follows later. */
  void LeaveEngine(int engine);
  void KillEntry(int entry);
  void RestartEntry(int entry);
  void FreezeEntry(int entry, absl::Duration length);

  const std::vector<CallRecord>& records() const { return records_; }
  /** Engines that died of a call, so far. */
  int crashes() const { return crashes_; }
  /** Attempts started on an engine after it began to leave, and the last time
      one was. */
  int starts_on_leaving() const { return starts_on_leaving_; }
  absl::Time last_start_on_leaving() const { return last_start_on_leaving_; }
  /** Tokens of engine memory that are held now, over live engines. */
  int64_t held_memory() const;
  /** Cancels of attempts whose owner was alive and still ran them. */
  int wrong_cancels() const { return wrong_cancels_; }
  /** Engine time spent over all engines. */
  absl::Duration busy() const;
  /** Attempts that all entries started. */
  int64_t attempts() const { return attempts_; }
  const Options& options() const { return options_; }

 private:
  struct Engine;
  struct Entry;
  struct Running;

  struct Event {
    absl::Time at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Callers.
  void SendCall(size_t record, absl::Duration pause);
  void OnSendingFailed(size_t record,
                       CallRecord::End end,
                       const Refusal& refusal);
  // Entries.
  void StartEntry(int index);
  void ToEntry(Entry* entry, std::function<void()> action);
  void TickEntry(Entry* entry);
  void Carry(Entry* entry, const Command& command);
  void EndAttempt(Entry* entry,
                  uint64_t sequence,
                  AttemptOutcome outcome,
                  UpstreamId fault,
                  bool leaving);
  void StartLeader(Entry* entry, uint64_t sequence);
  void HoldNext(Entry* entry, uint64_t sequence);
  void CheckStalls(Entry* entry);
  void PollLoads(Entry* entry);
  void SendCancels(Entry* entry);
  void Gossip(Entry* entry);
  void Sweep(Entry* entry);
  /** Runs `task` now and every `period` while this incarnation lives. */
  void Repeat(Entry* entry,
              absl::Duration period,
              void (VirtualFleet::*task)(Entry*));
  // Engines.
  void SubmitTo(Entry* entry,
                uint64_t sequence,
                UpstreamId upstream,
                EngineJob job,
                bool crashes);
  void ToEngine(Engine* engine, std::function<void()> action);
  void Wake(Engine* engine);
  void Step(Engine* engine);
  void OnEngineEvent(Engine* engine, const EngineEvent& event);
  void DropEngine(Engine* engine);
  Entry* OwnerOf(const std::string& attempt, uint64_t* sequence);
  Engine* EngineOf(Entry* entry, UpstreamId upstream);
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
  std::vector<uint64_t> sending_of_;
  int crashes_ = 0;
  int starts_on_leaving_ = 0;
  absl::Time last_start_on_leaving_ = absl::InfinitePast();
  int wrong_cancels_ = 0;
  int64_t attempts_ = 0;
  absl::Duration past_busy_ = absl::ZeroDuration();
};

}  // namespace chicory

#endif  // STAND_INS_VIRTUAL_FLEET_H_

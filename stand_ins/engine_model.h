#ifndef STAND_INS_ENGINE_MODEL_H_
#define STAND_INS_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/decisions/upstream_table.h"

namespace chicory {

/** One attempt as submitted to an engine. */
struct EngineJob {
  std::string attempt;
  int64_t prompt_tokens = 0;
  /** Length of the full response, in tokens. */
  int64_t response_tokens = 0;
  /** Limit on the response that the caller set, in tokens. The engine reserves
      memory for the prompt and for this many tokens. */
  int64_t max_tokens = 0;
  /** Index of the first response token to generate. */
  int64_t resume_from = 0;
  /** Priority level; jobs of level 0 are admitted first. */
  int level = 0;
  /** Hashes of the prompt's blocks, for the prefix cache. */
  std::vector<uint64_t> prefix_blocks;
  /** True for the memory reservation of a helper engine in a group: the job
      prefills its prompt part, generates nothing and keeps its memory until it
      is cancelled. */
  bool is_reservation = false;
};

/** Kinds of events that a step produces for a job. */
enum class EngineEventKind {
  /** A memory reservation was granted. */
  kGranted,
  /** A response token was generated. */
  kToken,
  /** A memory reservation has prefilled its prompt part. */
  kPrefilled,
  /** The response is complete. */
  kFinished
};

/** One event of one job in a step. */
struct EngineEvent {
  std::string attempt;
  EngineEventKind kind = EngineEventKind::kToken;
  /** Index of the token in the response; used by kToken only. */
  int64_t index = 0;
};

/** A block that was stored in the prefix cache or evicted from it. */
struct CacheEvent {
  uint64_t sequence = 0;
  uint64_t block = 0;
  /** False for an eviction. */
  bool stored = true;
};

/** Simulates an LLM inference engine without I/O: continuous batching in steps,
    memory counted in tokens, priorities, chunked prefill and a prefix cache.

    The stand-in engine runs the steps in real time, replays run them in virtual
    time. Not thread-safe. */
class EngineModel {
 public:
  struct Options {
    uint64_t incarnation = 1;
    int64_t memory_tokens = 450000;
    /** Limit on the tokens prefilled in one step. */
    int64_t chunk_tokens = 1024;
    /** Duration of a step, before the cost of its tokens. */
    absl::Duration step_base = absl::Milliseconds(8);
    absl::Duration per_prefill_token = absl::Microseconds(20);
    /** Cost of decoding one token of one stream. */
    absl::Duration per_stream = absl::Microseconds(100);
    /** Limit on the jobs that run at the same time. */
    size_t max_running = 64;
    /** Capacity of the prefix cache, in blocks. */
    size_t cache_blocks = 400;
  };

  explicit EngineModel(const Options& options) : options_(options) {}

  /** Queues a job. Returns false if the job was cancelled before it arrived, is
      already known, or needs more memory than the engine has. */
  bool Submit(const EngineJob& job);

  /** Removes a job and frees its memory. An attempt that has not arrived yet is
      refused when it arrives. Returns true if the job was known. */
  bool Cancel(const std::string& attempt);

  /** Called when the client of a job has disconnected. The job generates no
      more tokens but keeps its memory until it is cancelled, as in engines that
      can resume streams. */
  void StopGeneration(const std::string& attempt);

  /** Runs one step and appends its events, all of which happen at the end of
      the step. Returns the duration of the step, or zero if no token was
      prefilled or generated. */
  absl::Duration Step(std::vector<EngineEvent>* events);

  /** Returns the current load. The caller sets `measured_at`. */
  LoadReport Load() const;

  /** Returns the attempts of all jobs, waiting and running, sorted. */
  std::vector<std::string> Attempts() const;

  int64_t free_memory_tokens() const {
    return options_.memory_tokens - used_memory_tokens_;
  }

  /** Returns the changes of the prefix cache after `sequence`, oldest first.
      Only the last kMaxCacheEvents changes are kept. */
  std::vector<CacheEvent> CacheEventsAfter(uint64_t sequence) const;

  /** Returns the total duration of all steps. */
  absl::Duration busy() const { return busy_; }

  const Options& options() const { return options_; }

 private:
  /** Limit on the cancelled attempts that are remembered because a job may
      arrive after its cancellation. */
  static constexpr size_t kMaxCancelledAttempts = 10000;
  static constexpr size_t kMaxCacheEvents = 1000;

  /** Priority level and order of arrival. */
  using Key = std::pair<int, uint64_t>;

  struct Job {
    EngineJob spec;
    int64_t reserved_tokens = 0;
    int64_t remaining_prefill_tokens = 0;
    int64_t next_index = 0;
    bool is_prefilled = false;
  };

  void AdmitWaitingJobs(std::vector<EngineEvent>* events);
  int64_t CachedPrefixTokens(const EngineJob& job) const;
  void AddPrefixToCache(const EngineJob& job);
  void AddCacheEvent(uint64_t block, bool stored);
  void Erase(const std::string& attempt);

  Options options_;
  std::map<Key, Job> waiting_;
  std::map<Key, Job> running_;
  absl::flat_hash_map<std::string, Key> job_keys_;
  absl::flat_hash_set<std::string> cancelled_attempts_;
  std::deque<std::string> cancelled_attempt_order_;
  absl::flat_hash_set<uint64_t> cached_blocks_;
  std::deque<uint64_t> cached_block_order_;
  std::deque<CacheEvent> cache_events_;
  uint64_t last_cache_sequence_ = 0;
  uint64_t next_arrival_ = 0;
  int64_t used_memory_tokens_ = 0;
  absl::Duration busy_ = absl::ZeroDuration();
};

}  // namespace chicory

#endif  // STAND_INS_ENGINE_MODEL_H_

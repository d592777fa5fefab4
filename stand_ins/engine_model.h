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

/** Work for an engine. */
struct EngineJob {
  std::string attempt;
  int64_t prompt_tokens = 0;
  /** Tokens of the whole answer. */
  int64_t answer_tokens = 0;
  /** Most tokens that the caller allowed; memory is held for them. */
  int64_t max_tokens = 0;
  /** First token of the answer to generate. */
  int64_t resume_from = 0;
  /** 0 goes first. */
  int level = 0;
  std::vector<uint64_t> prefix_blocks;
  /** A member of a group: prefills, then holds its memory until cancelled. */
  bool is_reservation = false;
};

/** What happened to a job in a step. */
enum class EngineEventKind { kGranted, kToken, kPrefilled, kFinished };

/** One event of a step. */
struct EngineEvent {
  std::string attempt;
  EngineEventKind kind = EngineEventKind::kToken;
  /** Index of the token in the answer. */
  int64_t index = 0;
};

/** A change of the prefix cache. */
struct CacheEvent {
  uint64_t sequence = 0;
  uint64_t block = 0;
  bool stored = true;
};

/** A model engine without I/O: continuous batching in steps, memory counted in
    tokens, priorities, chunked prefill and a prefix cache. The engine stand-in
    steps it in real time, replays step it in virtual time. */
class EngineModel {
 public:
  struct Options {
    uint64_t incarnation = 1;
    int64_t memory_tokens = 450000;
    /** Prefill tokens in one step. */
    int64_t chunk_tokens = 1024;
    absl::Duration step_base = absl::Milliseconds(8);
    absl::Duration per_prefill_token = absl::Microseconds(20);
    absl::Duration per_stream = absl::Microseconds(100);
    size_t max_running = 64;
    size_t cache_blocks = 400;
  };

  explicit EngineModel(const Options& options) : options_(options) {}

  /** Takes a job; false when it was cancelled before it came, is here
      already, or could never fit. */
  bool Submit(const EngineJob& job);

  /** Gives up a job and its memory. A job that has not come yet will be
      refused when it does. True when it was here. */
  bool Cancel(const std::string& attempt);

  /** The client of a job is gone: it generates no more, but holds its memory
      until it is cancelled, as engines do that can resume streams. */
  void StopGeneration(const std::string& attempt);

  /** Runs one step, appends its events (which happen at its end) and returns
      its length; zero when there was nothing to do. */
  absl::Duration Step(std::vector<EngineEvent>* events);

  /** The present load; `measured_at` is left to the caller. */
  LoadReport Load() const;

  /** Every job that holds or waits for memory. */
  std::vector<std::string> Attempts() const;

  /** Free memory, in tokens. */
  int64_t free_memory_tokens() const { return options_.memory_tokens - used_; }

  /** Changes of the prefix cache after `sequence`, oldest first. */
  std::vector<CacheEvent> CacheEventsAfter(uint64_t sequence) const;

  /** Engine time spent, over all steps. */
  absl::Duration busy() const { return busy_; }

  const Options& options() const { return options_; }

 private:
  /** Cancelled attempts remembered in case their start comes late. */
  static constexpr size_t kMaxTombstones = 10000;
  static constexpr size_t kMaxCacheEvents = 1000;

  using Key = std::pair<int, uint64_t>;

  struct Job {
    EngineJob spec;
    int64_t memory = 0;
    int64_t prefill_left = 0;
    int64_t next_index = 0;
    bool is_prefilled = false;
  };

  void Admit(std::vector<EngineEvent>* events);
  int64_t CachedTokens(const EngineJob& job) const;
  void RememberPrefix(const EngineJob& job);
  void AddCacheEvent(uint64_t block, bool stored);
  void Erase(const std::string& attempt);

  Options options_;
  std::map<Key, Job> waiting_;
  std::map<Key, Job> running_;
  absl::flat_hash_map<std::string, Key> keys_;
  absl::flat_hash_set<std::string> tombstones_;
  std::deque<std::string> tombstone_order_;
  absl::flat_hash_set<uint64_t> cache_;
  std::deque<uint64_t> cache_order_;
  std::deque<CacheEvent> cache_events_;
  uint64_t cache_sequence_ = 0;
  uint64_t next_ = 0;
  int64_t used_ = 0;
  absl::Duration busy_ = absl::ZeroDuration();
};

}  // namespace chicory

#endif  // STAND_INS_ENGINE_MODEL_H_

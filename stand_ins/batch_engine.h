#ifndef STAND_INS_BATCH_ENGINE_H_
#define STAND_INS_BATCH_ENGINE_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** A model engine in virtual time that decodes in passes, one event of each
    stream per pass. All pending prefill is done at the beginning of a pass;
    without streams it is done in chunks, parts for other engines first. */
class BatchEngine {
 public:
  explicit BatchEngine(const EngineProfile& profile) : profile_(profile) {}

  enum class Role {
    /** The whole prompt is prefilled here; its first event comes in the same
        pass. */
    kAlone,
    /** Other engines prefill parts; SetReady() begins the stream. */
    kLead,
    /** A part of a prompt that another engine leads. */
    kPart,
  };
  void Add(WorkKey key,
           Role role,
           absl::Duration prefill,
           int64_t tokens,
           int events);
  void Remove(WorkKey key);
  /** Lets the stream begin when all its parts are prefilled. */
  void SetReady(WorkKey key);

  /** Begins a pass and returns its duration; zero if there is nothing to do or
      a pass is under way. */
  absl::Duration BeginPass();
  struct PassResult {
    /** Prompts and parts whose prefill is complete. */
    std::vector<WorkKey> prefilled;
    /** Streams that have produced an event. */
    std::vector<WorkKey> events;
    /** Streams whose last event that was. */
    std::vector<WorkKey> finished;
  };
  /** Ends the pass. Streams that have finished are removed. */
  PassResult EndPass();

 private:
  struct Job {
    WorkKey key;
    Role role = Role::kAlone;
    absl::Duration prefill;
    int64_t tokens = 0;
    int events_left = 0;
    bool is_prefilled = false;
    bool is_ready = false;
    /** Takes part in the pass under way. */
    bool is_in_pass = false;
  };

  const EngineProfile profile_;
  std::vector<Job> jobs_;
  bool is_in_pass_ = false;
};

}  // namespace chicory

#endif  // STAND_INS_BATCH_ENGINE_H_

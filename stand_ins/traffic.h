#ifndef STAND_INS_TRAFFIC_H_
#define STAND_INS_TRAFFIC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "stand_ins/virtual_fleet.h"

namespace chicory {

/** Parameters of a stream of randomly generated calls. */
struct TrafficMix {
  /** Mean arrival rate in calls per second; arrivals are a Poisson process. */
  double rate = 10;
  absl::Duration length = absl::Seconds(60);
  absl::Time start = absl::UnixEpoch();
  std::string account = "account";
  /** Bounds of the prompt tokens, drawn uniformly unless `is_mixed`. */
  int64_t min_prompt_tokens = 1000;
  int64_t max_prompt_tokens = 4000;
  /** Bounds of the generated tokens, drawn uniformly. */
  int64_t min_response_tokens = 20;
  int64_t max_response_tokens = 120;
  /** How long callers wait for one submission to complete. */
  absl::Duration timeout = absl::Seconds(60);
  /** True for the mix of prompts that users send: mostly short, one in fifty
      between 100,000 and a million tokens. The bounds of the prompt tokens
      above do not apply then. */
  bool is_mixed = false;
  /** Upper limit of the prompt tokens when `is_mixed`. */
  int64_t max_mixed_tokens = 1000000;
  /** Largest relative error of the estimated prompt tokens, either way. */
  double max_estimate_error = 0.1;
  /** Fraction of calls whose prompt starts with one of a few prefixes. */
  double shared_prefix_share = 0;
};

/** Generates the calls of `mix`, ordered by arrival. The result depends only on
    `mix` and `seed`. */
std::vector<VirtualCall> MakeTraffic(const TrafficMix& mix, uint64_t seed);

/** Returns the minimum engine time that `call` needs, assuming that every step
    runs a full batch. */
absl::Duration MinimumEngineTime(const VirtualCall& call,
                                 const EngineModel::Options& engine);

}  // namespace chicory

#endif  // STAND_INS_TRAFFIC_H_

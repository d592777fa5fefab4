#ifndef STAND_INS_TRAFFIC_H_
#define STAND_INS_TRAFFIC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "stand_ins/virtual_fleet.h"

namespace chicory {

/** What calls look like. */
struct TrafficMix {
  /** Calls a second; arrivals are Poisson. */
  double rate = 10;
  absl::Duration length = absl::Seconds(60);
  absl::Time start = absl::UnixEpoch();
  std::string account = "account";
  int64_t min_prompt_tokens = 1000;
  int64_t max_prompt_tokens = 4000;
  int64_t least_answer = 20;
  int64_t most_answer = 120;
  absl::Duration timeout = absl::Seconds(60);
  /** The users' mix: mostly short, one in fifty over 100,000 tokens up to a
      million; the token bounds above do not count then. */
  bool is_mixed = false;
  /** Longest prompt of the mix, in tokens. */
  int64_t longest = 1000000;
  /** Estimates are off by up to this share. */
  double estimate_error = 0.1;
  /** Share of calls that begin with one of a few common prefixes. */
  double shared_prefix = 0;
};

/** The calls of a mix; the same seed gives the same calls. */
std::vector<VirtualCall> MakeTraffic(const TrafficMix& mix, uint64_t seed);

/** Least engine time that a call can take, with full batches. */
absl::Duration MinimumEngineTime(const VirtualCall& call,
                                 const EngineModel::Options& engine);

}  // namespace chicory

#endif  // STAND_INS_TRAFFIC_H_

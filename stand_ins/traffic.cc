#include "stand_ins/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/random/distributions.h"

namespace chicory {

namespace {

/** Bounds and shares of the users' mix. */
struct Band {
  double share;
  double least;
  double most;
};
constexpr Band kBands[] = {{0.66, 1000, 4000},
                           {0.25, 4000, 32000},
                           {0.07, 32000, 100000},
                           {0.02, 100000, 1000000}};

constexpr int kCommonPrefixes = 20;
constexpr int kPrefixBlocks = 4;

int64_t LogUniform(double least, double most, absl::BitGenRef random) {
  return static_cast<int64_t>(
      std::exp(absl::Uniform(random, std::log(least), std::log(most))));
}

int64_t MixedLength(int64_t longest, absl::BitGenRef random) {
  double pick = absl::Uniform(random, 0.0, 1.0);
  for (const Band& band : kBands) {
    if (pick < band.share) {
      return std::min(longest, LogUniform(band.least, band.most, random));
    }
    pick -= band.share;
  }
  return 1000;
}

}  // namespace

std::vector<VirtualCall> MakeTraffic(const TrafficMix& mix, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<VirtualCall> calls;
  absl::Time at = mix.start;
  const absl::Time end = mix.start + mix.length;
  while (true) {
    at += absl::Seconds(absl::Exponential(random, mix.rate));
    if (at >= end)
      return calls;
    VirtualCall call;
    call.at = at;
    call.account = mix.account;
    call.prompt_tokens =
        mix.is_mixed
            ? MixedLength(mix.longest, random)
            : absl::Uniform(absl::IntervalClosed, random, mix.min_prompt_tokens,
                            mix.max_prompt_tokens);
    const double error =
        absl::Uniform(random, -mix.estimate_error, mix.estimate_error);
    call.estimated_tokens = std::max<int64_t>(
        1, static_cast<int64_t>(call.prompt_tokens * (1 + error)));
    call.answer_tokens = absl::Uniform(absl::IntervalClosed, random,
                                       mix.least_answer, mix.most_answer);
    call.max_tokens = 256;
    call.timeout = mix.timeout;
    call.fingerprint = absl::Uniform<uint64_t>(random);
    if (absl::Bernoulli(random, mix.shared_prefix)) {
      const auto prefix = absl::Uniform<uint64_t>(random, 0, kCommonPrefixes);
      for (int block = 0; block < kPrefixBlocks; ++block)
        call.prefix_blocks.push_back(prefix * 1000 + block + 1);
    }
    calls.push_back(std::move(call));
  }
}

absl::Duration MinimumEngineTime(const VirtualCall& call,
                                 const EngineModel::Options& engine) {
  const double answer = static_cast<double>(call.answer_tokens);
  const double prompt = static_cast<double>(call.prompt_tokens);
  // A step carries a chunk of prefill and a token of each running stream; its
  // base is shared by whichever fills it.
  const double steps =
      std::max(prompt / static_cast<double>(engine.chunk_tokens),
               answer / static_cast<double>(engine.max_running));
  return engine.per_prefill_token * prompt + engine.per_stream * answer +
         engine.step_base * steps;
}

}  // namespace chicory

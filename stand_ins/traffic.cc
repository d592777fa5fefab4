#include "stand_ins/traffic.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/random/distributions.h"

namespace chicory {

namespace {

/** A range of prompt tokens in the mix of prompts that users send, and the
    fraction of calls in it. */
struct LengthBand {
  double share;
  double lower;
  double upper;
};
constexpr LengthBand kLengthBands[] = {{0.66, 1000, 4000},
                                       {0.25, 4000, 32000},
                                       {0.07, 32000, 100000},
                                       {0.02, 100000, 1000000}};

constexpr int kSharedPrefixes = 20;
constexpr int kBlocksPerPrefix = 4;

int64_t LogUniform(double lower, double upper, absl::BitGenRef random) {
  return static_cast<int64_t>(
      std::exp(absl::Uniform(random, std::log(lower), std::log(upper))));
}

int64_t SamplePromptTokens(int64_t max_mixed_tokens, absl::BitGenRef random) {
  double sample = absl::Uniform(random, 0.0, 1.0);
  for (const LengthBand& band : kLengthBands) {
    if (sample < band.share) {
      return std::min(max_mixed_tokens,
                      LogUniform(band.lower, band.upper, random));
    }
    sample -= band.share;
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
            ? SamplePromptTokens(mix.max_mixed_tokens, random)
            : absl::Uniform(absl::IntervalClosed, random, mix.min_prompt_tokens,
                            mix.max_prompt_tokens);
    const double error =
        absl::Uniform(random, -mix.max_estimate_error, mix.max_estimate_error);
    call.estimated_tokens = std::max<int64_t>(
        1, static_cast<int64_t>(call.prompt_tokens * (1 + error)));
    call.response_tokens =
        absl::Uniform(absl::IntervalClosed, random, mix.min_response_tokens,
                      mix.max_response_tokens);
    call.max_tokens = 256;
    call.timeout = mix.timeout;
    call.fingerprint = absl::Uniform<uint64_t>(random);
    if (absl::Bernoulli(random, mix.shared_prefix_share)) {
      const auto prefix = absl::Uniform<uint64_t>(random, 0, kSharedPrefixes);
      for (int block = 0; block < kBlocksPerPrefix; ++block)
        call.prefix_blocks.push_back(prefix * 1000 + block + 1);
    }
    calls.push_back(std::move(call));
  }
}

absl::Duration MinimumEngineTime(const VirtualCall& call,
                                 const EngineModel::Options& engine) {
  const double answer = static_cast<double>(call.response_tokens);
  const double prompt = static_cast<double>(call.prompt_tokens);
  // A step processes one chunk of prefill and one token of every running
  // stream. Its base cost is spread over whichever of the two is full: at least
  // prompt / chunk_tokens or answer / max_running steps are attributed to the
  // call.
  const double steps =
      std::max(prompt / static_cast<double>(engine.chunk_tokens),
               answer / static_cast<double>(engine.max_running));
  return engine.per_prefill_token * prompt + engine.per_stream * answer +
         engine.step_base * steps;
}

}  // namespace chicory

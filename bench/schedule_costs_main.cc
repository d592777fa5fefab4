#include <chrono>
#include <cstdint>
#include <iostream>
#include <random>
#include <vector>

#include "absl/strings/str_format.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/peers/placement_message.h"

namespace chicory {
namespace {

using Clock = std::chrono::steady_clock;

/** One prompt in this many is long, as in the users' steady load. */
constexpr int kLongPromptInterval = 13;
constexpr int64_t kShortTokens = 5000;
constexpr int64_t kLongTokens = 100000;
/** Streams at each engine. */
constexpr int kStreamsPerEngine = 8;
constexpr int kDecisions = 2000;

EngineProfile Engine() {
  return {.slots = 16,
          .memory_tokens = 315000,
          .step_ms = 0.85,
          .per_sequence_ms = 0.00425,
          .per_context_k_ms = 0.00285,
          .prefill_tokens_per_ms = 177,
          .per_million_pairs_ms = 0.184,
          .chunk_tokens = 2048,
          .steps_per_pass = 51};
}

/** Prints the mean time of a placement decision in microseconds, for short and
    for long prompts, at a steady number of streams. */
void MeasureDecisions(int engines) {
  FleetScheduler scheduler;
  std::vector<UpstreamSpec> upstreams;
  for (int i = 1; i <= engines; ++i)
    upstreams.push_back({UpstreamKey(i), "engines", 16});
  scheduler.SetUpstreams(upstreams);
  scheduler.SetEngine("engines", Engine());
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<WorkKey> running;
  uint64_t sequence = 0;
  double seconds[2] = {};
  int counts[2] = {};
  std::mt19937 random(1);
  const auto submit = [&](int64_t tokens) {
    const WorkKey key{1, ++sequence};
    const auto begin = Clock::now();
    scheduler.Submit({.key = key,
                      .service = "engines",
                      .prompt_tokens = tokens,
                      .output_tokens = 800,
                      .due = now + absl::Seconds(1),
                      .deadline = now + absl::Seconds(600),
                      .event_gap = absl::Milliseconds(250)});
    const auto decisions = scheduler.Run(now);
    const bool placed = scheduler.IsRunning(key);
    if (placed)
      scheduler.OnResponseStarted(key, now);
    const std::chrono::duration<double> elapsed = Clock::now() - begin;
    const int kind = tokens > kShortTokens ? 1 : 0;
    seconds[kind] += elapsed.count();
    ++counts[kind];
    if (placed)
      running.push_back(key);
    else
      scheduler.Forget(key, now);
  };
  const size_t target_streams =
      static_cast<size_t>(engines) * kStreamsPerEngine;
  while (running.size() < target_streams && sequence < 4 * target_streams) {
    submit(kShortTokens);
    now += absl::Milliseconds(400);
  }
  seconds[0] = seconds[1] = counts[0] = counts[1] = 0;
  for (int i = 0; i < kDecisions; ++i) {
    now += absl::Milliseconds(200);
    submit(i % kLongPromptInterval == 0 ? kLongTokens : kShortTokens);
    if (running.size() <= target_streams)
      continue;
    const size_t ended_index = random() % running.size();
    scheduler.OnEnded(running[ended_index], AttemptResult::kDone, 0, now);
    running[ended_index] = running.back();
    running.pop_back();
  }
  std::cout << absl::StrFormat(
      "engines=%d streams=%d short_us=%.1f long_us=%.1f\n", engines,
      running.size(), 1e6 * seconds[0] / counts[0],
      1e6 * seconds[1] / counts[1]);
}

/** Prints the time to encode and decode one datagram, in microseconds. */
void MeasureDatagram() {
  const PeerMessage message{
      .sender = 1,
      .content = SubmitMessage{{.sequence = 1,
                                .service = "engines",
                                .prompt_tokens = kShortTokens}}};
  constexpr int kRounds = 100000;
  size_t bytes = 0;
  const auto begin = Clock::now();
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = EncodePeerMessage(message);
    bytes = text.size();
    if (!DecodePeerMessage(text))
      return;
  }
  const std::chrono::duration<double> elapsed = Clock::now() - begin;
  std::cout << absl::StrFormat("datagram_bytes=%d encode_and_decode_us=%.2f\n",
                               bytes, 1e6 * elapsed.count() / kRounds);
}

}  // namespace
}  // namespace chicory

int main() {
  for (const int engines : {14, 45, 150, 450, 2000})
    chicory::MeasureDecisions(engines);
  chicory::MeasureDatagram();
  return 0;
}

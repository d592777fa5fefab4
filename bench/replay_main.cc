#include <algorithm>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"
#include "bench/baselines.h"
#include "bench/report.h"
#include "stand_ins/traffic.h"
#include "stand_ins/virtual_fleet.h"

namespace chicory {
namespace {

// The fleet has the size of today's deployments; its engines follow the model
// of the engine stand-in.
constexpr int kEntryCount = 15;
constexpr int kEngineCount = 15;
constexpr absl::Duration kCallTimeout = absl::Seconds(200);
constexpr absl::Duration kWarmUpDuration = absl::Seconds(20);
constexpr absl::Duration kTrafficDuration = absl::Seconds(300);

absl::Time TimeAt(absl::Duration length) {
  return absl::UnixEpoch() + length;
}

/** Returns the mean of MinimumEngineTime() over the calls of the mixed traffic,
    in seconds. Without `include_long_prompts`, calls of more than 4000 prompt
    tokens count as 0. */
double MeanEngineSeconds(bool include_long_prompts) {
  TrafficMix mix{.rate = 100, .length = absl::Seconds(2000), .is_mixed = true};
  double engine_seconds = 0;
  const auto calls = MakeTraffic(mix, 4711);
  for (const VirtualCall& call : calls) {
    if (!include_long_prompts && call.prompt_tokens > 4000)
      continue;
    engine_seconds +=
        absl::ToDoubleSeconds(MinimumEngineTime(call, EngineModel::Options()));
  }
  return engine_seconds / static_cast<double>(calls.size());
}

/** Returns the rate of mixed traffic, in calls per second, that keeps all
    engines of the fleet busy. */
double CapacityCallsPerSecond() {
  return kEngineCount / MeanEngineSeconds(/*include_long_prompts=*/true);
}

/** Number of engines whose load each entry polls; 0 for all. */
int polled_engines = 0;

VirtualFleet::Options FleetOptions(const DispatchStrategy& strategy,
                                   uint64_t seed) {
  VirtualFleet::Options options;
  options.entries = kEntryCount;
  options.engines = kEngineCount;
  options.seed = seed;
  options.has_gossip = false;
  options.polled_engines = polled_engines;
  options.make_dispatcher = strategy.make_dispatcher_options;
  options.detects_stalls = strategy.detects_stalls;
  return options;
}

/** Prints the times to first token and the outcomes of the calls that arrived
    in [`from`, `to`), for each length class. */
void PrintLengthClasses(const std::string& name,
                        const VirtualFleet& fleet,
                        absl::Time from,
                        absl::Time to) {
  const auto& classes = fleet.options().length_classes;
  for (size_t index = 0; index < classes.size(); ++index) {
    std::vector<double> first_token_ms;
    int64_t call_count = 0;
    int64_t completed = 0;
    int64_t within_bound = 0;
    std::map<std::string, int> reason_counts;
    for (const CallRecord& record : fleet.records()) {
      if (record.length_class != index || record.call.at < from ||
          record.call.at >= to) {
        continue;
      }
      ++call_count;
      if (record.end == CallRecord::End::kCompleted)
        ++completed;
      else
        ++reason_counts[RefusalReasonName(record.refusal.reason)];
      within_bound += record.first_token <= classes[index].first_token_within;
      if (record.first_token < absl::InfiniteDuration())
        first_token_ms.push_back(
            absl::ToDoubleMilliseconds(record.first_token));
    }
    std::string reasons_text;
    for (const auto& [reason, count] : reason_counts)
      absl::StrAppend(&reasons_text, " ", reason, "=", count);
    std::cout << absl::StrFormat(
        "%-14s %-8s calls=%6d completed=%6.2f%% within_bound=%6.2f%% "
        "p50=%8.0fms p95=%8.0fms p99=%8.0fms%s\n",
        name, classes[index].name, call_count,
        100.0 * completed / std::max<int64_t>(1, call_count),
        100.0 * within_bound / std::max<int64_t>(1, call_count),
        Percentile(first_token_ms, 50), Percentile(first_token_ms, 95),
        Percentile(first_token_ms, 99), reasons_text);
  }
}

/** Runs mixed traffic at `load`, a share of the fleet's capacity. Without
    `include_long_prompts`, calls estimated at more than 4000 tokens are left
    out while the others arrive at the same times. */
std::unique_ptr<VirtualFleet> RunMixedTraffic(const DispatchStrategy& strategy,
                                              double load,
                                              bool include_long_prompts,
                                              uint64_t seed) {
  auto fleet = std::make_unique<VirtualFleet>(FleetOptions(strategy, seed));
  TrafficMix mix{.rate = load * CapacityCallsPerSecond(),
                 .length = kTrafficDuration,
                 .timeout = kCallTimeout,
                 .is_mixed = true};
  for (const VirtualCall& call : MakeTraffic(mix, seed)) {
    if (include_long_prompts || call.estimated_tokens <= 4000)
      fleet->AddCall(call);
  }
  fleet->RunUntil(TimeAt(kTrafficDuration + kCallTimeout + absl::Seconds(10)));
  return fleet;
}

/** Returns the 99th percentile of the time to first token of the shortest
    length class, in milliseconds and after warm-up. Calls without a first token
    count as 1000 s. */
double ShortPromptP99Ms(const VirtualFleet& fleet) {
  std::vector<double> first_token_ms;
  for (const CallRecord& record : fleet.records()) {
    if (record.length_class == 0 && record.call.at >= TimeAt(kWarmUpDuration))
      first_token_ms.push_back(absl::ToDoubleMilliseconds(
          std::min(record.first_token, absl::Seconds(1000))));
  }
  return Percentile(first_token_ms, 99);
}

/** Returns the minimum engine time of the calls that completed in [`from`,
   `to`), as a share of the engine time that the fleet had in that interval. */
double Goodput(const VirtualFleet& fleet, absl::Time from, absl::Time to) {
  double engine_seconds = 0;
  for (const CallRecord& record : fleet.records()) {
    const absl::Time ended = record.call.at + record.ended;
    if (record.end == CallRecord::End::kCompleted && ended >= from &&
        ended < to)
      engine_seconds += absl::ToDoubleSeconds(
          MinimumEngineTime(record.call, fleet.options().engine));
  }
  return engine_seconds /
         (fleet.options().engines * absl::ToDoubleSeconds(to - from));
}

void CompareMixedTraffic(double load,
                         const std::vector<uint64_t>& seeds,
                         bool with_baselines) {
  for (uint64_t seed : seeds) {
    std::cout << absl::StrFormat(
        "== mixed load at %.0f%% of capacity, seed %d\n", load * 100, seed);
    const auto short_only = RunMixedTraffic(
        ShippedStrategy(), load, /*include_long_prompts=*/false, seed);
    std::cout << absl::StrFormat("short p99 without long prompts: %.0f ms\n",
                                 ShortPromptP99Ms(*short_only));
    std::vector<DispatchStrategy> strategies{ShippedStrategy()};
    if (with_baselines) {
      strategies.push_back(RoundRobinStrategy());
      strategies.push_back(LeastLoadedStrategy());
    }
    for (const DispatchStrategy& strategy : strategies) {
      const auto fleet =
          RunMixedTraffic(strategy, load, /*include_long_prompts=*/true, seed);
      PrintLengthClasses(strategy.name, *fleet, TimeAt(kWarmUpDuration),
                         TimeAt(kTrafficDuration));
      const double offered_seconds = [&] {
        double engine_seconds = 0;
        for (const CallRecord& record : fleet->records())
          engine_seconds += absl::ToDoubleSeconds(
              MinimumEngineTime(record.call, fleet->options().engine));
        return engine_seconds;
      }();
      const double completed_seconds =
          Goodput(*fleet, TimeAt(absl::ZeroDuration()),
                  TimeAt(kTrafficDuration + kCallTimeout)) *
          fleet->options().engines *
          absl::ToDoubleSeconds(kTrafficDuration + kCallTimeout);
      std::cout << absl::StrFormat(
          "%-14s short p99 ratio=%.2f goodput=%.1f%% of the offered work "
          "attempts/call=%.3f\n",
          strategy.name,
          ShortPromptP99Ms(*fleet) / ShortPromptP99Ms(*short_only),
          100 * completed_seconds / offered_seconds,
          static_cast<double>(fleet->attempts()) / fleet->records().size());
    }
  }
}

/** A retry storm: load of twice the capacity for a while, with callers that
    retry after every failure, followed by a load within the capacity. */
struct RetryStorm {
  absl::Duration calm_duration = absl::Seconds(60);
  /** Duration of the overload. */
  absl::Duration storm = absl::Seconds(600);
  absl::Duration recovery_duration = absl::Seconds(240);
  /** Load before and after the overload, as a share of capacity. */
  double calm_load = 0.7;
  /** Load during the overload, as a share of capacity. */
  double storm_load = 2.0;
  /** Time that a caller waits for each submission. */
  absl::Duration timeout = absl::Seconds(10);
  int max_client_retries = 5;
  /** Interval over which goodput is averaged. */
  absl::Duration goodput_window = absl::Seconds(10);
};

/** Results of a retry storm with one strategy. */
struct RetryStormResult {
  std::string name;
  /** Goodput in each window, as a share of capacity. */
  std::vector<double> goodput;
  /** Goodput during the overload, without its first 30 s, as a share of
      capacity. */
  double goodput_in_storm = 0;
  /** Attempts at upstreams per submission of a request by a caller; retries by
      the caller are submissions too. */
  double attempts_per_submission = 0;
  /** Time from the end of the overload until goodput stays at or above 90% of
      the offered load. */
  double recovery_seconds = 0;
};

std::vector<VirtualCall> MakeRetryStormCalls(const RetryStorm& storm,
                                             uint64_t seed) {
  TrafficMix mix{.min_prompt_tokens = 1000,
                 .max_prompt_tokens = 8000,
                 .timeout = storm.timeout};
  mix.rate = 100;
  mix.length = absl::Seconds(200);
  double engine_seconds = 0;
  const auto sample = MakeTraffic(mix, 4711);
  for (const VirtualCall& call : sample)
    engine_seconds +=
        absl::ToDoubleSeconds(MinimumEngineTime(call, EngineModel::Options()));
  const double capacity = kEngineCount / (engine_seconds / sample.size());
  std::vector<VirtualCall> calls;
  absl::Time at = TimeAt(absl::ZeroDuration());
  const std::vector<std::pair<absl::Duration, double>> phases = {
      {storm.calm_duration, storm.calm_load},
      {storm.storm, storm.storm_load},
      {storm.recovery_duration, storm.calm_load}};
  for (const auto& [length, load] : phases) {
    mix.rate = load * capacity;
    mix.start = at;
    mix.length = length;
    for (const VirtualCall& call : MakeTraffic(mix, seed++))
      calls.push_back(call);
    at += length;
  }
  return calls;
}

RetryStormResult RunRetryStorm(const RetryStorm& storm,
                               const DispatchStrategy& strategy,
                               bool cancels_on_disconnect,
                               uint64_t seed) {
  VirtualFleet::Options options = FleetOptions(strategy, seed);
  options.max_client_retries = storm.max_client_retries;
  options.follows_retry_after = false;
  options.cancels_disconnected_requests = cancels_on_disconnect;
  VirtualFleet fleet(std::move(options));
  for (const VirtualCall& call : MakeRetryStormCalls(storm, seed))
    fleet.AddCall(call);
  const absl::Duration length =
      storm.calm_duration + storm.storm + storm.recovery_duration;
  fleet.RunUntil(TimeAt(length));
  RetryStormResult result{.name = strategy.name};
  for (absl::Duration at = absl::ZeroDuration(); at < length;
       at += storm.goodput_window) {
    result.goodput.push_back(
        Goodput(fleet, TimeAt(at), TimeAt(at + storm.goodput_window)));
  }
  result.goodput_in_storm =
      Goodput(fleet, TimeAt(storm.calm_duration + absl::Seconds(30)),
              TimeAt(storm.calm_duration + storm.storm));
  int64_t submissions = 0;
  for (const CallRecord& record : fleet.records())
    submissions += record.submissions;
  result.attempts_per_submission =
      static_cast<double>(fleet.attempts()) / std::max<int64_t>(1, submissions);
  const auto end = static_cast<size_t>((storm.calm_duration + storm.storm) /
                                       storm.goodput_window);
  size_t recovered_index = end;
  for (size_t i = end; i + 1 < result.goodput.size(); ++i) {
    if (result.goodput[i] < 0.9 * storm.calm_load)
      recovered_index = i + 1;
  }
  result.recovery_seconds =
      absl::ToDoubleSeconds((recovered_index - end) * storm.goodput_window);
  return result;
}

void CompareRetryStorms(const std::vector<uint64_t>& seeds,
                        const std::string& svg_folder,
                        bool with_baselines) {
  const RetryStorm storm;
  for (uint64_t seed : seeds) {
    std::vector<Series> series;
    std::vector<RetryStormResult> results{RunRetryStorm(
        storm, ShippedStrategy(), /*cancels_on_disconnect=*/true, seed)};
    if (with_baselines) {
      results.push_back(RunRetryStorm(storm, LeastLoadedStrategy(),
                                      /*cancels_on_disconnect=*/true, seed));
      results.push_back(RunRetryStorm(storm, NaiveRetryStrategy(),
                                      /*cancels_on_disconnect=*/false, seed));
    }
    for (const RetryStormResult& result : results) {
      std::cout << absl::StrFormat(
          "storm seed=%d %-14s goodput_in_storm=%.1f%% of capacity "
          "attempts_per_sending=%.3f recovery=%.0fs last_window=%.1f%%\n",
          seed, result.name, 100 * result.goodput_in_storm,
          result.attempts_per_submission, result.recovery_seconds,
          100 * result.goodput[result.goodput.size() - 2]);
      series.push_back({result.name, result.goodput});
    }
    if (svg_folder.empty())
      continue;
    WriteSvg(absl::StrCat(svg_folder, "/storm-", seed, ".svg"),
             {.title = "Goodput through a storm",
              .x_title = "windows of 10 s",
              .y_title = "share of capacity",
              .y_max = 1.2},
             series);
  }
}

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_replay",
                           "Replays synthetic traffic in virtual time and "
                           "compares dispatch strategies.");
  std::vector<uint64_t> seeds;
  std::string svg;
  bool shipped_only = false;
  double load = 0.85;
  std::string experiment = "mixed";
  options.add_options()("help", "Print this help")(
      "experiment", "mixed or storm", cxxopts::value(experiment))(
      "load", "Load as a share of capacity", cxxopts::value(load))(
      "seeds", "Seeds", cxxopts::value(seeds))("svg", "Folder for plots",
                                               cxxopts::value(svg))(
      "polled", "Number of engines whose load an entry polls; 0 for all",
      cxxopts::value(polled_engines))("shipped-only",
                                      "Run without the baselines",
                                      cxxopts::value(shipped_only));
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (seeds.empty())
    seeds = {1, 2, 3};
  std::cout << absl::StrFormat("capacity: %.1f calls a second\n",
                               CapacityCallsPerSecond());
  if (experiment == "mixed") {
    CompareMixedTraffic(load, seeds, !shipped_only);
  } else if (experiment == "storm") {
    CompareRetryStorms(seeds, svg, !shipped_only);
  } else {
    std::cerr << "chicory_replay: unknown experiment `" << experiment << "`\n";
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}

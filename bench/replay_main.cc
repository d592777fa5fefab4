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

/** Sizes of a run: today's deployments, and the engine of the stand-in. */
constexpr int kEntries = 15;
constexpr int kEngines = 15;
constexpr absl::Duration kPatience = absl::Seconds(200);
constexpr absl::Duration kWarmUp = absl::Seconds(20);
constexpr absl::Duration kLength = absl::Seconds(300);

absl::Time Moment(absl::Duration length) {
  return absl::UnixEpoch() + length;
}

/** Mean least engine time of a call of the users' mix, in seconds. */
double MeanWork(bool with_long) {
  TrafficMix mix{.rate = 100, .length = absl::Seconds(2000), .is_mixed = true};
  double work = 0;
  const auto calls = MakeTraffic(mix, 4711);
  for (const VirtualCall& call : calls) {
    if (!with_long && call.prompt_tokens > 4000)
      continue;
    work +=
        absl::ToDoubleSeconds(MinimumEngineTime(call, EngineModel::Options()));
  }
  return work / static_cast<double>(calls.size());
}

/** Calls a second at which the fleet's engines would all be busy. */
double CapacityRate() {
  return kEngines / MeanWork(/*with_long=*/true);
}

/** Engines whose load an entry asks for; 0 for all. */
int polled_engines = 0;

VirtualFleet::Options FleetOptions(const Contender& contender, uint64_t seed) {
  VirtualFleet::Options options;
  options.entries = kEntries;
  options.engines = kEngines;
  options.seed = seed;
  options.has_gossip = false;
  options.polled_engines = polled_engines;
  options.make_dispatcher = contender.make;
  options.detects_stalls = contender.detects_stalls;
  return options;
}

/** Time to first token and outcomes by class. */
void PrintClasses(const std::string& name,
                  const VirtualFleet& fleet,
                  absl::Time from,
                  absl::Time to) {
  const auto& classes = fleet.options().length_classes;
  for (size_t index = 0; index < classes.size(); ++index) {
    std::vector<double> times;
    int64_t all = 0;
    int64_t completed = 0;
    int64_t within = 0;
    std::map<std::string, int> reasons;
    for (const CallRecord& record : fleet.records()) {
      if (record.length_class != index || record.call.at < from ||
          record.call.at >= to) {
        continue;
      }
      ++all;
      if (record.end == CallRecord::End::kCompleted)
        ++completed;
      else
        ++reasons[RefusalReasonName(record.refusal.reason)];
      within += record.first_token <= classes[index].first_token_within;
      if (record.first_token < absl::InfiniteDuration())
        times.push_back(absl::ToDoubleMilliseconds(record.first_token));
    }
    std::string refused;
    for (const auto& [reason, count] : reasons)
      absl::StrAppend(&refused, " ", reason, "=", count);
    std::cout << absl::StrFormat(
        "%-14s %-8s calls=%6d completed=%6.2f%% within_bound=%6.2f%% "
        "p50=%8.0fms p95=%8.0fms p99=%8.0fms%s\n",
        name, classes[index].name, all,
        100.0 * completed / std::max<int64_t>(1, all),
        100.0 * within / std::max<int64_t>(1, all), Percentile(times, 50),
        Percentile(times, 95), Percentile(times, 99), refused);
  }
}

/** One run of mixed traffic at a share of the fleet's capacity. */
std::unique_ptr<VirtualFleet> RunMixed(const Contender& contender,
                                       double load,
                                       bool with_long,
                                       uint64_t seed) {
  auto fleet = std::make_unique<VirtualFleet>(FleetOptions(contender, seed));
  TrafficMix mix{.rate = load * CapacityRate(),
                 .length = kLength,
                 .timeout = kPatience,
                 .is_mixed = true};
  for (const VirtualCall& call : MakeTraffic(mix, seed)) {
    if (with_long || call.estimated_tokens <= 4000)
      fleet->AddCall(call);
  }
  fleet->RunUntil(Moment(kLength + kPatience + absl::Seconds(10)));
  return fleet;
}

double ShortP99(const VirtualFleet& fleet) {
  std::vector<double> times;
  for (const CallRecord& record : fleet.records()) {
    if (record.length_class == 0 && record.call.at >= Moment(kWarmUp))
      times.push_back(absl::ToDoubleMilliseconds(
          std::min(record.first_token, absl::Seconds(1000))));
  }
  return Percentile(times, 99);
}

/** Share of the offered work that was completed. */
double Goodput(const VirtualFleet& fleet, absl::Time from, absl::Time to) {
  double work = 0;
  for (const CallRecord& record : fleet.records()) {
    const absl::Time ended = record.call.at + record.ended;
    if (record.end == CallRecord::End::kCompleted && ended >= from &&
        ended < to)
      work += absl::ToDoubleSeconds(
          MinimumEngineTime(record.call, fleet.options().engine));
  }
  return work / (fleet.options().engines * absl::ToDoubleSeconds(to - from));
}

void CompareMixed(double load,
                  const std::vector<uint64_t>& seeds,
                  bool with_baselines) {
  for (uint64_t seed : seeds) {
    std::cout << absl::StrFormat(
        "== mixed load at %.0f%% of capacity, seed %d\n", load * 100, seed);
    const auto alone = RunMixed(Shipped(), load, /*with_long=*/false, seed);
    std::cout << absl::StrFormat(
        "short p99 with the long ones taken out: %.0f ms\n", ShortP99(*alone));
    std::vector<Contender> contenders{Shipped()};
    if (with_baselines) {
      contenders.push_back(RoundRobin());
      contenders.push_back(LeastLoaded());
    }
    for (const Contender& contender : contenders) {
      const auto fleet = RunMixed(contender, load, /*with_long=*/true, seed);
      PrintClasses(contender.name, *fleet, Moment(kWarmUp), Moment(kLength));
      const double offered = [&] {
        double work = 0;
        for (const CallRecord& record : fleet->records())
          work += absl::ToDoubleSeconds(
              MinimumEngineTime(record.call, fleet->options().engine));
        return work;
      }();
      const double done = Goodput(*fleet, Moment(absl::ZeroDuration()),
                                  Moment(kLength + kPatience)) *
                          fleet->options().engines *
                          absl::ToDoubleSeconds(kLength + kPatience);
      std::cout << absl::StrFormat(
          "%-14s short p99 ratio=%.2f goodput=%.1f%% of the offered work "
          "attempts/call=%.3f\n",
          contender.name, ShortP99(*fleet) / ShortP99(*alone),
          100 * done / offered,
          static_cast<double>(fleet->attempts()) / fleet->records().size());
    }
  }
}

/** A slow hour: twice the capacity for a while, callers that send again on
    every failure, then a load that the fleet can carry. */
struct Storm {
  absl::Duration calm = absl::Seconds(60);
  absl::Duration storm = absl::Seconds(600);
  absl::Duration after = absl::Seconds(240);
  double calm_load = 0.7;
  double storm_load = 2.0;
  absl::Duration timeout = absl::Seconds(10);
  int max_client_retries = 5;
  absl::Duration window = absl::Seconds(10);
};

/** What came of a storm. */
struct StormResult {
  std::string name;
  /** Goodput as a share of capacity, by window. */
  std::vector<double> goodput;
  double in_storm = 0;
  double attempts_per_sending = 0;
  /** From the end of the storm until goodput stays at nine tenths of what is
      offered. */
  double recovery_seconds = 0;
};

std::vector<VirtualCall> StormCalls(const Storm& storm, uint64_t seed) {
  TrafficMix mix{.min_prompt_tokens = 1000,
                 .max_prompt_tokens = 8000,
                 .timeout = storm.timeout};
  mix.rate = 100;
  mix.length = absl::Seconds(200);
  double work = 0;
  const auto sample = MakeTraffic(mix, 4711);
  for (const VirtualCall& call : sample)
    work +=
        absl::ToDoubleSeconds(MinimumEngineTime(call, EngineModel::Options()));
  const double capacity = kEngines / (work / sample.size());
  std::vector<VirtualCall> calls;
  absl::Time at = Moment(absl::ZeroDuration());
  const std::vector<std::pair<absl::Duration, double>> phases = {
      {storm.calm, storm.calm_load},
      {storm.storm, storm.storm_load},
      {storm.after, storm.calm_load}};
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

StormResult RunStorm(const Storm& storm,
                     const Contender& contender,
                     bool cancels,
                     uint64_t seed) {
  VirtualFleet::Options options = FleetOptions(contender, seed);
  options.max_client_retries = storm.max_client_retries;
  options.follows_retry_after = false;
  options.cancels_disconnected_requests = cancels;
  VirtualFleet fleet(std::move(options));
  for (const VirtualCall& call : StormCalls(storm, seed))
    fleet.AddCall(call);
  const absl::Duration length = storm.calm + storm.storm + storm.after;
  fleet.RunUntil(Moment(length));
  StormResult result{.name = contender.name};
  for (absl::Duration at = absl::ZeroDuration(); at < length;
       at += storm.window) {
    result.goodput.push_back(
        Goodput(fleet, Moment(at), Moment(at + storm.window)));
  }
  result.in_storm = Goodput(fleet, Moment(storm.calm + absl::Seconds(30)),
                            Moment(storm.calm + storm.storm));
  int64_t submissions = 0;
  for (const CallRecord& record : fleet.records())
    submissions += record.submissions;
  result.attempts_per_sending =
      static_cast<double>(fleet.attempts()) / std::max<int64_t>(1, submissions);
  const auto end =
      static_cast<size_t>((storm.calm + storm.storm) / storm.window);
  size_t last_bad = end;
  for (size_t i = end; i + 1 < result.goodput.size(); ++i) {
    if (result.goodput[i] < 0.9 * storm.calm_load)
      last_bad = i + 1;
  }
  result.recovery_seconds =
      absl::ToDoubleSeconds((last_bad - end) * storm.window);
  return result;
}

void CompareStorms(const std::vector<uint64_t>& seeds,
                   const std::string& svg_folder,
                   bool with_baselines) {
  const Storm storm;
  for (uint64_t seed : seeds) {
    std::vector<Series> series;
    std::vector<StormResult> results{
        RunStorm(storm, Shipped(), /*cancels=*/true, seed)};
    if (with_baselines) {
      results.push_back(RunStorm(storm, LeastLoaded(), /*cancels=*/true, seed));
      results.push_back(
          RunStorm(storm, NaiveRetries(), /*cancels=*/false, seed));
    }
    for (const StormResult& result : results) {
      std::cout << absl::StrFormat(
          "storm seed=%d %-14s goodput_in_storm=%.1f%% of capacity "
          "attempts_per_sending=%.3f recovery=%.0fs last_window=%.1f%%\n",
          seed, result.name, 100 * result.in_storm, result.attempts_per_sending,
          result.recovery_seconds,
          100 * result.goodput[result.goodput.size() - 2]);
      series.push_back({result.name, result.goodput});
    }
    if (svg_folder.empty())
      continue;
    WriteSvg(absl::StrCat(svg_folder, "/storm-", seed, ".svg"),
             {.title = "Goodput through a storm",
              .x_title = "windows of 10 s",
              .y_title = "share of capacity",
              .y_most = 1.2},
             series);
  }
}

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_replay",
                           "Replays traffic in virtual time and compares ways "
                           "to decide.");
  std::vector<uint64_t> seeds;
  std::string svg;
  bool shipped_only = false;
  double load = 0.85;
  std::string experiment = "mixed";
  options.add_options()("help", "Print this help")(
      "experiment", "mixed or storm", cxxopts::value(experiment))(
      "load", "Share of capacity", cxxopts::value(load))(
      "seeds", "Seeds", cxxopts::value(seeds))("svg", "Folder for plots",
                                               cxxopts::value(svg))(
      "polled", "Engines whose load an entry asks for; 0 for all",
      cxxopts::value(polled_engines))("shipped-only", "Leave the baselines out",
                                      cxxopts::value(shipped_only));
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (seeds.empty())
    seeds = {1, 2, 3};
  std::cout << absl::StrFormat("capacity: %.1f calls a second\n",
                               CapacityRate());
  if (experiment == "mixed") {
    CompareMixed(load, seeds, !shipped_only);
  } else if (experiment == "storm") {
    CompareStorms(seeds, svg, !shipped_only);
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

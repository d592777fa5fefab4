#include "modules/decisions/fleet_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/core/hashing.h"
#include "modules/decisions/scheduler_groups.h"

namespace chicory {
namespace {

constexpr int64_t kEngineMemory = 315000;

EngineProfile Engine() {
  return {.slots = 16,
          .memory_tokens = kEngineMemory,
          .step_ms = 0.85,
          .per_sequence_ms = 0.00425,
          .per_context_k_ms = 0.00285,
          .prefill_tokens_per_ms = 177,
          .per_million_pairs_ms = 0.184,
          .chunk_tokens = 2048,
          .steps_per_pass = 51};
}

/** A scheduler of `engines` engines and three plain upstreams, in virtual time.
 */
class Bench {
 public:
  explicit Bench(int engines) {
    for (int i = 1; i <= engines; ++i)
      upstreams_.push_back({UpstreamKey(i), "engines", 16});
    for (int i = 101; i <= 103; ++i)
      upstreams_.push_back({UpstreamKey(i), "desk", 6});
    scheduler.SetUpstreams(upstreams_);
    scheduler.SetEngine("engines", Engine());
  }

  /** Submits a prompt and returns its key. */
  WorkKey Prompt(int64_t tokens,
                 absl::Duration target,
                 absl::Duration gap,
                 std::vector<UpstreamKey> avoid = {},
                 absl::Duration deadline = absl::Seconds(15)) {
    const WorkKey key{1, ++sequence_};
    scheduler.Submit({.key = key,
                      .service = "engines",
                      .prompt_tokens = tokens,
                      .output_tokens = 800,
                      .due = now + target,
                      .deadline = now + deadline,
                      .event_gap = gap,
                      .avoid = std::move(avoid)});
    return key;
  }
  WorkKey Short(std::vector<UpstreamKey> avoid = {}) {
    return Prompt(5000, absl::Milliseconds(300), absl::Milliseconds(250),
                  std::move(avoid));
  }
  WorkKey Long(int64_t tokens) {
    return Prompt(tokens, absl::Seconds(3), absl::Seconds(1));
  }
  WorkKey Plain(absl::Duration deadline = absl::Seconds(4)) {
    const WorkKey key{1, ++sequence_};
    scheduler.Submit({.key = key,
                      .service = "desk",
                      .due = now + absl::Milliseconds(300),
                      .deadline = now + deadline});
    return key;
  }

  /** Decisions of one run, by key. */
  std::map<WorkKey, ScheduleDecision> Run() {
    std::map<WorkKey, ScheduleDecision> decisions;
    for (const ScheduleDecision& decision : scheduler.Run(now))
      decisions[decision.key] = decision;
    return decisions;
  }

  /** Places a prompt and lets it answer. */
  ScheduleDecision PlaceAndAnswer(WorkKey key) {
    const ScheduleDecision decision = Run().at(key);
    scheduler.OnResponseStarted(key, now);
    return decision;
  }

  FleetScheduler scheduler;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);

 private:
  std::vector<UpstreamSpec> upstreams_;
  uint64_t sequence_ = 0;
};

std::set<UpstreamKey> All(const ScheduleDecision& decision) {
  std::set<UpstreamKey> all(decision.helpers.begin(), decision.helpers.end());
  all.insert(decision.upstream);
  return all;
}

// Pattern: a steady stream of short prompts beside rare long ones.
TEST_CASE("short prompts share few engines, long ones take the others") {
  Bench bench(14);
  std::set<UpstreamKey> short_engines;
  for (int i = 0; i < 8; ++i) {
    short_engines.insert(bench.PlaceAndAnswer(bench.Short()).upstream);
    bench.now += absl::Milliseconds(150);
  }
  CHECK(short_engines.size() <= 3);
  const WorkKey key = bench.Long(154000);
  const ScheduleDecision decision = bench.Run().at(key);
  CHECK(decision.expected < absl::Seconds(3));
  for (UpstreamKey engine : All(decision))
    CHECK(short_engines.count(engine) == 0);
}

TEST_CASE("a long prompt is read by several engines when one would be late") {
  struct Case {
    int64_t tokens;
    size_t least;
    size_t most;
  };
  for (const Case& c : std::vector<Case>{
           {5000, 1, 1}, {45000, 1, 4}, {154000, 2, 14}, {280000, 4, 14}}) {
    INFO(c.tokens);
    Bench bench(14);
    const WorkKey key = bench.Long(c.tokens);
    const ScheduleDecision decision = bench.Run().at(key);
    CHECK(All(decision).size() >= c.least);
    CHECK(All(decision).size() <= c.most);
    CHECK(All(decision).size() == decision.helpers.size() + 1);
    CHECK(decision.memory.empty());
  }
}

TEST_CASE("what one engine cannot hold is set aside at its helpers") {
  for (const int64_t tokens : {320000, 400000, 700000}) {
    INFO(tokens);
    Bench bench(14);
    const WorkKey key = bench.Long(tokens);
    std::map<WorkKey, ScheduleDecision> decisions;
    for (int i = 0; i < 1000 && decisions.count(key) == 0; ++i) {
      decisions = bench.Run();
      bench.now += absl::Milliseconds(20);
    }
    REQUIRE(decisions.count(key) == 1);
    const ScheduleDecision& decision = decisions.at(key);
    REQUIRE(decision.kind == ScheduleDecision::Kind::kAssign);
    int64_t shared = 0;
    for (const MemoryShare& share : decision.memory) {
      CHECK(std::count(decision.helpers.begin(), decision.helpers.end(),
                       share.upstream) == 1);
      CHECK(share.tokens <= kEngineMemory);
      shared += share.tokens;
    }
    CHECK(shared + kEngineMemory >= tokens + 800);
  }
}

// Pattern: prompts that overlap on engines which turn to the newest part first.
TEST_CASE("a second long prompt does not interrupt one that is nearly read") {
  Bench bench(14);
  const WorkKey first = bench.Long(154000);
  const ScheduleDecision first_decision = bench.Run().at(first);
  REQUIRE(All(first_decision).size() < 12);
  bench.now += first_decision.expected - absl::Milliseconds(100);
  const WorkKey second = bench.Long(60000);
  const ScheduleDecision second_decision = bench.Run().at(second);
  for (UpstreamKey engine : All(second_decision))
    CHECK(All(first_decision).count(engine) == 0);
}

// Pattern: everything comes at once; what is late everywhere has to wait here.
TEST_CASE("prompts beyond the fleet's speed wait or are refused in time") {
  Bench bench(4);
  std::vector<WorkKey> keys;
  for (int i = 0; i < 30; ++i)
    keys.push_back(bench.Long(154000));
  std::map<WorkKey, ScheduleDecision> decided;
  const absl::Time begin = bench.now;
  while (bench.now < begin + absl::Seconds(16)) {
    for (const auto& [key, decision] : bench.Run()) {
      CHECK(decided.emplace(key, decision).second);
      if (decision.kind == ScheduleDecision::Kind::kRefuse)
        CHECK(decision.retry_after > absl::ZeroDuration());
    }
    bench.now += absl::Milliseconds(20);
  }
  CHECK(decided.size() == keys.size());
  CHECK(bench.scheduler.waiting() == 0);
}

// Pattern: far more long prompts than the engines can read.
TEST_CASE("refused callers are told to come back when less is owed") {
  const auto retry_after = [](int prompts) {
    Bench bench(2);
    for (int i = 0; i < prompts; ++i)
      bench.Long(45000);
    const WorkKey late = bench.Prompt(154000, absl::Milliseconds(1),
                                      absl::Seconds(1), {}, absl::Seconds(1));
    for (int i = 0; i < 1000; ++i) {
      const auto decisions = bench.Run();
      if (const auto found = decisions.find(late); found != decisions.end()) {
        CHECK(found->second.kind == ScheduleDecision::Kind::kRefuse);
        return found->second.retry_after;
      }
      bench.now += absl::Milliseconds(5);
    }
    FAIL("never decided");
    return absl::ZeroDuration();
  };
  const absl::Duration calm = retry_after(3);
  const absl::Duration crowded = retry_after(12);
  CHECK(calm >= absl::Milliseconds(500));
  CHECK(crowded > calm);
  CHECK(crowded <= absl::Seconds(3));
}

// Pattern: short prompts come a tenth faster than all slots can take them.
TEST_CASE("most short prompts are on time when a few too many come") {
  constexpr int kEngines = 4;
  constexpr absl::Duration kStream = absl::Milliseconds(2200);
  Bench bench(kEngines);
  const double per_second =
      1.1 * kEngines * 16 / absl::ToDoubleSeconds(kStream);
  std::map<WorkKey, absl::Time> arrived;
  std::map<WorkKey, absl::Time> ends;
  int placed_in_time = 0;
  int arrivals = 0;
  double owed = 0;
  const absl::Time begin = bench.now;
  while (bench.now < begin + absl::Seconds(20)) {
    for (owed += per_second * 0.005; owed >= 1; --owed) {
      arrived[bench.Short()] = bench.now;
      ++arrivals;
    }
    for (const auto& [key, decision] : bench.Run()) {
      if (decision.kind == ScheduleDecision::Kind::kRefuse)
        continue;
      const absl::Duration waited = bench.now - arrived[key];
      placed_in_time += waited + decision.expected < absl::Milliseconds(300);
      bench.scheduler.OnResponseStarted(key, bench.now);
      ends[key] = bench.now + kStream;
    }
    for (auto it = ends.begin(); it != ends.end();) {
      if (it->second > bench.now) {
        ++it;
        continue;
      }
      bench.scheduler.OnEnded(it->first, AttemptResult::kDone, 0, bench.now);
      it = ends.erase(it);
    }
    bench.now += absl::Milliseconds(5);
  }
  // Nine in ten could be; some room for the waves.
  CHECK(placed_in_time > 0.75 * arrivals);
}

TEST_CASE("an upstream that fails loses its share and gets it back") {
  for (const int faults : {1, 2, 3}) {
    INFO(faults);
    Bench bench(2);
    for (int i = 0; i < faults; ++i) {
      const WorkKey key = bench.Short({2});
      REQUIRE(bench.Run().at(key).upstream == 1);
      bench.scheduler.OnEnded(key, AttemptResult::kFault, 0, bench.now);
    }
    for (int i = 0; i < 5; ++i)
      CHECK(bench.PlaceAndAnswer(bench.Short()).upstream == 2);
    bench.now += absl::Seconds(20);
    CHECK(bench.PlaceAndAnswer(bench.Short({2})).upstream == 1);
  }
}

TEST_CASE("another upstream is blamed when the answer names it") {
  Bench bench(2);
  for (int i = 0; i < 3; ++i) {
    const WorkKey key = bench.Short({2});
    REQUIRE(bench.Run().at(key).upstream == 1);
    bench.scheduler.OnEnded(key, AttemptResult::kFault, 2, bench.now);
  }
  for (int i = 0; i < 5; ++i)
    CHECK(bench.PlaceAndAnswer(bench.Short()).upstream == 1);
}

TEST_CASE("when all fail or were tried, one of them still serves") {
  Bench bench(2);
  for (int i = 0; i < 8; ++i) {
    const WorkKey key = bench.Short();
    const auto decisions = bench.Run();
    REQUIRE(decisions.count(key) == 1);
    bench.scheduler.OnEnded(key, AttemptResult::kFault, 0, bench.now);
  }
  const WorkKey key = bench.Short({1, 2});
  CHECK(bench.Run().count(key) == 1);
}

// Pattern: few, equally loaded upstreams; one must not get all.
TEST_CASE("plain requests are spread and bounded") {
  Bench bench(1);
  std::map<UpstreamKey, int> counts;
  for (int i = 0; i < 30; ++i) {
    const WorkKey key = bench.Plain();
    const ScheduleDecision decision = bench.Run().at(key);
    ++counts[decision.upstream];
    bench.scheduler.OnEnded(key, AttemptResult::kDone, 0, bench.now);
    bench.now += absl::Milliseconds(50);
  }
  for (UpstreamKey key : {101, 102, 103})
    CHECK(counts[key] == 10);
  for (int i = 0; i < 40; ++i)
    bench.Plain(absl::Seconds(1));
  CHECK(bench.Run().size() ==
        27);  // 3 upstreams, 6 slots and half as much more
  bench.now += absl::Seconds(2);
  for (const auto& [key, decision] : bench.Run())
    CHECK(decision.kind == ScheduleDecision::Kind::kRefuse);
  CHECK(bench.scheduler.waiting() == 0);
}

TEST_CASE("upstreams that are taken away get nothing more") {
  Bench bench(2);
  bench.scheduler.SetUpstreams({{2, "engines", 16}});
  for (int i = 0; i < 5; ++i)
    CHECK(bench.PlaceAndAnswer(bench.Short()).upstream == 2);
}

TEST_CASE("work that was placed elsewhere counts after it is adopted") {
  Bench bench(2);
  for (uint64_t i = 0; i < 16; ++i) {
    bench.scheduler.Adopt(
        {.request = {.key = {9, i},
                     .service = "engines",
                     .prompt_tokens = 5000,
                     .output_tokens = 500,
                     .due = bench.now,
                     .deadline = bench.now + absl::Seconds(9)},
         .upstream = 1,
         .response_started = true},
        bench.now);
  }
  CHECK(bench.scheduler.RunningAt(1) == 16);
  CHECK(bench.PlaceAndAnswer(bench.Short()).upstream == 2);
  for (WorkKey key : bench.scheduler.KeysOf(9))
    bench.scheduler.Forget(key);
  CHECK(bench.scheduler.RunningAt(1) == 0);
}

TEST_CASE(
    "crashes are remembered by upstream, for a while and a bounded number") {
  const absl::Time begin = absl::UnixEpoch();
  CrashHistory record;
  for (UpstreamKey upstream : {1, 2, 2})
    record.OnCrash(7, upstream, begin);
  CHECK_FALSE(record.IsDangerous(7, begin));
  record.OnCrash(7, 3, begin);
  CHECK(record.IsDangerous(7, begin));
  CHECK_FALSE(record.IsDangerous(8, begin));
  CHECK_FALSE(record.IsDangerous(7, begin + CrashHistory::kMemory));
  record.OnCompleted(7);
  CHECK_FALSE(record.IsDangerous(7, begin));
  for (uint64_t i = 0; i < 2 * CrashHistory::kMostRequests; ++i)
    record.OnCrash(100 + i, 1, begin + absl::Milliseconds(int64_t(i)));
  CHECK(record.size() == CrashHistory::kMostRequests);
  record.OnCrash(1, 1, begin + 2 * CrashHistory::kMemory);
  CHECK(record.size() == 1);
}

TEST_CASE("upstreams of a large service are cut into groups, others are not") {
  struct Case {
    size_t upstreams;
    uint32_t groups;
  };
  for (const Case& c : std::vector<Case>{
           {1, 1}, {45, 1}, {96, 1}, {97, 2}, {300, 4}, {2000, 32}}) {
    INFO(c.upstreams);
    SchedulerGroups groups;
    std::vector<UpstreamSpec> upstreams = {{UpstreamKey(7), "small", 6}};
    for (size_t i = 1; i <= c.upstreams; ++i)
      upstreams.push_back({StableHash(std::to_string(i)), "large", 6});
    groups.SetUpstreams(upstreams);
    CHECK(groups.GroupCountOf("large") == c.groups);
    CHECK(groups.GroupCountOf("small") == 1);
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    for (uint32_t group = 0; group < c.groups; ++group) {
      const WorkKey key{1, group + 1};
      groups.Submit({.key = key,
                     .service = "large",
                     .due = now + absl::Seconds(1),
                     .deadline = now + absl::Seconds(4),
                     .group = group});
      const auto decisions = groups.Run(now);
      REQUIRE(decisions.size() == 1);
      CHECK(decisions[0].upstream % c.groups == group);
      CHECK(groups.IsRunning(key));
    }
    CHECK(groups.running() == c.groups);
    // One that counted more groups still finds one.
    groups.Submit({.key = {1, 99},
                   .service = "large",
                   .due = now + absl::Seconds(1),
                   .deadline = now + absl::Seconds(4),
                   .group = 2 * c.groups + 1});
    CHECK(groups.Run(now).size() == 1);
    for (uint64_t sequence = 1; sequence <= c.groups; ++sequence)
      groups.OnEnded({1, sequence}, AttemptResult::kDone, 0, now);
    groups.OnEnded({1, 99}, AttemptResult::kDone, 0, now);
    CHECK(groups.running() == 0);
  }
}

TEST_CASE("reading time follows the published speed") {
  struct Case {
    int64_t tokens;
    double milliseconds;
  };
  for (const Case& c : std::vector<Case>{
           {5000, 30.5}, {45000, 440.5}, {154000, 3052}, {700000, 49035}}) {
    INFO(c.tokens);
    CHECK(absl::ToDoubleMilliseconds(ReadTime(Engine(), c.tokens)) ==
          Approx(c.milliseconds).epsilon(0.01));
  }
  CHECK(PassTime(Engine(), 0, 0) == absl::Milliseconds(0.85));
  CHECK(absl::ToDoubleMilliseconds(PassTime(Engine(), 16, 80000)) ==
        Approx(58.4).epsilon(0.02));
}

}  // namespace
}  // namespace chicory

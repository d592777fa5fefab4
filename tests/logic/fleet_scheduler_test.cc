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

/** A scheduler in virtual time, with `engines` engines and three upstreams of a
    service that is not a model engine. */
class SchedulerHarness {
 public:
  explicit SchedulerHarness(int engines) {
    for (int i = 1; i <= engines; ++i)
      upstreams_.push_back({UpstreamKey(i), "engines", 16});
    for (int i = 101; i <= 103; ++i)
      upstreams_.push_back({UpstreamKey(i), "desk", 6});
    scheduler.SetUpstreams(upstreams_);
    scheduler.SetEngine("engines", Engine());
  }

  /** Submits a prompt and returns its key. */
  WorkKey SubmitPrompt(int64_t tokens,
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
  WorkKey SubmitShort(std::vector<UpstreamKey> avoid = {}) {
    return SubmitPrompt(5000, absl::Milliseconds(300), absl::Milliseconds(250),
                        std::move(avoid));
  }
  WorkKey SubmitLong(int64_t tokens) {
    return SubmitPrompt(tokens, absl::Seconds(3), absl::Seconds(1));
  }
  WorkKey SubmitPlain(absl::Duration deadline = absl::Seconds(4)) {
    const WorkKey key{1, ++sequence_};
    scheduler.Submit({.key = key,
                      .service = "desk",
                      .due = now + absl::Milliseconds(300),
                      .deadline = now + deadline});
    return key;
  }

  /** Returns the decisions of one run, by key. */
  std::map<WorkKey, ScheduleDecision> Run() {
    std::map<WorkKey, ScheduleDecision> decisions;
    for (const ScheduleDecision& decision : scheduler.Run(now))
      decisions[decision.key] = decision;
    return decisions;
  }

  /** Places a prompt and reports its first event. */
  ScheduleDecision PlaceAndStart(WorkKey key) {
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

std::set<UpstreamKey> AllUpstreams(const ScheduleDecision& decision) {
  std::set<UpstreamKey> all(decision.helpers.begin(), decision.helpers.end());
  all.insert(decision.upstream);
  return all;
}

// Load: a steady rate of short prompts and a rare long one.
TEST_CASE("short prompts share few engines, long ones use the others") {
  SchedulerHarness harness(14);
  std::set<UpstreamKey> short_engines;
  for (int i = 0; i < 8; ++i) {
    short_engines.insert(harness.PlaceAndStart(harness.SubmitShort()).upstream);
    harness.now += absl::Milliseconds(150);
  }
  CHECK(short_engines.size() <= 3);
  const WorkKey key = harness.SubmitLong(154000);
  const ScheduleDecision decision = harness.Run().at(key);
  CHECK(decision.expected < absl::Seconds(3));
  for (UpstreamKey engine : AllUpstreams(decision))
    CHECK(short_engines.count(engine) == 0);
}

TEST_CASE("a long prompt is split over engines when one would be late") {
  struct Case {
    int64_t tokens;
    size_t least;
    size_t most;
  };
  for (const Case& c : std::vector<Case>{
           {5000, 1, 1}, {45000, 1, 4}, {154000, 2, 14}, {280000, 4, 14}}) {
    INFO(c.tokens);
    SchedulerHarness harness(14);
    const WorkKey key = harness.SubmitLong(c.tokens);
    const ScheduleDecision decision = harness.Run().at(key);
    CHECK(AllUpstreams(decision).size() >= c.least);
    CHECK(AllUpstreams(decision).size() <= c.most);
    CHECK(AllUpstreams(decision).size() == decision.helpers.size() + 1);
    CHECK(decision.memory.empty());
  }
}

TEST_CASE("what one engine cannot hold is reserved at its helpers") {
  for (const int64_t tokens : {320000, 400000, 700000}) {
    INFO(tokens);
    SchedulerHarness harness(14);
    const WorkKey key = harness.SubmitLong(tokens);
    std::map<WorkKey, ScheduleDecision> decisions;
    for (int i = 0; i < 1000 && decisions.count(key) == 0; ++i) {
      decisions = harness.Run();
      harness.now += absl::Milliseconds(20);
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

// Engines prefill the newest part first, so that a second prompt on the same
// engines would delay one whose prefill is almost done.
TEST_CASE("a second long prompt does not delay one that is almost prefilled") {
  SchedulerHarness harness(14);
  const WorkKey first = harness.SubmitLong(154000);
  const ScheduleDecision first_decision = harness.Run().at(first);
  REQUIRE(AllUpstreams(first_decision).size() < 12);
  harness.now += first_decision.expected - absl::Milliseconds(100);
  const WorkKey second = harness.SubmitLong(60000);
  const ScheduleDecision second_decision = harness.Run().at(second);
  for (UpstreamKey engine : AllUpstreams(second_decision))
    CHECK(AllUpstreams(first_decision).count(engine) == 0);
}

// Load: all prompts arrive at once. Those that would be late everywhere wait in
// the scheduler, and each is decided once.
TEST_CASE("prompts beyond the engines' capacity wait or are refused in time") {
  SchedulerHarness harness(4);
  std::vector<WorkKey> keys;
  for (int i = 0; i < 30; ++i)
    keys.push_back(harness.SubmitLong(154000));
  std::map<WorkKey, ScheduleDecision> decided;
  const absl::Time begin = harness.now;
  while (harness.now < begin + absl::Seconds(16)) {
    for (const auto& [key, decision] : harness.Run()) {
      CHECK(decided.emplace(key, decision).second);
      if (decision.kind == ScheduleDecision::Kind::kRefuse)
        CHECK(decision.retry_after > absl::ZeroDuration());
    }
    harness.now += absl::Milliseconds(20);
  }
  CHECK(decided.size() == keys.size());
  CHECK(harness.scheduler.waiting() == 0);
}

// Load: far more long prompts than the engines can prefill.
TEST_CASE("the retry delay of refused requests grows with the backlog") {
  const auto retry_after = [](int prompts) {
    SchedulerHarness harness(2);
    for (int i = 0; i < prompts; ++i)
      harness.SubmitLong(45000);
    const WorkKey late = harness.SubmitPrompt(
        154000, absl::Milliseconds(1), absl::Seconds(1), {}, absl::Seconds(1));
    for (int i = 0; i < 1000; ++i) {
      const auto decisions = harness.Run();
      if (const auto found = decisions.find(late); found != decisions.end()) {
        CHECK(found->second.kind == ScheduleDecision::Kind::kRefuse);
        return found->second.retry_after;
      }
      harness.now += absl::Milliseconds(5);
    }
    FAIL("no decision on the late prompt within 5 s");
    return absl::ZeroDuration();
  };
  const absl::Duration short_backlog = retry_after(3);
  const absl::Duration long_backlog = retry_after(12);
  CHECK(short_backlog >= absl::Milliseconds(500));
  CHECK(long_backlog > short_backlog);
  CHECK(long_backlog <= absl::Seconds(3));
}

// Load: after a burst of the longest prompts a few engines still prefill late
// ones for many seconds each, and the other engines are idle.
TEST_CASE("a late prompt is served while most engines are idle") {
  constexpr int kEngines = 14;
  for (const int busy : {1, 2, 3}) {
    INFO(busy << " busy engines");
    SchedulerHarness harness(kEngines);
    for (int engine = 1; engine <= busy; ++engine) {
      for (uint64_t prompt = 0; prompt < 2; ++prompt)
        harness.scheduler.Adopt(
            {.request = {.key = {9, static_cast<uint64_t>(engine) * 2 + prompt},
                         .service = "engines",
                         .prompt_tokens = 300000,
                         .due = harness.now,
                         .deadline = harness.now + absl::Seconds(30)},
             .upstream = UpstreamKey(engine)},
            harness.now);
    }
    const WorkKey late = harness.SubmitPrompt(
        300000, -absl::Seconds(1), absl::Seconds(1), {}, absl::Seconds(4));
    const ScheduleDecision decision = harness.Run().at(late);
    CHECK(decision.kind == ScheduleDecision::Kind::kAssign);
    CHECK(decision.expected < absl::Seconds(4));
    for (UpstreamKey engine : AllUpstreams(decision))
      CHECK(engine > static_cast<UpstreamKey>(busy));
  }
}

// Load: a prompt comes back, late, with too little time left for any placement.
TEST_CASE("a prompt that no placement serves before its deadline is refused") {
  struct Case {
    const char* name;
    int64_t tokens;
    absl::Duration deadline;
    ScheduleDecision::Kind expected;
  };
  constexpr auto kAssign = ScheduleDecision::Kind::kAssign;
  constexpr auto kRefuse = ScheduleDecision::Kind::kRefuse;
  // Four engines prefill 280,000 tokens in 2.2 s, 600,000 tokens in 9.2 s.
  for (const Case& c : std::vector<Case>{
           {"no time", 280000, absl::Seconds(1), kRefuse},
           {"late, but served", 280000, absl::Seconds(6), kAssign},
           {"the longest, no time", 600000, absl::Seconds(5), kRefuse},
           {"the longest, late, but served", 600000, absl::Seconds(15),
            kAssign},
       }) {
    INFO(c.name);
    SchedulerHarness harness(4);
    const WorkKey key = harness.SubmitPrompt(c.tokens, absl::Milliseconds(1),
                                             absl::Seconds(1), {}, c.deadline);
    const ScheduleDecision decision = harness.Run().at(key);
    CHECK(decision.kind == c.expected);
    if (c.expected == kAssign)
      CHECK(decision.expected < c.deadline);
  }
}

// Load: short prompts beside a very long one that ends before its prefill does,
// because its caller leaves, it was prefilled early, or it was only adopted.
TEST_CASE("a prompt without further prefill leaves no backlog at its engine") {
  enum class End { kCancelled, kStartedEarly, kAdoptedWhenStarted };
  struct Case {
    const char* name;
    End end;
  };
  for (const Case& c : std::vector<Case>{
           {"cancelled", End::kCancelled},
           {"started early", End::kStartedEarly},
           {"adopted when it had started", End::kAdoptedWhenStarted},
       }) {
    INFO(c.name);
    SchedulerHarness harness(1);
    // Its response does not start during the test.
    REQUIRE(harness.Run().empty());
    const WorkKey pending = harness.SubmitShort();
    REQUIRE(harness.Run().count(pending) == 1);
    const RunningWork work{
        .request = {.key = {9, 1},
                    .service = "engines",
                    .prompt_tokens = 280000,
                    .due = harness.now + absl::Seconds(3),
                    .deadline = harness.now + absl::Seconds(15)},
        .upstream = 1,
        .response_started = c.end == End::kAdoptedWhenStarted};
    harness.scheduler.Adopt(work, harness.now);
    if (c.end == End::kCancelled)
      harness.scheduler.Forget(work.request.key, harness.now);
    if (c.end == End::kStartedEarly)
      harness.scheduler.OnResponseStarted(work.request.key, harness.now);
    const WorkKey key = harness.SubmitShort();
    const auto decisions = harness.Run();
    REQUIRE(decisions.count(key) == 1);
    CHECK(decisions.at(key).expected < absl::Milliseconds(300));
  }
}

// Load: short prompts arrive 10 % faster than all slots can serve them.
TEST_CASE("most short prompts are on time at slight overload") {
  constexpr int kEngines = 4;
  constexpr absl::Duration kStream = absl::Milliseconds(2200);
  SchedulerHarness harness(kEngines);
  const double per_second =
      1.1 * kEngines * 16 / absl::ToDoubleSeconds(kStream);
  std::map<WorkKey, absl::Time> arrived;
  std::map<WorkKey, absl::Time> ends;
  int placed_in_time = 0;
  int arrivals = 0;
  double arrivals_due = 0;
  const absl::Time begin = harness.now;
  while (harness.now < begin + absl::Seconds(20)) {
    for (arrivals_due += per_second * 0.005; arrivals_due >= 1;
         --arrivals_due) {
      arrived[harness.SubmitShort()] = harness.now;
      ++arrivals;
    }
    for (const auto& [key, decision] : harness.Run()) {
      if (decision.kind == ScheduleDecision::Kind::kRefuse)
        continue;
      const absl::Duration waited = harness.now - arrived[key];
      placed_in_time += waited + decision.expected < absl::Milliseconds(300);
      harness.scheduler.OnResponseStarted(key, harness.now);
      ends[key] = harness.now + kStream;
    }
    for (auto it = ends.begin(); it != ends.end();) {
      if (it->second > harness.now) {
        ++it;
        continue;
      }
      harness.scheduler.OnEnded(it->first, AttemptResult::kDone, 0,
                                harness.now);
      it = ends.erase(it);
    }
    harness.now += absl::Milliseconds(5);
  }
  // The slots suffice for about 90 % of the prompts; the bound leaves room for
  // uneven arrivals.
  CHECK(placed_in_time > 0.75 * arrivals);
}

TEST_CASE("an upstream that fails gets no work until its faults decay") {
  for (const int faults : {1, 2, 3}) {
    INFO(faults);
    SchedulerHarness harness(2);
    for (int i = 0; i < faults; ++i) {
      const WorkKey key = harness.SubmitShort({2});
      REQUIRE(harness.Run().at(key).upstream == 1);
      harness.scheduler.OnEnded(key, AttemptResult::kFault, 0, harness.now);
    }
    for (int i = 0; i < 5; ++i)
      CHECK(harness.PlaceAndStart(harness.SubmitShort()).upstream == 2);
    harness.now += absl::Seconds(20);
    CHECK(harness.PlaceAndStart(harness.SubmitShort({2})).upstream == 1);
  }
}

TEST_CASE("a fault counts for the upstream that the response names") {
  SchedulerHarness harness(2);
  for (int i = 0; i < 3; ++i) {
    const WorkKey key = harness.SubmitShort({2});
    REQUIRE(harness.Run().at(key).upstream == 1);
    harness.scheduler.OnEnded(key, AttemptResult::kFault, 2, harness.now);
  }
  for (int i = 0; i < 5; ++i)
    CHECK(harness.PlaceAndStart(harness.SubmitShort()).upstream == 1);
}

TEST_CASE("if all upstreams failed or were attempted, one still serves") {
  SchedulerHarness harness(2);
  for (int i = 0; i < 8; ++i) {
    const WorkKey key = harness.SubmitShort();
    const auto decisions = harness.Run();
    REQUIRE(decisions.count(key) == 1);
    harness.scheduler.OnEnded(key, AttemptResult::kFault, 0, harness.now);
  }
  const WorkKey key = harness.SubmitShort({1, 2});
  CHECK(harness.Run().count(key) == 1);
}

// With few upstreams of equal load, none may get all requests.
TEST_CASE("requests without a prompt are spread and bounded") {
  SchedulerHarness harness(1);
  std::map<UpstreamKey, int> counts;
  for (int i = 0; i < 30; ++i) {
    const WorkKey key = harness.SubmitPlain();
    const ScheduleDecision decision = harness.Run().at(key);
    ++counts[decision.upstream];
    harness.scheduler.OnEnded(key, AttemptResult::kDone, 0, harness.now);
    harness.now += absl::Milliseconds(50);
  }
  for (UpstreamKey key : {101, 102, 103})
    CHECK(counts[key] == 10);
  for (int i = 0; i < 40; ++i)
    harness.SubmitPlain(absl::Seconds(1));
  CHECK(harness.Run().size() ==
        27);  // 3 upstreams with 6 slots, and half as many beyond the slots
  harness.now += absl::Seconds(2);
  for (const auto& [key, decision] : harness.Run())
    CHECK(decision.kind == ScheduleDecision::Kind::kRefuse);
  CHECK(harness.scheduler.waiting() == 0);
}

TEST_CASE("removed upstreams get no new work") {
  SchedulerHarness harness(2);
  harness.scheduler.SetUpstreams({{2, "engines", 16}});
  for (int i = 0; i < 5; ++i)
    CHECK(harness.PlaceAndStart(harness.SubmitShort()).upstream == 2);
}

TEST_CASE("adopted work counts as load") {
  SchedulerHarness harness(2);
  for (uint64_t i = 0; i < 16; ++i) {
    harness.scheduler.Adopt(
        {.request = {.key = {9, i},
                     .service = "engines",
                     .prompt_tokens = 5000,
                     .output_tokens = 500,
                     .due = harness.now,
                     .deadline = harness.now + absl::Seconds(9)},
         .upstream = 1,
         .response_started = true},
        harness.now);
  }
  CHECK(harness.scheduler.RunningAt(1) == 16);
  CHECK(harness.PlaceAndStart(harness.SubmitShort()).upstream == 2);
  for (WorkKey key : harness.scheduler.KeysOf(9))
    harness.scheduler.Forget(key, harness.now);
  CHECK(harness.scheduler.RunningAt(1) == 0);
}

// Load: upstreams come and go in numbers, as in a release, while the size of
// the service is near the limit of one group.
TEST_CASE("the number of groups does not follow every change of size") {
  struct Case {
    const char* name;
    /** Numbers of upstreams, one after the other. */
    std::vector<size_t> sizes;
    uint32_t announced;
    uint32_t groups;
  };
  for (const Case& c : std::vector<Case>{
           {"a release in a service of two groups", {112, 90, 97, 70}, 0, 2},
           {"a small service grows a little", {90, 96}, 0, 1},
           {"a service becomes too large for one group", {90, 97}, 0, 2},
           {"a service becomes too small for two groups", {112, 63}, 0, 1},
           {"groups merge and split far apart", {112, 63, 96, 97}, 0, 2},
           {"the fleet uses more groups", {90}, 2, 2},
           {"the fleet uses more groups than fit", {90}, 16, 2},
           {"the fleet uses fewer groups than are needed", {300}, 1, 4},
       }) {
    INFO(c.name);
    SchedulerGroups groups;
    for (const size_t size : c.sizes) {
      std::vector<UpstreamSpec> upstreams;
      for (size_t i = 1; i <= size; ++i)
        upstreams.push_back({UpstreamKey(i), "large", 6});
      groups.SetUpstreams(upstreams);
    }
    if (c.announced > 0)
      groups.AdoptGroupCount(c.announced);
    CHECK(groups.GroupCountOf("large") == c.groups);
  }
}

// Guards against a scheduler that forgets which upstreams fail as soon as the
// list of upstreams changes while it has no requests.
TEST_CASE("failing upstreams are still avoided after the upstreams change") {
  for (const UpstreamKey failing : {1, 2, 3}) {
    INFO("upstream " << failing << " fails");
    SchedulerGroups groups;
    const auto spec = [](UpstreamKey key) {
      return UpstreamSpec{.key = key, .service = "desk", .slots = 1};
    };
    groups.SetUpstreams({spec(1), spec(2), spec(3)});
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    uint64_t sequence = 0;
    const auto place = [&] {
      const WorkKey key{1, ++sequence};
      groups.Submit({.key = key,
                     .service = "desk",
                     .due = now + absl::Seconds(1),
                     .deadline = now + absl::Seconds(4)});
      const auto decisions = groups.Run(now);
      REQUIRE(decisions.size() == 1);
      return std::pair(key, decisions[0].upstream);
    };
    for (int i = 0; i < 12; ++i) {
      const auto [key, upstream] = place();
      groups.OnEnded(
          key,
          upstream == failing ? AttemptResult::kFault : AttemptResult::kDone, 0,
          now);
    }
    REQUIRE(groups.running() == 0);
    groups.SetUpstreams({spec(1), spec(2), spec(3), spec(4)});
    for (int i = 0; i < 3; ++i)
      CHECK(place().second != failing);
  }
}

TEST_CASE("upstreams of a large service are partitioned into groups") {
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
    // A request from an instance that counts more groups is still placed.
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

TEST_CASE("prefill time follows the published speed") {
  struct Case {
    int64_t tokens;
    double milliseconds;
  };
  for (const Case& c : std::vector<Case>{
           {5000, 30.5}, {45000, 440.5}, {154000, 3052}, {700000, 49035}}) {
    INFO(c.tokens);
    CHECK(absl::ToDoubleMilliseconds(PrefillTime(Engine(), c.tokens)) ==
          Approx(c.milliseconds).epsilon(0.01));
  }
  CHECK(PassTime(Engine(), 0, 0) == absl::Milliseconds(0.85));
  CHECK(absl::ToDoubleMilliseconds(PassTime(Engine(), 16, 80000)) ==
        Approx(58.4).epsilon(0.02));
}

}  // namespace
}  // namespace chicory

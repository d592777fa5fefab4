#include "modules/decisions/drain_plan.h"

#include <catch2/catch.hpp>
#include <vector>

#include "modules/decisions/engine_timing.h"

namespace chicory {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

DrainPlan PlanOfEightSeconds() {
  return DrainPlan(
      {.admit_for = absl::Seconds(3), .finish_within = absl::Seconds(8)});
}

// Guards against work that an instance took although its end would cut it off.
TEST_CASE("a draining instance takes only what it can finish") {
  struct Case {
    const char* name;
    absl::Duration after_begin;
    absl::Duration work;
    bool admits;
    bool can_finish;
    bool is_over;
  };
  const std::vector<Case> cases = {
      {"short work at once", absl::ZeroDuration(), absl::Seconds(1), true, true,
       false},
      {"work longer than the drain", absl::ZeroDuration(), absl::Seconds(9),
       true, false, false},
      {"work that would end with the drain", absl::Seconds(2), absl::Seconds(6),
       true, false, false},
      {"short work after the balancer has turned away", absl::Seconds(3),
       absl::Seconds(1), false, true, false},
      {"short work near the end", absl::Seconds(7.5), absl::Seconds(1), false,
       false, false},
      {"the end", absl::Seconds(8), absl::ZeroDuration(), false, false, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    DrainPlan plan = PlanOfEightSeconds();
    plan.Begin(kStart);
    const absl::Time now = kStart + c.after_begin;
    CHECK(plan.Admits(now) == c.admits);
    CHECK(plan.CanFinish(c.work, now) == c.can_finish);
    CHECK(plan.IsOver(now) == c.is_over);
  }
}

TEST_CASE("an instance that does not drain takes everything") {
  const DrainPlan plan = PlanOfEightSeconds();
  CHECK_FALSE(plan.has_begun());
  CHECK(plan.Admits(kStart));
  CHECK(plan.CanFinish(absl::InfiniteDuration(), kStart));
  CHECK_FALSE(plan.IsOver(kStart + absl::Hours(1)));
}

TEST_CASE("a drain begins once") {
  DrainPlan plan = PlanOfEightSeconds();
  plan.Begin(kStart);
  plan.Begin(kStart + absl::Seconds(5));
  CHECK(plan.IsOver(kStart + absl::Seconds(8)));
}

TEST_CASE("the time of a response is that on a full engine") {
  const EngineProfile engine{.slots = 10,
                             .memory_tokens = 100000,
                             .step_ms = 1,
                             .per_sequence_ms = 0.05,
                             .per_context_k_ms = 0.005,
                             .steps_per_pass = 50};
  CHECK(DecodeTime(engine, 0) == absl::ZeroDuration());
  CHECK(DecodeTime(engine, 1000) == absl::Seconds(2));
}

}  // namespace
}  // namespace chicory

#include "modules/routing/cold_upstreams.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "modules/decisions/limit_share.h"

namespace chicory {
namespace {

constexpr UpstreamKey kUpstream = 7;
constexpr absl::Duration kColdDuration = absl::Seconds(3);

// Guards against upstreams that get their full load while they are cold, and
// against warm ones that are held back.
TEST_CASE("an upstream is cold after its start and an evacuation") {
  /** What is listed after the given time; nothing if there is no incarnation.
   */
  struct List {
    int after_ms;
    std::optional<UpstreamIncarnation> incarnation;
    int announced_ms = 0;
    bool is_evacuated = false;
  };
  struct Case {
    const char* name;
    std::vector<List> lists;
    /** For how long it is cold from the last list on. */
    int cold_ms;
    std::optional<ColdCause> cause;
  };
  const std::vector<Case> cases = {
      {"in the first list", {{0, 1}}, 0, std::nullopt},
      {"in the first list, cold by its registration",
       {{0, 1, 2000}},
       2000,
       ColdCause::kRegistration},
      {"appears", {{0, {}}, {1000, 1}}, 3000, ColdCause::kStarted},
      {"appears, its registration says less",
       {{0, {}}, {1000, 1, 500}},
       3000,
       ColdCause::kStarted},
      {"appears, its registration says more",
       {{0, {}}, {1000, 1, 5000}},
       5000,
       ColdCause::kRegistration},
      {"is listed again", {{0, {}}, {0, 1}, {1000, 1}}, 2000, std::nullopt},
      {"another incarnation", {{0, 1}, {1000, 2}}, 3000, ColdCause::kStarted},
      {"another incarnation of a cold one",
       {{0, 1, 60000}, {1000, 2}},
       3000,
       ColdCause::kStarted},
      {"cold again by its registration",
       {{0, 1}, {60000, 1, 4000}},
       4000,
       ColdCause::kRegistration},
      {"evacuated", {{0, 1}, {1000, 1, 0, true}}, 0, std::nullopt},
      {"the evacuation is withdrawn",
       {{0, 1}, {1000, 1, 0, true}, {9000, 1}},
       3000,
       ColdCause::kEvacuationWithdrawn},
      {"evacuated from the start, then withdrawn",
       {{0, 1, 0, true}, {9000, 1}},
       3000,
       ColdCause::kEvacuationWithdrawn},
      {"withdrawn, evacuated and withdrawn again",
       {{0, 1, 0, true}, {9000, 1}, {100, 1, 0, true}, {1000, 1}},
       3000,
       ColdCause::kEvacuationWithdrawn},
      {"its registration lapses for a while",
       {{0, 1}, {1000, {}}, {5000, 1}},
       0,
       std::nullopt},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    ColdUpstreams cold;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    std::vector<ColdUpstreams::Change> changes;
    for (const List& list : c.lists) {
      now += absl::Milliseconds(list.after_ms);
      std::vector<ColdUpstreams::Upstream> upstreams;
      if (list.incarnation) {
        upstreams.push_back(
            {.key = kUpstream,
             .incarnation = *list.incarnation,
             .announced_until = now + absl::Milliseconds(list.announced_ms),
             .cold_duration = kColdDuration,
             .is_evacuated = list.is_evacuated});
      }
      changes = cold.Update(upstreams, now);
    }
    const absl::Time until = cold.ColdUntil(kUpstream);
    CHECK(std::max(until - now, absl::ZeroDuration()) ==
          absl::Milliseconds(c.cold_ms));
    CHECK(changes.size() == (c.cause ? 1 : 0));
    if (c.cause && !changes.empty())
      CHECK(changes.front().cause == *c.cause);
  }
}

// Guards against schedulers that together exceed the rate of a cold upstream.
TEST_CASE("a scheduler uses the share of the instances that it hears") {
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  LimitShare share;
  const auto use = [&](std::optional<size_t> all, absl::Time now) {
    return share.UseOf(/*group=*/0, {.all = all, .at_least = 4}, now);
  };
  CHECK_FALSE(use(10, start).allowed);
  share.OnMessage(2, start - absl::Milliseconds(1));
  share.SetSchedules(0, true, start);
  CHECK(use(10, start).cold_share == 0.1);
  for (uint32_t ip = 2; ip <= 10; ++ip)
    share.OnMessage(ip, start + absl::Milliseconds(100));
  CHECK(use(10, start + absl::Milliseconds(100)).cold_share == 1);
  CHECK(use(std::nullopt, start + absl::Milliseconds(100)).cold_share == 0);
  CHECK(use(std::nullopt, start + absl::Milliseconds(100)).cold_share_if_all ==
        1);
  const absl::Time later =
      start + absl::Milliseconds(100) + LimitShare::kHeardWithin;
  share.OnMessage(3, later);
  CHECK(use(10, later).cold_share == 0.2);
  share.SetSchedules(0, false, later);
  CHECK_FALSE(use(10, later).allowed);
}

// Guards against schedulers that together exceed a limit that an upstream
// names, because they do not know of each other (review/9).
TEST_CASE("a scheduler uses the share of a named limit that it may") {
  struct Case {
    const char* name;
    uint32_t group;
    LimitShare::Fleet fleet;
    uint32_t heard;
    double share;
  };
  const auto c = GENERATE(
      Case{"alone, and the source lists no other", 0, {1, 1, 1}, 1, 1},
      Case{"alone, and others may exist", 0, {{}, 3, 1}, 1, 0.05},
      Case{"alone, with many seeds", 0, {{}, 40, 1}, 1, 0.025},
      Case{"just started among others", 0, {{}, 4, 3}, 3, 0.75},
      Case{"a half of a partitioned fleet", 0, {20, 3, 10}, 10, 0.5},
      Case{"the whole fleet", 0, {20, 3, 20}, 20, 1},
      Case{"another group, whose scheduler hears few", 1, {20, 3, 20}, 4, 1},
      Case{"another group in a half", 1, {20, 3, 10}, 4, 0.5});
  INFO(c.name);
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  LimitShare share;
  share.SetSchedules(c.group, true, now);
  for (uint32_t ip = 2; ip <= c.heard; ++ip)
    share.OnMessage(ip, now);
  CHECK(share.UseOf(c.group, c.fleet, now).named_share == c.share);
}

}  // namespace
}  // namespace chicory

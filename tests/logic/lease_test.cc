#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "modules/decisions/lease_manager.h"

namespace chicory {
namespace {

/** A lease object with lost answers and outages, and instances that are frozen
    at any time, in virtual time. */
class LeaseWorld {
 public:
  LeaseWorld(int count, uint64_t seed) : random_(seed) {
    for (int i = 0; i < count; ++i)
      instances_.push_back({LeaseManager(absl::StrCat("entry", i))});
  }

  void Run(absl::Duration length) {
    const absl::Time end = now_ + length;
    while (now_ < end) {
      now_ += absl::Milliseconds(100);
      if (absl::Bernoulli(random_, 0.002))
        away_until_ = now_ + absl::Seconds(absl::Uniform(random_, 1, 40));
      for (Instance& instance : instances_)
        Step(&instance);
    }
  }

  int orders = 0;
  int overlaps = 0;
  int stale_orders = 0;
  int holders = 0;

 private:
  struct Instance {
    LeaseManager keeper;
    absl::Time frozen_until = absl::InfinitePast();
  };

  void Step(Instance* instance) {
    if (now_ < instance->frozen_until)
      return;
    if (absl::Bernoulli(random_, 0.002))
      instance->frozen_until =
          now_ + absl::Seconds(absl::Uniform(random_, 1, 60));
    if (now_ < instance->frozen_until)
      return;
    // An order right after waking, before anything else is looked at.
    Order(instance);
    const LeaseAction action = instance->keeper.Tick(now_);
    const bool away = now_ < away_until_;
    if (action.step == LeaseStep::kRead && !away) {
      std::optional<LeaseRecord> record;
      if (version_ != 0)
        record = record_;
      instance->keeper.OnRead(record, version_, now_);
    } else if (action.step == LeaseStep::kWrite) {
      Write(instance, action, away);
    }
  }

  void Write(Instance* instance, const LeaseAction& action, bool away) {
    if (away)
      return instance->keeper.OnWritten(ErrorCode::kUnavailable, 0);
    if (action.expected_version != version_)
      return instance->keeper.OnWritten(ErrorCode::kConflict, 0);
    if (action.record.holder != record_.holder)
      ++holders;
    record_ = action.record;
    ++version_;
    if (absl::Bernoulli(random_, 0.1))
      return instance->keeper.OnWritten(ErrorCode::kOutcomeUnknown, 0);
    instance->keeper.OnWritten(std::nullopt, version_);
  }

  void Order(Instance* instance) {
    if (!instance->keeper.MayAct(now_))
      return;
    ++orders;
    // What an engine sees that checks fences, and one that does not.
    if (instance->keeper.fence() < highest_fence_)
      ++stale_orders;
    highest_fence_ = std::max(highest_fence_, instance->keeper.fence());
    int able = 0;
    for (const Instance& other : instances_)
      able += other.keeper.MayAct(now_);
    overlaps += able > 1;
  }

  std::mt19937_64 random_;
  std::vector<Instance> instances_;
  LeaseRecord record_;
  uint64_t version_ = 0;
  uint64_t highest_fence_ = 0;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time away_until_ = absl::InfinitePast();
};

TEST_CASE(
    "one holder at a time, frozen or not, and none that wakes late acts") {
  int orders = 0;
  int holders = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseWorld world(5, seed);
    world.Run(absl::Minutes(20));
    INFO("seed " << seed);
    REQUIRE(world.overlaps == 0);
    REQUIRE(world.stale_orders == 0);
    orders += world.orders;
    holders += world.holders;
  }
  // The lease was of use, and changed hands.
  REQUIRE(orders > 50 * 1000);
  REQUIRE(holders > 50);
}

TEST_CASE("a lease that is given up passes on at once") {
  LeaseManager first("a");
  LeaseManager second("b");
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  REQUIRE(first.Tick(now).step == LeaseStep::kRead);
  first.OnRead(std::nullopt, 0, now);
  now += LeaseManager::kPeriod;
  LeaseAction action = first.Tick(now);
  REQUIRE(action.step == LeaseStep::kWrite);
  first.OnWritten(std::nullopt, 1);
  REQUIRE(first.MayAct(now));
  first.Release();
  REQUIRE(!first.MayAct(now));
  now += LeaseManager::kPeriod;
  action = first.Tick(now);
  REQUIRE(action.record.holder.empty());
  second.Tick(now);
  second.OnRead(action.record, 2, now);
  now += LeaseManager::kPeriod;
  action = second.Tick(now);
  REQUIRE(action.record.holder == "b");
  REQUIRE(action.record.fence == 2);
}

}  // namespace
}  // namespace chicory

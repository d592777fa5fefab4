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

/** Simulates, in virtual time, a lease object whose store has outages and loses
    responses, and instances that are paused at any time. */
class LeaseSimulation {
 public:
  LeaseSimulation(int count, uint64_t seed) : random_(seed) {
    for (int i = 0; i < count; ++i)
      instances_.push_back({LeaseManager(absl::StrCat("entry", i))});
  }

  void Run(absl::Duration length) {
    const absl::Time end = now_ + length;
    while (now_ < end) {
      now_ += absl::Milliseconds(100);
      if (absl::Bernoulli(random_, 0.002))
        store_unavailable_until_ =
            now_ + absl::Seconds(absl::Uniform(random_, 1, 40));
      for (Instance& instance : instances_)
        Step(&instance);
    }
  }

  int commands = 0;
  int overlaps = 0;
  int stale_commands = 0;
  int holder_changes = 0;

 private:
  struct Instance {
    LeaseManager lease;
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
    // A command right after resuming, before the lease is read again.
    SendCommand(instance);
    const LeaseAction action = instance->lease.Tick(now_);
    const bool is_store_unavailable = now_ < store_unavailable_until_;
    if (action.step == LeaseStep::kRead && !is_store_unavailable) {
      std::optional<LeaseRecord> record;
      if (version_ != 0)
        record = record_;
      instance->lease.OnRead(record, version_, now_);
    } else if (action.step == LeaseStep::kWrite) {
      Write(instance, action, is_store_unavailable);
    }
  }

  void Write(Instance* instance,
             const LeaseAction& action,
             bool is_store_unavailable) {
    if (is_store_unavailable)
      return instance->lease.OnWritten(ErrorCode::kUnavailable, 0);
    if (action.expected_version != version_)
      return instance->lease.OnWritten(ErrorCode::kConflict, 0);
    if (action.record.holder != record_.holder)
      ++holder_changes;
    record_ = action.record;
    ++version_;
    if (absl::Bernoulli(random_, 0.1))
      return instance->lease.OnWritten(ErrorCode::kOutcomeUnknown, 0);
    instance->lease.OnWritten(std::nullopt, version_);
  }

  void SendCommand(Instance* instance) {
    if (!instance->lease.HoldsLease(now_))
      return;
    ++commands;
    // Upstreams that check fencing tokens see stale ones; for upstreams that do
    // not, two instances must never hold the lease at once.
    if (instance->lease.fence() < highest_fence_)
      ++stale_commands;
    highest_fence_ = std::max(highest_fence_, instance->lease.fence());
    int holder_count = 0;
    for (const Instance& other : instances_)
      holder_count += other.lease.HoldsLease(now_);
    overlaps += holder_count > 1;
  }

  std::mt19937_64 random_;
  std::vector<Instance> instances_;
  LeaseRecord record_;
  uint64_t version_ = 0;
  uint64_t highest_fence_ = 0;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time store_unavailable_until_ = absl::InfinitePast();
};

TEST_CASE(
    "one instance at a time holds the lease, and none acts on an expired one") {
  int commands = 0;
  int holder_changes = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseSimulation simulation(5, seed);
    simulation.Run(absl::Minutes(20));
    INFO("seed " << seed);
    REQUIRE(simulation.overlaps == 0);
    REQUIRE(simulation.stale_commands == 0);
    commands += simulation.commands;
    holder_changes += simulation.holder_changes;
  }
  // The lease was in use, and its holder changed.
  REQUIRE(commands > 50 * 1000);
  REQUIRE(holder_changes > 50);
}

TEST_CASE("a released lease is acquired without waiting for the term") {
  LeaseManager first("a");
  LeaseManager second("b");
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  REQUIRE(first.Tick(now).step == LeaseStep::kRead);
  first.OnRead(std::nullopt, 0, now);
  now += LeaseManager::kRenewalPeriod;
  LeaseAction action = first.Tick(now);
  REQUIRE(action.step == LeaseStep::kWrite);
  first.OnWritten(std::nullopt, 1);
  REQUIRE(first.HoldsLease(now));
  first.Release();
  REQUIRE(!first.HoldsLease(now));
  now += LeaseManager::kRenewalPeriod;
  action = first.Tick(now);
  REQUIRE(action.record.holder.empty());
  second.Tick(now);
  second.OnRead(action.record, 2, now);
  now += LeaseManager::kRenewalPeriod;
  action = second.Tick(now);
  REQUIRE(action.record.holder == "b");
  REQUIRE(action.record.fence == 2);
}

}  // namespace
}  // namespace chicory

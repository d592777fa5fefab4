#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <vector>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "modules/decisions/account_limits.h"
#include "modules/decisions/dispatcher.h"
#include "modules/decisions/gossip_node.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"
#include "modules/peers/peer_codec.h"

namespace {

/** Number of calls of operator new so far. */
uint64_t allocation_count = 0;

}  // namespace

void* operator new(size_t size) {
  ++allocation_count;
  if (void* memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, size_t) noexcept {
  std::free(memory);
}

namespace chicory {
namespace {

using Clock = std::chrono::steady_clock;

double ToSeconds(Clock::duration length) {
  return std::chrono::duration<double>(length).count();
}

int64_t PeakResidentKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

RequestSpec MakeRequestSpec(uint64_t id, absl::Time now) {
  RequestSpec spec;
  spec.id = RequestId{id};
  spec.account = absl::StrCat("account", id % 5700);
  spec.route = "route";
  spec.pool = "pool";
  spec.model = "model";
  spec.prompt_tokens = 1000;
  spec.response_tokens = 100;
  spec.fingerprint = id;
  spec.arrived = now;
  spec.deadline = now + absl::Hours(1);
  return spec;
}

/** Measures the dispatcher's cost of one request, from arrival to end, while
    `in_flight` other requests are in progress. */
void MeasureDispatch(int upstreams, int in_flight) {
  Dispatcher::Options options;
  options.instance = "entry";
  options.model_placement = std::make_unique<LengthAwarePlacement>();
  options.service_placement = std::make_unique<LeastBusyPlacement>();
  Dispatcher dispatcher(std::move(options));
  std::mt19937_64 random(1);
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<UpstreamId> ids;
  for (int i = 0; i < upstreams; ++i) {
    ids.push_back(
        dispatcher.OnUpstreamListed({.name = absl::StrCat("engine", i),
                                     .pool = "pool",
                                     .models = {"model"}}));
    dispatcher.OnLoadReport(ids.back(), {.incarnation = 1,
                                         .measured_at = now,
                                         .memory_tokens = int64_t{1} << 40,
                                         .free_memory_tokens = int64_t{1} << 40,
                                         .prefill_tokens_per_second = 40000});
  }
  std::vector<Command> commands;
  uint64_t next_id = 1;
  for (int i = 0; i < in_flight; ++i) {
    dispatcher.OnArrival(MakeRequestSpec(next_id++, now), now);
    dispatcher.Tick(now, random, &commands);
  }
  constexpr int kRequests = 20000;
  const uint64_t allocations_before = allocation_count;
  const auto begin_time = Clock::now();
  for (int i = 0; i < kRequests; ++i) {
    now += absl::Microseconds(100);
    commands.clear();
    const RequestSpec spec = MakeRequestSpec(next_id++, now);
    dispatcher.OnArrival(spec, now);
    dispatcher.Tick(now, random, &commands);
    const Command& start = commands.back();
    dispatcher.OnFirstToken(spec.id, start.attempt);
    dispatcher.OnAttemptEnded(spec.id, start.attempt, {}, now, random);
  }
  const double nanoseconds =
      ToSeconds(Clock::now() - begin_time) / kRequests * 1e9;
  std::cout << absl::StrFormat(
      "placement upstreams=%d in_flight=%d nanoseconds=%.0f allocations=%.1f "
      "resident_kb=%d\n",
      upstreams, in_flight, nanoseconds,
      static_cast<double>(allocation_count - allocations_before) / kRequests,
      PeakResidentKilobytes());
}

/** Measures one gossip period at one node among `members`. */
void MeasureGossip(int members) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::mt19937_64 random(1);
  GossipNode node({.instance = "self", .address = "a", .incarnation = 1});
  GossipNode peer({.instance = "n0", .address = "b", .incarnation = 1});
  for (int i = 0; i < members; ++i) {
    node.AddSeed(absl::StrCat("n", i), absl::StrCat("10.0.0.1:", i), "dc", now);
    peer.AddSeed(absl::StrCat("n", i), absl::StrCat("10.0.0.1:", i), "dc", now);
  }
  constexpr int kPeriods = 2000;
  size_t bytes = 0;
  const auto begin_time = Clock::now();
  for (int i = 0; i < kPeriods; ++i) {
    const absl::Time at = now + i * GossipNode::kPeriod;
    for (const OutgoingExchange& exchange : node.Tick(at, random)) {
      const GossipMessage response = peer.OnMessage(exchange.message, at);
      bytes += GossipWireBytes(exchange.message) + GossipWireBytes(response);
      node.OnResponse(response, at);
    }
  }
  std::cout << absl::StrFormat(
      "gossip members=%d microseconds_a_period=%.1f bytes_a_period=%d\n",
      members, ToSeconds(Clock::now() - begin_time) / kPeriods * 1e6,
      bytes / kPeriods);
}

/** Measures the rate limiter at one of `instances`: the cost of one admission
    and of one period, in which it reports its demands. */
void MeasureLimits(int instances, int accounts) {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  AccountLimits limits("entry0");
  std::vector<std::string> members;
  for (int i = 0; i < instances; ++i)
    members.push_back(absl::StrCat("entry", i));
  limits.SetMembers(members);
  absl::Duration wait;
  constexpr int kAdmissions = 200000;
  auto begin_time = Clock::now();
  for (int i = 0; i < kAdmissions; ++i) {
    limits.Admit(absl::StrCat("account", i % accounts), {1e6, 1e9}, 100, now,
                 &wait);
  }
  const double admit_nanoseconds =
      ToSeconds(Clock::now() - begin_time) / kAdmissions * 1e9;
  begin_time = Clock::now();
  constexpr int kPeriods = 20;
  for (int i = 0; i < kPeriods; ++i) {
    now += AccountLimits::kPeriod;
    limits.TakeDemands(now);
  }
  std::cout << absl::StrFormat(
      "limits instances=%d accounts=%d admit_nanoseconds=%.0f "
      "period_microseconds=%.0f\n",
      instances, accounts, admit_nanoseconds,
      ToSeconds(Clock::now() - begin_time) / kPeriods * 1e6);
}

int Run() {
  for (int upstreams : {20, 200, 2000}) {
    for (int in_flight : {200, 2000, 60000})
      MeasureDispatch(upstreams, in_flight);
  }
  for (int members : {15, 100, 340})
    MeasureGossip(members);
  for (int accounts : {10, 100, 1000})
    MeasureLimits(340, accounts);
  return 0;
}

}  // namespace
}  // namespace chicory

int main() {
  return chicory::Run();
}

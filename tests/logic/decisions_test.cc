#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "modules/core/attempt_id.h"
#include "modules/core/hashing.h"
#include "modules/decisions/crashing_request_tracker.h"
#include "modules/decisions/dispatcher.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"
#include "modules/decisions/orphan_collector.h"
#include "modules/decisions/pending_cancellations.h"
#include "modules/decisions/prefix_index.h"
#include "modules/decisions/response_assembler.h"
#include "modules/decisions/retry_budget.h"

namespace chicory {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/** A dispatcher with idle upstreams that the tests call directly. */
class DispatcherFixture {
 public:
  explicit DispatcherFixture(int upstreams, int64_t memory = 450000) {
    Dispatcher::Options options;
    options.instance = "entry";
    options.model_placement = std::make_unique<LengthAwarePlacement>();
    options.service_placement = std::make_unique<LeastBusyPlacement>();
    dispatcher = std::make_unique<Dispatcher>(std::move(options));
    for (int i = 0; i < upstreams; ++i) {
      ids.push_back(dispatcher->OnUpstreamListed(
          {.name = absl::StrCat("engine", i), .pool = "p", .models = {"m"}}));
      dispatcher->OnLoadReport(ids.back(),
                               {.incarnation = 1,
                                .measured_at = kStart - absl::Seconds(1),
                                .memory_tokens = memory,
                                .free_memory_tokens = memory,
                                .prefill_tokens_per_second = 40000});
    }
  }

  static RequestSpec Spec(uint64_t id, int64_t tokens = 1000) {
    RequestSpec spec;
    spec.id = RequestId{id};
    spec.account = "a";
    spec.route = "r";
    spec.pool = "p";
    spec.model = "m";
    spec.prompt_tokens = tokens;
    spec.response_tokens = 100;
    spec.fingerprint = id;
    spec.arrived = kStart;
    spec.deadline = kStart + absl::Seconds(30);
    return spec;
  }

  std::vector<Command> Tick(absl::Time now) {
    std::vector<Command> commands;
    dispatcher->Tick(now, random, &commands);
    return commands;
  }

  std::mt19937_64 random{1};
  std::unique_ptr<Dispatcher> dispatcher;
  std::vector<UpstreamId> ids;
};

struct RetryCase {
  const char* name;
  RepeatRule repeat;
  AttemptOutcome outcome;
  int64_t delivered;
  bool is_retried;
  RunState run_state;
};

TEST_CASE("the end of an attempt leads to a retry or a refusal") {
  using Out = AttemptOutcome;
  const auto row = GENERATE(values<RetryCase>({
      {"refused, not repeatable", RepeatRule::kNever, Out::kRefused, 0, true,
       RunState::kNotRun},
      {"unreachable, not repeatable", RepeatRule::kNever, Out::kUnreachable, 0,
       true, RunState::kNotRun},
      {"died, not repeatable", RepeatRule::kNever, Out::kDied, 0, false,
       RunState::kOutcomeUnknown},
      {"stalled, not repeatable", RepeatRule::kNever, Out::kStalled, 0, false,
       RunState::kOutcomeUnknown},
      {"died, repeatable", RepeatRule::kSafe, Out::kDied, 0, true,
       RunState::kNotRun},
      {"died mid-stream", RepeatRule::kSafe, Out::kDied, 5, true,
       RunState::kRan},
  }));
  INFO(row.name);
  DispatcherFixture fixture(3);
  RequestSpec spec = DispatcherFixture::Spec(1);
  spec.repeat = row.repeat;
  fixture.dispatcher->OnArrival(spec, kStart);
  auto commands = fixture.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].kind == CommandKind::kStart);
  fixture.dispatcher->OnDelivered(spec.id, row.delivered);
  fixture.dispatcher->OnAttemptEnded(spec.id, commands[0].attempt,
                                     {.outcome = row.outcome}, kStart,
                                     fixture.random);
  bool is_started = false;
  bool is_refused = false;
  for (const Command& command : fixture.Tick(kStart + absl::Seconds(3))) {
    if (command.kind == CommandKind::kStart) {
      is_started = true;
      REQUIRE(command.resume_from == row.delivered);
    }
    if (command.kind == CommandKind::kRefuse) {
      is_refused = true;
      REQUIRE(command.refusal.run_state == row.run_state);
    }
  }
  REQUIRE(is_started == row.is_retried);
  REQUIRE(is_refused != row.is_retried);
}

TEST_CASE("every request ends by its deadline") {
  DispatcherFixture fixture(0);
  RequestSpec spec = DispatcherFixture::Spec(1);
  spec.first_token_within = absl::Hours(1);
  fixture.dispatcher->OnArrival(spec, kStart);
  REQUIRE(fixture.Tick(kStart + absl::Seconds(29)).empty());
  const auto commands = fixture.Tick(kStart + absl::Seconds(30));
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].refusal.reason == RefusalReason::kDeadlineExceeded);
  REQUIRE(commands[0].refusal.run_state == RunState::kNotRun);
  REQUIRE(fixture.dispatcher->requests().empty());
}

TEST_CASE("no retry is scheduled past the deadline") {
  DispatcherFixture fixture(3);
  fixture.dispatcher->OnArrival(DispatcherFixture::Spec(1), kStart);
  const auto start = fixture.Tick(kStart);
  const absl::Time near_deadline = kStart + absl::Seconds(29.999);
  fixture.dispatcher->OnAttemptEnded(RequestId{1}, start[0].attempt,
                                     {.outcome = AttemptOutcome::kDied},
                                     near_deadline, fixture.random);
  const auto commands = fixture.Tick(near_deadline);
  REQUIRE(commands.back().kind == CommandKind::kRefuse);
}

TEST_CASE("an upstream that is leaving gets no more requests") {
  DispatcherFixture fixture(2);
  fixture.dispatcher->OnUpstreamState("engine0", UpstreamState::kLeaving);
  // The lagging instance list still announces it as live.
  fixture.dispatcher->OnUpstreamState("engine0", UpstreamState::kLive);
  for (uint64_t id = 1; id <= 50; ++id)
    fixture.dispatcher->OnArrival(DispatcherFixture::Spec(id, 100), kStart);
  for (const Command& command : fixture.Tick(kStart))
    REQUIRE(command.upstreams.front() == fixture.ids[1]);
}

TEST_CASE("a new process with the name of one that left gets requests") {
  DispatcherFixture fixture(1);
  fixture.dispatcher->OnUpstreamState("engine0", UpstreamState::kLeaving);
  fixture.dispatcher->OnUpstreamListed(
      {.name = "engine0", .address = "another", .pool = "p", .models = {"m"}});
  fixture.dispatcher->OnArrival(DispatcherFixture::Spec(1, 100), kStart);
  REQUIRE(fixture.Tick(kStart).front().kind == CommandKind::kStart);
}

TEST_CASE("a caller that disconnects leaves no request or placement") {
  DispatcherFixture fixture(2);
  fixture.dispatcher->OnArrival(DispatcherFixture::Spec(1), kStart);
  const auto start = fixture.Tick(kStart);
  fixture.dispatcher->OnCallerDisconnected(RequestId{1}, kStart);
  const auto commands = fixture.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].kind == CommandKind::kCancel);
  REQUIRE(commands[0].attempt == start[0].attempt);
  REQUIRE(fixture.dispatcher->requests().empty());
  for (const auto& [id, row] : fixture.dispatcher->upstreams().rows())
    REQUIRE(row.placements.empty());
}

TEST_CASE("a small account is not starved by a large one") {
  DispatcherFixture fixture(1, /*memory=*/2000);
  // The first request fills the engine, so that all others queue.
  fixture.dispatcher->OnArrival(DispatcherFixture::Spec(1, 1800), kStart);
  const auto first = fixture.Tick(kStart);
  REQUIRE(first.size() == 1);
  for (uint64_t id = 2; id <= 30; ++id) {
    RequestSpec spec = DispatcherFixture::Spec(id, 1800);
    spec.account = "large";
    fixture.dispatcher->OnArrival(spec, kStart);
  }
  RequestSpec small = DispatcherFixture::Spec(100, 1800);
  small.account = "small";
  fixture.dispatcher->OnArrival(small, kStart);
  fixture.Tick(kStart);
  uint64_t running = first[0].attempt;
  RequestId request{1};
  for (int round = 0; round < 3; ++round) {
    const absl::Time now = kStart + absl::Seconds(round + 1);
    fixture.dispatcher->OnAttemptEnded(request, running,
                                       {.outcome = AttemptOutcome::kCompleted},
                                       now, fixture.random);
    fixture.dispatcher->OnLoadReport(fixture.ids[0],
                                     {.incarnation = 1,
                                      .measured_at = now,
                                      .memory_tokens = 2000,
                                      .free_memory_tokens = 2000,
                                      .prefill_tokens_per_second = 40000});
    const auto commands = fixture.Tick(now);
    REQUIRE(commands.size() == 1);
    if (commands[0].request == small.id)
      return;
    running = commands[0].attempt;
    request = commands[0].request;
  }
  FAIL("the small account waited behind three requests of the large one");
}

TEST_CASE("a group is sorted by name and cancelled as a whole") {
  DispatcherFixture fixture(8);
  RequestSpec spec = DispatcherFixture::Spec(1, 1000000);
  spec.length_class = 3;
  fixture.dispatcher->OnArrival(spec, kStart);
  const auto commands = fixture.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].upstreams.size() >= 3);
  REQUIRE(std::is_sorted(commands[0].upstreams.begin(),
                         commands[0].upstreams.end()));
  fixture.dispatcher->OnAttemptEnded(spec.id, commands[0].attempt,
                                     {.outcome = AttemptOutcome::kRefused,
                                      .upstream = commands[0].upstreams[1]},
                                     kStart, fixture.random);
  const auto after = fixture.Tick(kStart);
  REQUIRE(after.front().kind == CommandKind::kCancel);
  REQUIRE(after.front().upstreams == commands[0].upstreams);
}

TEST_CASE("a prompt too long for any group is refused as not run") {
  DispatcherFixture fixture(8);
  RequestSpec spec = DispatcherFixture::Spec(1, 10000000);
  fixture.dispatcher->OnArrival(spec, kStart);
  const auto commands = fixture.Tick(kStart);
  REQUIRE(commands[0].refusal.reason == RefusalReason::kPromptTooLong);
  REQUIRE(commands[0].refusal.run_state == RunState::kNotRun);
}

TEST_CASE("retries are limited to a ratio of first attempts") {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.Deposit("a", "r");
    retries += budget.TryWithdraw("a", "r");
  }
  REQUIRE(retries <= 10000 * 0.1 + 10);
  REQUIRE(retries >= 10000 * 0.1 - 10);
}

TEST_CASE("accounts have separate retry budgets") {
  RetryBudget budget(0.1);
  while (budget.TryWithdraw("a", "r1")) {
  }
  REQUIRE(budget.TryWithdraw("b", "r2"));
}

TEST_CASE("deaths are summed over instances and expire") {
  CrashingRequestTracker tracker("one");
  tracker.OnDeath(7, kStart);
  tracker.OnCountReceived(7, "two", 2, kStart);
  REQUIRE(tracker.Deaths(7, kStart) == 3);
  REQUIRE(tracker.Deaths(7, kStart + CrashingRequestTracker::kRetention * 2) ==
          0);
  tracker.Expire(kStart + CrashingRequestTracker::kRetention * 2);
  REQUIRE(tracker.size() == 0);
}

// Guards against a sound request that died beside the cause at one instance and
// stays charged with that although it has completed at another.
TEST_CASE("a completed run at any instance clears a request of its deaths") {
  struct Case {
    const char* name;
    uint32_t at_one;
    uint32_t at_two;
    uint32_t at_three;
  };
  for (const Case& c :
       std::vector<Case>{{"where it completed", 2, 0, 0},
                         {"at another instance", 0, 2, 0},
                         {"at all, none of which saw enough", 1, 1, 1}}) {
    INFO(c.name);
    // Instance one sees the completion; what each announces reaches all.
    std::vector<CrashingRequestTracker> trackers;
    for (const char* name : {"one", "two", "three"})
      trackers.emplace_back(name);
    const std::vector<uint32_t> deaths = {c.at_one, c.at_two, c.at_three};
    const auto announce = [&](size_t from, uint32_t count) {
      const std::vector<const char*> names = {"one", "two", "three"};
      std::vector<size_t> cleared;
      for (size_t i = 0; i < trackers.size(); ++i) {
        if (i != from &&
            trackers[i].OnCountReceived(7, names[from], count, kStart))
          cleared.push_back(i);
      }
      return cleared;
    };
    for (size_t i = 0; i < trackers.size(); ++i) {
      for (uint32_t n = 0; n < deaths[i]; ++n)
        announce(i, trackers[i].OnDeath(7, kStart));
    }
    REQUIRE(trackers[0].OnCompleted(7, kStart));
    for (size_t i : announce(0, 0))
      CHECK(announce(i, 0).empty());
    for (const CrashingRequestTracker& tracker : trackers)
      CHECK(tracker.Deaths(7, kStart) == 0);
  }
}

TEST_CASE("late, misrouted, duplicated and lost chunks corrupt no response") {
  std::mt19937_64 random(GENERATE(1, 2, 3, 4, 5, 6, 7, 8));
  const int64_t total = 40;
  auto token = [](int64_t index) { return absl::StrCat("t", index); };
  ResponseAssembler assembler;
  std::string response;
  std::string expected;
  for (int64_t i = 0; i < total; ++i)
    expected += token(i);
  for (int attempt = 0; attempt < 100; ++attempt) {
    const std::string name = absl::StrCat("attempt", attempt);
    assembler.BeginAttempt(name);
    std::vector<ResponseChunk> chunks;
    for (int64_t i = assembler.delivered(); i < total; ++i)
      chunks.push_back({.attempt = name, .index = i, .text = token(i)});
    chunks.push_back({.attempt = name, .is_end = true, .total = total});
    // Faults: a chunk of another attempt, a duplicated or lost chunk, a
    // truncated stream.
    for (int fault = 0; fault < 4; ++fault) {
      const auto at = absl::Uniform<size_t>(random, 0, chunks.size());
      switch (absl::Uniform(random, 0, 4)) {
        case 0:
          chunks.insert(
              chunks.begin() + static_cast<int64_t>(at),
              {.attempt = "other", .index = chunks[at].index, .text = "wrong"});
          break;
        case 1:
          chunks.insert(chunks.begin() + static_cast<int64_t>(at), chunks[at]);
          break;
        case 2:
          chunks.erase(chunks.begin() + static_cast<int64_t>(at));
          break;
        default:
          chunks.resize(at);
          break;
      }
      if (chunks.empty())
        break;
    }
    for (const ResponseChunk& chunk : chunks) {
      const ChunkVerdict verdict = assembler.Classify(chunk);
      if (verdict == ChunkVerdict::kDeliver)
        response += chunk.text;
      if (verdict == ChunkVerdict::kBroken)
        break;
      if (verdict == ChunkVerdict::kComplete) {
        REQUIRE(response == expected);
        return;
      }
    }
    REQUIRE(expected.compare(0, response.size(), response) == 0);
  }
  FAIL("the response was not complete after 100 attempts");
}

struct OrphanCase {
  const char* name;
  const char* attempt;
  OwnerState state;
  absl::Duration after;
  bool is_orphan;
};

TEST_CASE("only attempts whose owner is gone are orphans") {
  const absl::Duration limit = OrphanCollector::kSilenceLimit;
  const absl::Duration tick = absl::Seconds(1);
  const auto row = GENERATE_COPY(values<OrphanCase>({
      {"live owner", "other~5~1", OwnerState::kAlive, 100 * limit, false},
      {"gone owner", "other~5~1", OwnerState::kGone, tick, true},
      {"silent for a short time", "other~5~1", OwnerState::kSilent,
       limit - tick, false},
      {"silent beyond the limit", "other~5~1", OwnerState::kSilent,
       limit + tick, true},
      {"unknown owner", "other~5~1", OwnerState::kNeverSeen, limit + tick,
       true},
      {"own, from before a restart", "self~4~1", OwnerState::kAlive, tick,
       true},
      {"own, running", "self~9~1", OwnerState::kAlive, 100 * limit, false},
      {"own, no longer running", "self~9~2", OwnerState::kAlive,
       OrphanCollector::kLocalAttemptGrace + tick, true},
      {"id in a foreign format", "somebody", OwnerState::kGone, limit, false},
  }));
  INFO(row.name);
  OrphanCollector orphans("self", 9);
  auto sweep = [&](absl::Time now) {
    return orphans.Sweep(
        "engine", {row.attempt}, [&](const AttemptId&) { return row.state; },
        [](uint64_t sequence) { return sequence == 1; }, now);
  };
  sweep(kStart);
  REQUIRE(sweep(kStart + row.after).empty() == !row.is_orphan);
}

TEST_CASE("the silence limit starts again when the owner was alive") {
  OrphanCollector orphans("self", 9);
  OwnerState state = OwnerState::kSilent;
  auto sweep = [&](absl::Duration at) {
    return orphans.Sweep(
        "engine", {"other~5~1"}, [&](const AttemptId&) { return state; },
        [](uint64_t) { return false; }, kStart + at);
  };
  const absl::Duration limit = OrphanCollector::kSilenceLimit;
  sweep(absl::ZeroDuration());
  state = OwnerState::kAlive;
  sweep(limit - absl::Seconds(1));
  state = OwnerState::kSilent;
  REQUIRE(sweep(limit + absl::Seconds(1)).empty());
  REQUIRE(sweep(2 * limit + absl::Seconds(2)).size() == 1);
}

TEST_CASE("a cancellation is retried until it is confirmed") {
  PendingCancellations cancellations;
  cancellations.Add("engine", "a~1~1", kStart);
  REQUIRE(cancellations.Due(kStart).size() == 1);
  REQUIRE(cancellations.Due(kStart).empty());
  REQUIRE(cancellations.Due(kStart + absl::Seconds(1)).size() == 1);
  cancellations.Confirm("engine", "a~1~1");
  REQUIRE(cancellations.Due(kStart + absl::Minutes(1)).empty());
}

TEST_CASE("a gap in cache events invalidates the blocks of the upstream") {
  PrefixIndex index;
  const UpstreamId upstream{1};
  index.OnEvent(upstream, 1, 100, true);
  index.OnEvent(upstream, 2, 101, true);
  REQUIRE(index.MatchedBlocks(upstream, {100, 101}) == 2);
  index.OnEvent(upstream, 5, 102, true);
  REQUIRE(index.MatchedBlocks(upstream, {100, 101}) == 0);
  // A late event from before the gap is ignored.
  index.OnEvent(upstream, 4, 100, true);
  REQUIRE(index.MatchedBlocks(upstream, {100}) == 0);
}

TEST_CASE("the prefix index is bounded") {
  PrefixIndex index(100);
  for (uint64_t block = 0; block < 1000; ++block)
    index.Insert(UpstreamId{1}, {block});
  REQUIRE(index.size() <= 100);
}

TEST_CASE("an attempt id survives conversion to text and back") {
  const AttemptId id{"entry-1", 77, 12};
  REQUIRE(*AttemptId::Parse(id.ToString()) == id);
  for (const char* malformed : {"", "a", "a~b~c", "a~1", "~1~2", "a~1~2~3"})
    REQUIRE(!AttemptId::Parse(malformed));
}

TEST_CASE("rendezvous hashing moves only the keys of a removed name") {
  std::vector<std::string> names;
  for (int i = 0; i < 20; ++i)
    names.push_back(absl::StrCat("n", i));
  std::vector<std::string> remaining(names.begin() + 1, names.end());
  for (int key = 0; key < 200; ++key) {
    const std::string text = absl::StrCat("k", key);
    const std::string owner = RendezvousTop(text, names, 1).front();
    if (owner != "n0")
      REQUIRE(RendezvousTop(text, remaining, 1).front() == owner);
  }
}

}  // namespace
}  // namespace chicory

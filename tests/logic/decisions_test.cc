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
#include "modules/decisions/answer_assembler.h"
#include "modules/decisions/cancel_debts.h"
#include "modules/decisions/crash_guard.h"
#include "modules/decisions/dispatcher.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"
#include "modules/decisions/orphan_system.h"
#include "modules/decisions/prefix_index.h"
#include "modules/decisions/retry_budget.h"

namespace chicory {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/** A dispatcher with a few upstreams, driven by hand. */
class Bench {
 public:
  explicit Bench(int upstreams, int64_t memory = 450000) {
    Dispatcher::Options options;
    options.instance = "entry";
    options.model_placement = std::make_unique<LengthAwarePlacement>();
    options.service_placement = std::make_unique<LeastBusyPlacement>();
    dispatcher = std::make_unique<Dispatcher>(std::move(options));
    for (int i = 0; i < upstreams; ++i) {
      ids.push_back(dispatcher->OnUpstreamSeen(
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
    spec.answer_tokens = 100;
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

TEST_CASE("what follows the end of an attempt") {
  using Out = AttemptOutcome;
  const auto row = GENERATE(values<RetryCase>({
      {"refused, may not repeat", RepeatRule::kNever, Out::kRefused, 0, true,
       RunState::kNotRun},
      {"unreachable, may not repeat", RepeatRule::kNever, Out::kUnreachable, 0,
       true, RunState::kNotRun},
      {"died, may not repeat", RepeatRule::kNever, Out::kDied, 0, false,
       RunState::kOutcomeUnknown},
      {"stalled, may not repeat", RepeatRule::kNever, Out::kStalled, 0, false,
       RunState::kOutcomeUnknown},
      {"died, may repeat", RepeatRule::kSafe, Out::kDied, 0, true,
       RunState::kNotRun},
      {"died mid-stream", RepeatRule::kSafe, Out::kDied, 5, true,
       RunState::kRan},
  }));
  INFO(row.name);
  Bench bench(3);
  RequestSpec spec = Bench::Spec(1);
  spec.repeat = row.repeat;
  bench.dispatcher->OnArrival(spec, kStart);
  auto commands = bench.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].kind == CommandKind::kStart);
  bench.dispatcher->OnDelivered(spec.id, row.delivered);
  bench.dispatcher->OnAttemptEnded(spec.id, commands[0].attempt,
                                   {.outcome = row.outcome}, kStart,
                                   bench.random);
  bool is_started = false;
  bool is_refused = false;
  for (const Command& command : bench.Tick(kStart + absl::Seconds(3))) {
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
  Bench bench(0);
  RequestSpec spec = Bench::Spec(1);
  spec.first_token_within = absl::Hours(1);
  bench.dispatcher->OnArrival(spec, kStart);
  REQUIRE(bench.Tick(kStart + absl::Seconds(29)).empty());
  const auto commands = bench.Tick(kStart + absl::Seconds(30));
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].refusal.reason == RefusalReason::kDeadlineExceeded);
  REQUIRE(commands[0].refusal.run_state == RunState::kNotRun);
  REQUIRE(bench.dispatcher->requests().empty());
}

TEST_CASE("no attempt starts that cannot end") {
  Bench bench(3);
  bench.dispatcher->OnArrival(Bench::Spec(1), kStart);
  const auto start = bench.Tick(kStart);
  const absl::Time late = kStart + absl::Seconds(29.999);
  bench.dispatcher->OnAttemptEnded(RequestId{1}, start[0].attempt,
                                   {.outcome = AttemptOutcome::kDied}, late,
                                   bench.random);
  const auto commands = bench.Tick(late);
  REQUIRE(commands.back().kind == CommandKind::kRefuse);
}

TEST_CASE("an upstream that says it is leaving gets nothing more") {
  Bench bench(2);
  bench.dispatcher->OnUpstreamState("engine0", UpstreamState::kLeaving);
  // The lagging list still says that it is live.
  bench.dispatcher->OnUpstreamState("engine0", UpstreamState::kLive);
  for (uint64_t id = 1; id <= 50; ++id)
    bench.dispatcher->OnArrival(Bench::Spec(id, 100), kStart);
  for (const Command& command : bench.Tick(kStart))
    REQUIRE(command.upstreams.front() == bench.ids[1]);
}

TEST_CASE("another process under the name of one that left gets work") {
  Bench bench(1);
  bench.dispatcher->OnUpstreamState("engine0", UpstreamState::kLeaving);
  bench.dispatcher->OnUpstreamSeen(
      {.name = "engine0", .address = "another", .pool = "p", .models = {"m"}});
  bench.dispatcher->OnArrival(Bench::Spec(1, 100), kStart);
  REQUIRE(bench.Tick(kStart).front().kind == CommandKind::kStart);
}

TEST_CASE("a caller that hangs up leaves nothing behind") {
  Bench bench(2);
  bench.dispatcher->OnArrival(Bench::Spec(1), kStart);
  const auto start = bench.Tick(kStart);
  bench.dispatcher->OnCallerGone(RequestId{1}, kStart);
  const auto commands = bench.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].kind == CommandKind::kCancel);
  REQUIRE(commands[0].attempt == start[0].attempt);
  REQUIRE(bench.dispatcher->requests().empty());
  for (const auto& [id, row] : bench.dispatcher->upstreams().rows())
    REQUIRE(row.placements.empty());
}

TEST_CASE("a small account is not pushed out by a large one") {
  Bench bench(1, /*memory=*/2000);
  // The engine is full: what follows waits.
  bench.dispatcher->OnArrival(Bench::Spec(1, 1800), kStart);
  const auto first = bench.Tick(kStart);
  REQUIRE(first.size() == 1);
  for (uint64_t id = 2; id <= 30; ++id) {
    RequestSpec spec = Bench::Spec(id, 1800);
    spec.account = "large";
    bench.dispatcher->OnArrival(spec, kStart);
  }
  RequestSpec small = Bench::Spec(100, 1800);
  small.account = "small";
  bench.dispatcher->OnArrival(small, kStart);
  bench.Tick(kStart);
  uint64_t running = first[0].attempt;
  RequestId request{1};
  for (int turn = 0; turn < 3; ++turn) {
    const absl::Time now = kStart + absl::Seconds(turn + 1);
    bench.dispatcher->OnAttemptEnded(request, running,
                                     {.outcome = AttemptOutcome::kCompleted},
                                     now, bench.random);
    bench.dispatcher->OnLoadReport(bench.ids[0],
                                   {.incarnation = 1,
                                    .measured_at = now,
                                    .memory_tokens = 2000,
                                    .free_memory_tokens = 2000,
                                    .prefill_tokens_per_second = 40000});
    const auto commands = bench.Tick(now);
    REQUIRE(commands.size() == 1);
    if (commands[0].request == small.id)
      return;
    running = commands[0].attempt;
    request = commands[0].request;
  }
  FAIL("the small account waited behind three of the large one");
}

TEST_CASE("a group is sorted by name and leaves no half behind") {
  Bench bench(8);
  RequestSpec spec = Bench::Spec(1, 1000000);
  spec.length_class = 3;
  bench.dispatcher->OnArrival(spec, kStart);
  const auto commands = bench.Tick(kStart);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].upstreams.size() >= 3);
  REQUIRE(std::is_sorted(commands[0].upstreams.begin(),
                         commands[0].upstreams.end()));
  bench.dispatcher->OnAttemptEnded(spec.id, commands[0].attempt,
                                   {.outcome = AttemptOutcome::kRefused,
                                    .upstream = commands[0].upstreams[1]},
                                   kStart, bench.random);
  const auto after = bench.Tick(kStart);
  REQUIRE(after.front().kind == CommandKind::kCancel);
  REQUIRE(after.front().upstreams == commands[0].upstreams);
}

TEST_CASE("a prompt beyond any group is refused as not run") {
  Bench bench(8);
  RequestSpec spec = Bench::Spec(1, 10000000);
  bench.dispatcher->OnArrival(spec, kStart);
  const auto commands = bench.Tick(kStart);
  REQUIRE(commands[0].refusal.reason == RefusalReason::kPromptTooLong);
  REQUIRE(commands[0].refusal.run_state == RunState::kNotRun);
}

TEST_CASE("retries are a share of first tries") {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.Earn("a", "r");
    retries += budget.Spend("a", "r");
  }
  REQUIRE(retries <= 10000 * 0.1 + 10);
  REQUIRE(retries >= 10000 * 0.1 - 10);
}

TEST_CASE("one account's retries do not spend another's") {
  RetryBudget budget(0.1);
  while (budget.Spend("a", "r1")) {
  }
  REQUIRE(budget.Spend("b", "r2"));
}

TEST_CASE("deaths are counted over instances and cleared by a whole run") {
  CrashGuard guard("one");
  guard.OnDeath(7, kStart);
  guard.OnHeard(7, "two", 2, kStart);
  REQUIRE(guard.Deaths(7, kStart) == 3);
  guard.OnCompleted(7, kStart);
  REQUIRE(guard.Deaths(7, kStart) == 2);
  REQUIRE(guard.Deaths(7, kStart + CrashGuard::kMemory * 2) == 0);
  guard.Expire(kStart + CrashGuard::kMemory * 2);
  REQUIRE(guard.size() == 0);
}

TEST_CASE("late, crossed, repeated and cut pieces make no wrong answer") {
  std::mt19937_64 random(GENERATE(1, 2, 3, 4, 5, 6, 7, 8));
  const int64_t total = 40;
  auto token = [](int64_t index) { return absl::StrCat("t", index); };
  AnswerAssembler assembler;
  std::string answer;
  std::string expected;
  for (int64_t i = 0; i < total; ++i)
    expected += token(i);
  for (int attempt = 0; attempt < 100; ++attempt) {
    const std::string name = absl::StrCat("attempt", attempt);
    assembler.BeginAttempt(name);
    std::vector<AnswerPiece> pieces;
    for (int64_t i = assembler.delivered(); i < total; ++i)
      pieces.push_back({.attempt = name, .index = i, .text = token(i)});
    pieces.push_back({.attempt = name, .is_end = true, .total = total});
    // Pieces of other attempts, pieces twice, pieces lost, streams cut.
    for (int fault = 0; fault < 4; ++fault) {
      const auto at = absl::Uniform<size_t>(random, 0, pieces.size());
      switch (absl::Uniform(random, 0, 4)) {
        case 0:
          pieces.insert(
              pieces.begin() + static_cast<int64_t>(at),
              {.attempt = "other", .index = pieces[at].index, .text = "wrong"});
          break;
        case 1:
          pieces.insert(pieces.begin() + static_cast<int64_t>(at), pieces[at]);
          break;
        case 2:
          pieces.erase(pieces.begin() + static_cast<int64_t>(at));
          break;
        default:
          pieces.resize(at);
          break;
      }
      if (pieces.empty())
        break;
    }
    for (const AnswerPiece& piece : pieces) {
      const PieceVerdict verdict = assembler.Judge(piece);
      if (verdict == PieceVerdict::kDeliver)
        answer += piece.text;
      if (verdict == PieceVerdict::kBroken)
        break;
      if (verdict == PieceVerdict::kComplete) {
        REQUIRE(answer == expected);
        return;
      }
    }
    REQUIRE(expected.compare(0, answer.size(), answer) == 0);
  }
  FAIL("never whole");
}

struct OrphanCase {
  const char* name;
  const char* attempt;
  OwnerState state;
  absl::Duration after;
  bool is_taken;
};

TEST_CASE("only work whose owner is gone is taken") {
  const absl::Duration limit = OrphanSystem::kSilenceLimit;
  const absl::Duration tick = absl::Seconds(1);
  const auto row = GENERATE_COPY(values<OrphanCase>({
      {"live owner", "other~5~1", OwnerState::kAlive, 100 * limit, false},
      {"gone owner", "other~5~1", OwnerState::kGone, tick, true},
      {"silent a moment", "other~5~1", OwnerState::kSilent, limit - tick,
       false},
      {"silent for long", "other~5~1", OwnerState::kSilent, limit + tick, true},
      {"unheard of", "other~5~1", OwnerState::kUnheard, limit + tick, true},
      {"own, of before a restart", "self~4~1", OwnerState::kAlive, tick, true},
      {"own, running", "self~9~1", OwnerState::kAlive, 100 * limit, false},
      {"own, given up", "self~9~2", OwnerState::kAlive,
       OrphanSystem::kOwnGrace + tick, true},
      {"not of this project", "somebody", OwnerState::kGone, limit, false},
  }));
  INFO(row.name);
  OrphanSystem orphans("self", 9);
  auto sweep = [&](absl::Time now) {
    return orphans.Sweep(
        "engine", {row.attempt}, [&](const AttemptId&) { return row.state; },
        [](uint64_t sequence) { return sequence == 1; }, now);
  };
  sweep(kStart);
  REQUIRE(sweep(kStart + row.after).empty() == !row.is_taken);
}

TEST_CASE("doubt that passes starts anew") {
  OrphanSystem orphans("self", 9);
  OwnerState state = OwnerState::kSilent;
  auto sweep = [&](absl::Duration at) {
    return orphans.Sweep(
        "engine", {"other~5~1"}, [&](const AttemptId&) { return state; },
        [](uint64_t) { return false; }, kStart + at);
  };
  const absl::Duration limit = OrphanSystem::kSilenceLimit;
  sweep(absl::ZeroDuration());
  state = OwnerState::kAlive;
  sweep(limit - absl::Seconds(1));
  state = OwnerState::kSilent;
  REQUIRE(sweep(limit + absl::Seconds(1)).empty());
  REQUIRE(sweep(2 * limit + absl::Seconds(2)).size() == 1);
}

TEST_CASE("a cancel is repeated until it is confirmed") {
  CancelDebts debts;
  debts.Add("engine", "a~1~1", kStart);
  REQUIRE(debts.Due(kStart).size() == 1);
  REQUIRE(debts.Due(kStart).empty());
  REQUIRE(debts.Due(kStart + absl::Seconds(1)).size() == 1);
  debts.Settle("engine", "a~1~1");
  REQUIRE(debts.Due(kStart + absl::Minutes(1)).empty());
}

TEST_CASE("a gap in cache events drops what was known") {
  PrefixIndex index;
  const UpstreamId upstream{1};
  index.OnEvent(upstream, 1, 100, true);
  index.OnEvent(upstream, 2, 101, true);
  REQUIRE(index.MatchedBlocks(upstream, {100, 101}) == 2);
  index.OnEvent(upstream, 5, 102, true);
  REQUIRE(index.MatchedBlocks(upstream, {100, 101}) == 0);
  // A late event from before the gap tells nothing any more.
  index.OnEvent(upstream, 4, 100, true);
  REQUIRE(index.MatchedBlocks(upstream, {100}) == 0);
}

TEST_CASE("the prefix index is bounded") {
  PrefixIndex index(100);
  for (uint64_t block = 0; block < 1000; ++block)
    index.Insert(UpstreamId{1}, {block});
  REQUIRE(index.size() <= 100);
}

TEST_CASE("an attempt id survives its text form") {
  const AttemptId id{"entry-1", 77, 12};
  REQUIRE(*AttemptId::Parse(id.ToString()) == id);
  for (const char* bad : {"", "a", "a~b~c", "a~1", "~1~2", "a~1~2~3"})
    REQUIRE(!AttemptId::Parse(bad));
}

TEST_CASE("rendezvous moves only what a lost name held") {
  std::vector<std::string> names;
  for (int i = 0; i < 20; ++i)
    names.push_back(absl::StrCat("n", i));
  std::vector<std::string> fewer(names.begin() + 1, names.end());
  for (int key = 0; key < 200; ++key) {
    const std::string text = absl::StrCat("k", key);
    const std::string owner = RendezvousTop(text, names, 1).front();
    if (owner != "n0")
      REQUIRE(RendezvousTop(text, fewer, 1).front() == owner);
  }
}

}  // namespace
}  // namespace chicory

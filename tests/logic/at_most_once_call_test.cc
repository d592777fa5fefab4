#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "modules/decisions/at_most_once_call.h"

namespace chicory {
namespace {

/** A call in the model checker: the production state machine, or a crashed
    caller. */
struct Caller {
  AtMostOnceCall call;
  AtMostOnceAction next;
  bool is_dead = false;
  bool has_replied = false;
  AtMostOnceReply reply = AtMostOnceReply::kNotRun;
  int runs = 0;
};

/** A write that the store may still apply after the writer stopped waiting. */
struct LateWrite {
  IdempotencyRecord record;
  uint64_t expected_version = 0;
};

struct World {
  std::vector<Caller> callers;
  std::optional<IdempotencyRecord> record;
  uint64_t version = 0;
  uint64_t next_version = 1;
  std::vector<LateWrite> late;
  int faults_left = 0;
  int runs = 0;

  bool Apply(const IdempotencyRecord& written, uint64_t expected) {
    if (version != expected)
      return false;
    record = written;
    version = next_version++;
    return true;
  }
};

const absl::Time kNow = absl::UnixEpoch();
const absl::Time kDeadline = kNow + absl::Seconds(10);

/** Explores all interleavings of steps, crashes, lost responses, delayed writes
    and service outcomes of callers that use the same idempotency key, up to
    kMaxDepth steps. */
class Explorer {
 public:
  explicit Explorer(int faults) : faults_(faults) {}

  void Explore(int callers) {
    World world;
    world.faults_left = faults_;
    for (int i = 0; i < callers; ++i) {
      AtMostOnceCall call({.state = IdempotencyRecordState::kStarted,
                           .attempt = absl::StrCat("attempt", i),
                           .body_hash = "same"},
                          kDeadline);
      AtMostOnceAction first = call.Begin();
      world.callers.push_back({.call = call, .next = first});
    }
    Visit(world, 0);
  }

  int64_t states = 0;
  std::set<std::string> violations;

 private:
  static constexpr int kMaxDepth = 14;

  void Check(const World& world) {
    if (world.runs > 1)
      violations.insert("the call ran twice");
    for (const Caller& caller : world.callers) {
      if (!caller.has_replied)
        continue;
      const bool replied_not_run = caller.reply == AtMostOnceReply::kNotRun ||
                                   caller.reply == AtMostOnceReply::kKeyReused;
      if (replied_not_run && caller.runs > 0)
        violations.insert("a call that ran was reported as not run");
      if (caller.reply == AtMostOnceReply::kReplay && world.runs == 0)
        violations.insert("a response was replayed although no call ran");
    }
  }

  void Visit(const World& world, int depth) {
    ++states;
    Check(world);
    if (depth >= kMaxDepth)
      return;
    for (size_t i = 0; i < world.callers.size(); ++i)
      StepCaller(world, i, depth);
    for (size_t i = 0; i < world.late.size(); ++i) {
      World next = world;
      next.Apply(next.late[i].record, next.late[i].expected_version);
      next.late.erase(next.late.begin() + static_cast<int64_t>(i));
      Visit(next, depth + 1);
    }
  }

  void StepCaller(const World& world, size_t index, int depth) {
    const Caller& caller = world.callers[index];
    if (caller.is_dead || caller.has_replied)
      return;
    if (world.faults_left > 0) {
      // The caller crashes or is paused for ever: it takes no more steps.
      World killed = world;
      killed.callers[index].is_dead = true;
      --killed.faults_left;
      Visit(killed, depth + 1);
    }
    switch (caller.next.step) {
      case AtMostOnceStep::kCreate:
      case AtMostOnceStep::kUpdate:
        return StepWrite(world, index, depth);
      case AtMostOnceStep::kRead:
      case AtMostOnceStep::kWaitThenRead:
        return StepRead(world, index, depth);
      case AtMostOnceStep::kSend:
        return StepSend(world, index, depth);
      case AtMostOnceStep::kReply: {
        World next = world;
        next.callers[index].has_replied = true;
        next.callers[index].reply = caller.next.reply;
        return Visit(next, depth + 1);
      }
    }
  }

  void StepWrite(const World& world, size_t index, int depth) {
    const AtMostOnceAction action = world.callers[index].next;
    World completed = world;
    const bool applied =
        completed.Apply(action.record, action.expected_version);
    Caller& caller = completed.callers[index];
    caller.next =
        applied ? caller.call.OnWritten(std::nullopt, completed.version, kNow)
                : caller.call.OnWritten(ErrorCode::kConflict, 0, kNow);
    Visit(completed, depth + 1);
    if (world.faults_left == 0)
      return;
    // The write takes effect and its response is lost.
    World lost = world;
    --lost.faults_left;
    lost.Apply(action.record, action.expected_version);
    lost.callers[index].next =
        lost.callers[index].call.OnWritten(ErrorCode::kOutcomeUnknown, 0, kNow);
    Visit(lost, depth + 1);
    // The response is lost, and the write takes effect later or never.
    World late = world;
    --late.faults_left;
    late.late.push_back({action.record, action.expected_version});
    late.callers[index].next =
        late.callers[index].call.OnWritten(ErrorCode::kOutcomeUnknown, 0, kNow);
    Visit(late, depth + 1);
    // The store is unavailable: the write has no effect.
    World unavailable = world;
    --unavailable.faults_left;
    unavailable.callers[index].next = unavailable.callers[index].call.OnWritten(
        ErrorCode::kUnavailable, 0, kNow);
    Visit(unavailable, depth + 1);
  }

  void StepRead(const World& world, size_t index, int depth) {
    World next = world;
    Caller& caller = next.callers[index];
    if (caller.next.step == AtMostOnceStep::kWaitThenRead && depth % 2 == 1)
      return;  // Repeated waits add no new states.
    caller.next = next.record
                      ? caller.call.OnRead(*next.record, next.version, kNow)
                      : caller.call.OnReadFailed(ErrorCode::kNotFound, kNow);
    Visit(next, depth + 1);
    if (world.faults_left == 0)
      return;
    World unavailable = world;
    --unavailable.faults_left;
    unavailable.callers[index].next =
        unavailable.callers[index].call.OnReadFailed(ErrorCode::kUnavailable,
                                                     kNow);
    Visit(unavailable, depth + 1);
  }

  void StepSend(const World& world, size_t index, int depth) {
    struct Outcome {
      bool runs;
      AtMostOnceCallResult result;
    };
    for (const Outcome& outcome :
         {Outcome{true, AtMostOnceCallResult::kResponseReceived},
          Outcome{true, AtMostOnceCallResult::kUnknown},
          Outcome{false, AtMostOnceCallResult::kUnknown},
          Outcome{false, AtMostOnceCallResult::kNotRun}}) {
      World next = world;
      Caller& caller = next.callers[index];
      next.runs += outcome.runs ? 1 : 0;
      caller.runs += outcome.runs ? 1 : 0;
      caller.next = caller.call.OnCallFinished(
          outcome.result, {.status = 200, .body = "b"}, kNow);
      Visit(next, depth + 1);
    }
  }

  const int faults_;
};

TEST_CASE("no interleaving of steps and faults runs a call twice") {
  const int callers = GENERATE(1, 2);
  Explorer explorer(/*faults=*/callers == 1 ? 3 : 2);
  explorer.Explore(callers);
  INFO("states " << explorer.states);
  for (const std::string& violation : explorer.violations)
    UNSCOPED_INFO(violation);
  REQUIRE(explorer.states > 100);
  REQUIRE(explorer.violations.empty());
}

TEST_CASE("a call with another body under the same key does not run") {
  AtMostOnceCall call({.attempt = "b", .body_hash = "other"}, kDeadline);
  call.Begin();
  REQUIRE(call.OnWritten(ErrorCode::kConflict, 0, kNow).step ==
          AtMostOnceStep::kRead);
  const AtMostOnceAction action =
      call.OnRead({.state = IdempotencyRecordState::kDone,
                   .attempt = "a",
                   .body_hash = "first"},
                  1, kNow);
  REQUIRE(action.reply == AtMostOnceReply::kKeyReused);
}

TEST_CASE("an owner that resumes after the deadline does not send the call") {
  AtMostOnceCall call({.attempt = "a", .body_hash = "h"}, kDeadline);
  call.Begin();
  const AtMostOnceAction action =
      call.OnWritten(std::nullopt, 1, kDeadline + absl::Seconds(100));
  REQUIRE(action.step == AtMostOnceStep::kUpdate);
  REQUIRE(action.record.state == IdempotencyRecordState::kAbandoned);
}

TEST_CASE("an idempotency record is unchanged by encoding and decoding") {
  const IdempotencyRecord record{.state = IdempotencyRecordState::kDone,
                                 .attempt = "a~1~2",
                                 .body_hash = "h",
                                 .expires_unix_seconds = 7,
                                 .status = 201,
                                 .content_type = "text/plain",
                                 .body = "x\n\"y"};
  REQUIRE(*IdempotencyRecord::FromJson(record.ToJson()) == record);
  REQUIRE(!IdempotencyRecord::FromJson("{\"state\":\"odd\"}"));
  REQUIRE(!IdempotencyRecord::FromJson("not json"));
}

}  // namespace
}  // namespace chicory

#include "modules/decisions/crashing_parts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace chicory {
namespace {

constexpr PromptPart kCrashing = 7;
constexpr PromptPart kCommon = 1;
constexpr PromptPart kRare = 2;

/** What is seen of one request, `at` seconds after the beginning. */
struct Step {
  double at = 0;
  /** The upstream that crashed before it responded; 0 if it did respond. */
  UpstreamIncarnation crashed = 0;
  std::vector<PromptPart> parts;
  /** Seconds from the sending of the request to the crash. */
  double wait = 0.05;
};

using Parts = std::vector<PromptPart>;

struct Case {
  const char* name;
  std::vector<Step> steps;
  double seconds;
  /** Sets of parts: requests that hold a whole set are refused. */
  std::vector<Parts> refused;
};

std::vector<Parts> Refused(CrashingParts& crashing_parts, absl::Time now) {
  std::vector<Parts> refused;
  for (const CrashingParts::Refusal& refusal : crashing_parts.Refusals(now))
    refused.push_back(refusal.parts);
  return refused;
}

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(seconds);
}

TEST_CASE("a part is refused after crashes without a response in between") {
  const std::vector<Case> cases = {
      {"three crashes",
       {{0, 101, {kCrashing}}, {1, 102, {kCrashing}}, {2, 103, {kCrashing}}},
       2.1,
       {{kCrashing}}},
      {"two crashes", {{0, 101, {kCrashing}}, {1, 102, {kCrashing}}}, 2.1, {}},
      {"the same upstream three times",
       {{0, 101, {kCrashing}}, {1, 101, {kCrashing}}, {2, 101, {kCrashing}}},
       2.1,
       {}},
      {"one request and its retries",
       {{0, 101, {kCrashing}},
        {0.06, 102, {kCrashing}},
        {0.12, 103, {kCrashing}}},
       1.1,
       {{kCrashing}}},
      {"upstreams that crash together count once",
       {{0, 101, {kCrashing}, 1},
        {0.1, 102, {kCrashing}, 0.5},
        {0.2, 103, {kCrashing}, 0.3}},
       2.1,
       {}},
      {"not before the others can have reported responses",
       {{0, 101, {kCrashing}},
        {0.3, 102, {kCrashing}},
        {0.6, 103, {kCrashing}}},
       0.7,
       {}},
      {"a response clears it",
       {{0, 101, {kCrashing}},
        {1, 102, {kCrashing}},
        {1.5, 0, {kCrashing}},
        {2, 103, {kCrashing}}},
       2.1,
       {}},
      {"a response clears any number of crashes",
       {{0, 101, {kCrashing}},
        {1, 102, {kCrashing}},
        {2, 103, {kCrashing}},
        {3, 104, {kCrashing}},
        {4, 105, {kCrashing}},
        {4.5, 0, {kCrashing}},
        {5, 106, {kCrashing}}},
       5.1,
       {}},
      {"a response clears a part that is refused",
       {{0, 101, {kCrashing}},
        {1, 102, {kCrashing}},
        {2, 103, {kCrashing}},
        {2.1, 0, {kCrashing}}},
       2.2,
       {}},
      {"a part with a recent response needs more crashes",
       {{-1, 0, {kCommon}},
        {0, 101, {kCommon}},
        {1, 102, {kCommon}},
        {2, 103, {kCommon}},
        {3, 104, {kCommon}},
        {4, 105, {kCommon}}},
       4.1,
       {}},
      {"a part that begins to crash upstreams",
       {{-1, 0, {kCommon}},
        {0, 101, {kCommon}},
        {1, 102, {kCommon}},
        {2, 103, {kCommon}},
        {3, 104, {kCommon}},
        {4, 105, {kCommon}},
        {5, 106, {kCommon}}},
       5.1,
       {{kCommon}}},
      {"a part at the same upstreams is not blamed",
       {{0, 101, {kCommon, kCrashing}},
        {1, 102, {kCrashing}},
        {2, 103, {kCommon, kCrashing}},
        {3, 104, {kCommon, kCrashing}}},
       3.1,
       {{kCrashing}}},
      {"a part with a response before the crashes is not blamed",
       {{-1, 0, {kCommon}},
        {0, 101, {kCommon, kCrashing}},
        {1, 102, {kCommon, kCrashing}},
        {2, 103, {kCommon, kCrashing}}},
       2.1,
       {{kCrashing}}},
      {"parts that cannot be told apart",
       {{0, 101, {kRare, kCrashing}},
        {1, 102, {kRare, kCrashing}},
        {2, 103, {kRare, kCrashing}}},
       2.1,
       {{kRare, kCrashing}}},
      {"one more crash tells them apart",
       {{0, 101, {kRare, kCrashing}},
        {1, 102, {kRare, kCrashing}},
        {2, 103, {kRare, kCrashing}},
        {3, 104, {kCommon, kCrashing}}},
       3.1,
       {{kCrashing}}},
      {"a response tells them apart",
       {{0, 101, {kRare, kCrashing}},
        {1, 102, {kRare, kCrashing}},
        {2, 103, {kRare, kCrashing}},
        {3, 0, {kRare}}},
       3.1,
       {{kCrashing}}},
      {"still refused minutes later",
       {{0, 101, {kCrashing}}, {1, 102, {kCrashing}}, {2, 103, {kCrashing}}},
       290,
       {{kCrashing}}},
      {"no longer refused after five minutes",
       {{0, 101, {kCrashing}}, {1, 102, {kCrashing}}, {2, 103, {kCrashing}}},
       303,
       {}},
      {"one more crash after that",
       {{0, 101, {kCrashing}},
        {1, 102, {kCrashing}},
        {2, 103, {kCrashing}},
        {303, 104, {kCrashing}}},
       303.1,
       {{kCrashing}}},
      {"forgotten after ten minutes",
       {{0, 101, {kCrashing}},
        {1, 102, {kCrashing}},
        {2, 103, {kCrashing}},
        {603, 104, {kCrashing}}},
       603.1,
       {}},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    CrashingParts crashing_parts;
    for (const Step& step : c.steps) {
      if (step.crashed == 0)
        crashing_parts.OnStarted({.parts = step.parts}, At(step.at));
      else
        crashing_parts.OnCrash({.parts = step.parts}, step.crashed,
                               At(step.at - step.wait), At(step.at));
    }
    CHECK(Refused(crashing_parts, At(c.seconds)) == c.refused);
    for (PromptPart part : {kCommon, kRare, kCrashing}) {
      const bool is_refused =
          std::count(c.refused.begin(), c.refused.end(), Parts{part}) > 0;
      CHECK((crashing_parts.RefusalTimeLeft({.parts = {part}}, At(c.seconds)) >
             absl::ZeroDuration()) == is_refused);
    }
    for (const Parts& parts : c.refused)
      CHECK(crashing_parts.RefusalTimeLeft({.parts = parts}, At(c.seconds)) >
            absl::ZeroDuration());
  }
}

constexpr RequestFingerprint kRepeated = 71;
constexpr RequestFingerprint kSound = 72;
constexpr RequestFingerprint kOther = 73;

/** What is seen of a run of one request. */
struct Run {
  double at = 0;
  /** The upstream that crashed before it responded; 0 if it did respond. */
  UpstreamIncarnation crashed = 0;
  RequestFingerprint request = kRepeated;
  std::vector<PromptPart> parts = {};
  double wait = 0.05;
};

// Guards against a request that ends one upstream after another because its
// caller repeats it, and against sound requests that pay for it.
TEST_CASE("a repeated request is refused after crashes without a response") {
  struct RequestCase {
    const char* name;
    std::vector<Run> runs;
    double seconds;
    std::vector<RequestFingerprint> refused;
  };
  const std::vector<RequestCase> cases = {
      {"three crashes, at once",
       {{0, 101}, {0.1, 102}, {0.2, 103}},
       0.2,
       {kRepeated}},
      {"two crashes", {{0, 101}, {1, 102}}, 2, {}},
      {"one incarnation that is reported three times",
       {{0, 101}, {1, 101}, {2, 101}},
       2,
       {}},
      // Guards against copies that are sent again and again because those that
      // run at the same time count as one crash (review/8).
      {"copies that run at the same time, an upstream each",
       {{0, 101, kRepeated, {}, 1},
        {0.1, 102, kRepeated, {}, 1},
        {0.2, 103, kRepeated, {}, 1}},
       0.2,
       {kRepeated}},
      {"copies that are sent at once",
       {{0.06, 101, kRepeated, {}, 0.06},
        {0.062, 102, kRepeated, {}, 0.06},
        {0.065, 103, kRepeated, {}, 0.06}},
       0.1,
       {kRepeated}},
      {"copies beside sound requests at the same upstreams",
       {{0, 101, kRepeated, {}, 1},
        {0, 101, kSound, {}, 0.3},
        {0.1, 102, kRepeated, {}, 1},
        {0.1, 102, kSound, {}, 0.3},
        {0.2, 103, kRepeated, {}, 1}},
       0.3,
       {kRepeated}},
      {"copies of two requests at different upstreams",
       {{0, 101, kRepeated, {}, 1},
        {0, 201, kOther, {}, 1},
        {0.1, 102, kRepeated, {}, 1},
        {0.1, 202, kOther, {}, 1},
        {0.2, 103, kRepeated, {}, 1},
        {0.2, 203, kOther, {}, 1}},
       0.3,
       {kRepeated, kOther}},
      {"several copies at one upstream",
       {{0, 101, kRepeated, {}, 1},
        {0, 101, kRepeated, {}, 0.9},
        {0.01, 101, kRepeated, {}, 0.8},
        {1, 102, kRepeated, {}, 0.5}},
       2,
       {}},
      {"upstreams that crash together count once: another one does too",
       {{0, 101, kRepeated, {}, 1},
        {0.05, 102, kRepeated, {}, 1},
        {0.1, 103, kRepeated, {}, 1},
        {0.05, 104, kSound, {}, 0.4}},
       2,
       {}},
      {"upstreams that crash together count once: in the same moment",
       {{0, 101, kRepeated, {}, 1},
        {0.001, 102, kRepeated, {}, 0.7},
        {0.002, 103, kRepeated, {}, 0.4}},
       2,
       {}},
      {"copies of a request with a recent response",
       {{-1},
        {0, 101, kRepeated, {}, 1},
        {0.1, 102, kRepeated, {}, 1},
        {0.2, 103, kRepeated, {}, 1},
        {0.3, 104, kRepeated, {}, 1},
        {0.4, 105, kRepeated, {}, 1},
        {0.5, 106, kRepeated, {}, 1}},
       1,
       {}},
      {"a response in between", {{0, 101}, {1, 102}, {1.5}, {2, 103}}, 2, {}},
      {"a response after the limit",
       {{0, 101}, {1, 102}, {2, 103}, {2.1}},
       2.2,
       {}},
      {"a request with a recent response needs more crashes",
       {{-1}, {0, 101}, {1, 102}, {2, 103}, {3, 104}, {4, 105}},
       4,
       {}},
      {"which is six",
       {{-1}, {0, 101}, {1, 102}, {2, 103}, {3, 104}, {4, 105}, {5, 106}},
       5,
       {kRepeated}},
      {"a request that died beside it once",
       {{0, 101}, {0, 101, kSound}, {1, 102}, {2, 103}},
       2,
       {kRepeated}},
      {"a request that died beside it each time, and cannot be told apart",
       {{0, 101},
        {0, 101, kSound},
        {1, 102},
        {1, 102, kSound},
        {2, 103},
        {2, 103, kSound}},
       2,
       {}},
      {"one more crash tells them apart",
       {{0, 101},
        {0, 101, kSound},
        {1, 102},
        {1, 102, kSound},
        {2, 103},
        {2, 103, kSound},
        {3, 104}},
       3,
       {kRepeated}},
      {"a response tells them apart",
       {{0, 101},
        {0, 101, kSound},
        {1, 102},
        {1, 102, kSound},
        {2, 103},
        {2, 103, kSound},
        {2.5, 0, kSound}},
       2.6,
       {kRepeated}},
      {"two that always crash together are both refused in the end",
       {{0, 101},
        {0, 101, kOther},
        {1, 102},
        {1, 102, kOther},
        {2, 103},
        {2, 103, kOther},
        {3, 104},
        {3, 104, kOther},
        {4, 105},
        {4, 105, kOther},
        {5, 106},
        {5, 106, kOther}},
       5,
       {kRepeated, kOther}},
      {"a request that died beside two others is not blamed",
       {{0, 101},
        {0, 101, kSound},
        {1, 102},
        {2, 103},
        {3, 104, kOther},
        {3, 104, kSound},
        {4, 105, kOther},
        {4, 105, kSound},
        {5, 106, kOther}},
       5,
       {kRepeated, kOther}},
      {"its parts are not refused for it",
       {{0, 101, kRepeated, {kRare}},
        {1, 102, kRepeated, {kRare}},
        {2, 103, kRepeated, {kRare}}},
       4,
       {kRepeated}},
      {"refused for a minute",
       {{0, 101}, {1, 102}, {2, 103}},
       61.9,
       {kRepeated}},
      {"and no longer", {{0, 101}, {1, 102}, {2, 103}}, 62.1, {}},
      {"one more crash after that, for two minutes",
       {{0, 101}, {1, 102}, {2, 103}, {63, 104}},
       182.9,
       {kRepeated}},
      {"and no longer", {{0, 101}, {1, 102}, {2, 103}, {63, 104}}, 183.1, {}},
      {"forgotten after ten minutes",
       {{0, 101}, {1, 102}, {2, 103}, {603, 104}},
       603.1,
       {}},
  };
  for (const RequestCase& c : cases) {
    INFO(c.name);
    CrashingParts crashing_parts;
    for (const Run& run : c.runs) {
      const CrashSuspects suspects{.parts = run.parts, .request = run.request};
      if (run.crashed == 0)
        crashing_parts.OnStarted(suspects, At(run.at));
      else
        crashing_parts.OnCrash(suspects, run.crashed, At(run.at - run.wait),
                               At(run.at));
    }
    for (RequestFingerprint request : {kRepeated, kSound, kOther}) {
      INFO("request " << request);
      const bool is_refused =
          std::count(c.refused.begin(), c.refused.end(), request) > 0;
      for (const Parts& parts : {Parts{}, Parts{kRare}}) {
        const CrashSuspects suspects{.parts = parts, .request = request};
        CHECK((crashing_parts.RefusalTimeLeft(suspects, At(c.seconds)) >
               absl::ZeroDuration()) == is_refused);
      }
    }
  }
}

// Load pattern: an upstream that runs many requests crashes now and then; the
// requests are not repeated.
TEST_CASE("requests of a single crash neither spread nor fill the memory") {
  CrashingParts crashing_parts;
  for (uint64_t i = 1; i <= 4 * CrashingParts::kMaxSuspects; ++i) {
    const absl::Time at = At(static_cast<double>(i) * 0.01);
    crashing_parts.OnCrash({.request = i}, 1000 + i / 8, at, at);
  }
  CHECK(crashing_parts.size() <= CrashingParts::kMaxSuspects);
  CHECK(crashing_parts.digest() == 0);
  const CrashSuspects newest{.request = 4 * CrashingParts::kMaxSuspects};
  CHECK(crashing_parts.Evidence(At(60)).crashes.empty());
  CHECK(crashing_parts.Evidence(At(60), newest).crashes.size() == 1);
}

TEST_CASE("the order in which evidence arrives does not matter") {
  CrashingParts first;
  CrashingParts second;
  first.OnCrash({.parts = {kCommon, kCrashing}}, 101, At(-0.1), At(0));
  first.OnCrash({.parts = {kCrashing}}, 102, At(0.9), At(1));
  second.OnCrash({.parts = {kCommon, kCrashing}}, 103, At(1.2), At(1.5));
  second.OnStarted({.parts = {kCommon}}, At(1.6));
  CHECK(first.digest() != second.digest());
  const CrashEvidence of_first = first.Evidence(At(2));
  first.Merge(second.Evidence(At(2)), At(2));
  second.Merge(of_first, At(2));
  CHECK(first.digest() == second.digest());
  for (CrashingParts* each : {&first, &second})
    CHECK(Refused(*each, At(2.1)) == std::vector<Parts>{{kCrashing}});
  second.OnStarted({.parts = {kCrashing}}, At(3));
  CHECK(first.digest() != second.digest());
  first.Merge(second.Evidence(At(3.1)), At(3.1));
  CHECK(first.digest() == second.digest());
  CHECK(first.Refusals(At(3.2)).empty());
}

// Load pattern: a third of all requests hold the part, so that many upstreams
// crash within a second, seen by many instances.
TEST_CASE("a part stays refused while upstreams go on to crash on it") {
  CrashingParts crashing_parts;
  CrashingParts other;
  for (int crash = 1; crash <= 100; ++crash) {
    const double at = 0.02 * crash;
    CrashingParts& seen_by = crash % 2 == 0 ? crashing_parts : other;
    seen_by.OnCrash({.parts = {kCrashing}}, UpstreamIncarnation(crash),
                    At(at - 0.1), At(at));
    crashing_parts.Merge(other.Evidence(At(at)), At(at));
    other.Merge(crashing_parts.Evidence(At(at)), At(at));
    CHECK(crashing_parts.Refusals(At(at)).empty() == (at < 1.02));
    CHECK(crashing_parts.digest() == other.digest());
  }
  CHECK(crashing_parts.RefusalTimeLeft({.parts = {kCrashing}}, At(2)) ==
        CrashingParts::kRefusalTime);
}

// Load pattern: callers send parts of their own invention, a few of which are
// at upstreams that crash.
TEST_CASE("invented parts do not displace a part that crashes upstreams") {
  CrashingParts crashing_parts;
  for (const int second : {1, 2, 3})
    crashing_parts.OnCrash({.parts = {kCrashing}}, UpstreamIncarnation(second),
                           At(second - 0.1), At(second));
  std::mt19937_64 random(5);
  for (int i = 0; i < 20000; ++i) {
    const absl::Time now = At(4 + i * 0.001);
    const PromptPart invented = random() | 1024;
    if (i % 10 == 0)
      crashing_parts.OnCrash({.parts = {invented}}, random(), now, now);
    else
      crashing_parts.OnStarted({.parts = {invented}}, now);
  }
  CHECK(crashing_parts.size() <= CrashingParts::kMaxSuspects);
  CHECK(Refused(crashing_parts, At(25)) == std::vector<Parts>{{kCrashing}});
}

}  // namespace
}  // namespace chicory

#include "stand_ins/request_limit_check.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chicory {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

/** Requests at equal intervals from one gateway. */
struct Stream {
  const char* gateway;
  absl::Duration begin;
  absl::Duration end;
  absl::Duration interval;
};

// Guards against a check that lets too many requests pass: the process tests
// rely on its figures.
TEST_CASE("the requests to an upstream that names a limit are counted") {
  struct Case {
    const char* name;
    /** Requests per second. */
    double limit;
    /** First response with the limit to the gateways "a" and "b". */
    absl::Duration told_a;
    absl::Duration told_b;
    std::vector<Stream> streams;
    double allowed;
    int worst;
    int worst_of_all;
  };
  const absl::Duration ms = absl::Milliseconds(1);
  const absl::Duration s = absl::Seconds(1);
  const absl::Duration never = absl::InfiniteDuration();
  const std::vector<Case> cases = {
      {"nothing arrives", 2, 0 * s, 0 * s, {}, 17, 0, 0},
      {"the window that ends after 3 s reaches back to 0.5 s",
       2,
       0 * s,
       never,
       {{"a", 600 * ms, 3050 * ms, 100 * ms}},
       17,
       25,
       25},
      {"a burst within the first 3 s, then nothing",
       2,
       0 * s,
       never,
       {{"a", 600 * ms, 2900 * ms, 100 * ms}},
       17,
       0,
       0},
      {"requests before 0.5 s do not count",
       2,
       0 * s,
       never,
       {{"a", 0 * s, 500 * ms, 10 * ms}, {"a", 3 * s, 3001 * ms, s}},
       17,
       1,
       51},
      {"summed over gateways",
       0.5,
       0 * s,
       1 * s,
       {{"a", 5 * s, 10 * s, 500 * ms}, {"b", 5 * s, 10 * s, 500 * ms}},
       8,
       16,
       16},
      {"a gateway that was told nothing",
       0.5,
       0 * s,
       never,
       {{"a", 5 * s, 10 * s, 500 * ms}, {"b", 5 * s, 10 * s, 500 * ms}},
       8,
       8,
       16},
      {"no request at all is wanted",
       0,
       0 * s,
       never,
       {{"a", 4 * s, 10 * s, 100 * ms}},
       5,
       40,
       40},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    RequestLimitCheck check;
    check.SetLimit(c.limit, kStart);
    // In the order of time, responses first.
    for (absl::Duration at; at <= 10 * s; at += ms) {
      if (at == c.told_a)
        check.OnResponse("a", kStart + at);
      if (at == c.told_b)
        check.OnResponse("b", kStart + at);
      for (const Stream& stream : c.streams) {
        const bool is_due =
            at >= stream.begin && at < stream.end &&
            (at - stream.begin) % stream.interval == absl::ZeroDuration();
        if (is_due)
          check.OnRequest(stream.gateway, kStart + at);
      }
    }
    REQUIRE(check.periods().size() == 1);
    CHECK(check.periods()[0].allowed == c.allowed);
    CHECK(check.periods()[0].worst == c.worst);
    CHECK(check.periods()[0].worst_of_all == c.worst_of_all);
  }
}

TEST_CASE("each limit that an upstream names is counted by itself") {
  RequestLimitCheck check;
  const auto second = [](int n) { return kStart + absl::Seconds(n); };
  check.OnRequest("a", second(0));
  CHECK(check.periods().empty());
  check.SetLimit(2, second(1));
  check.OnResponse("a", second(2));
  check.SetLimit(2, second(3));
  check.OnRequest("a", second(6));
  check.SetLimit(5, second(7));
  check.OnRequest("a", second(8));
  check.OnResponse("a", second(9));
  check.OnRequest("a", second(13));
  check.Restart(second(14));
  check.SetLimit(std::nullopt, second(20));
  check.OnRequest("a", second(21));
  check.Restart(second(22));
  REQUIRE(check.periods().size() == 3);
  CHECK(check.periods()[0].requests == 1);
  CHECK(check.periods()[0].first_named == second(2));
  CHECK(check.periods()[0].end == second(7));
  CHECK(check.periods()[1].limit == 5);
  CHECK(check.periods()[1].requests == 1);
  CHECK(check.periods()[1].worst == 1);
  CHECK(check.periods()[1].end == second(14));
  CHECK(check.periods()[2].limit == 5);
  CHECK(check.periods()[2].first_named == absl::InfiniteFuture());
  CHECK(check.periods()[2].end == second(20));
}

}  // namespace
}  // namespace chicory

#include "modules/routing/upstream_announcements.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/header_codec.h"

namespace chicory {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr UpstreamKey kUpstream = 7;

/** Something that an upstream says, at a time after kStart. */
struct Word {
  absl::Duration at;
  UpstreamIncarnation incarnation = 1;
  /** Leaving if not set. */
  std::optional<absl::Duration> rest;
};

// Guards against requests to an upstream that has said that it is leaving, or
// that it wants none for some time.
TEST_CASE("an announcement closes an upstream for its incarnation") {
  struct Case {
    const char* name;
    std::vector<Word> words;
    /** When and of which incarnation is asked. */
    absl::Duration asked_at;
    UpstreamIncarnation asked_for;
    /** Until when, after kStart, it is closed; zero if it is open, infinite if
        it is leaving. */
    absl::Duration closed_until;
  };
  const absl::Duration s = absl::Seconds(1);
  const std::vector<Case> cases = {
      {"nothing said", {}, s, 1, absl::ZeroDuration()},
      {"leaving", {{0 * s}}, 100 * s, 1, absl::InfiniteDuration()},
      {"leaving, the next incarnation", {{0 * s}}, s, 2, absl::ZeroDuration()},
      {"leaving, long ago", {{0 * s}}, 601 * s, 1, absl::ZeroDuration()},
      {"leaving, said again",
       {{0 * s}, {500 * s}},
       601 * s,
       1,
       absl::InfiniteDuration()},
      {"rest", {{0 * s, 1, 3 * s}}, s, 1, 3 * s},
      {"rest, over", {{0 * s, 1, 3 * s}}, 3 * s, 1, absl::ZeroDuration()},
      {"rest, the next incarnation",
       {{0 * s, 1, 3 * s}},
       s,
       2,
       absl::ZeroDuration()},
      {"a longer rest after a shorter one",
       {{0 * s, 1, 3 * s}, {1 * s, 1, 5 * s}},
       2 * s,
       1,
       6 * s},
      {"a shorter rest after a longer one",
       {{0 * s, 1, 9 * s}, {1 * s, 1, 1 * s}},
       2 * s,
       1,
       9 * s},
      {"rest of a former incarnation, heard late",
       {{0 * s, 2, 9 * s}, {1 * s, 1, 5 * s}},
       2 * s,
       1,
       6 * s},
      {"rest and then leaving",
       {{0 * s, 1, 3 * s}, {1 * s}},
       2 * s,
       1,
       absl::InfiniteDuration()},
      {"leaving and then rest",
       {{0 * s}, {1 * s, 1, 3 * s}},
       2 * s,
       1,
       absl::InfiniteDuration()},
      {"no rest at all", {{0 * s, 1, 0 * s}}, s, 1, absl::ZeroDuration()},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    UpstreamAnnouncements announcements;
    for (const Word& word : c.words) {
      const absl::Time at = kStart + word.at;
      if (word.rest)
        announcements.OnRest(kUpstream, word.incarnation, *word.rest, at);
      else
        announcements.OnLeaving(kUpstream, word.incarnation, at);
    }
    const absl::Time now = kStart + c.asked_at;
    announcements.Expire(now);
    const absl::Time opens_at =
        announcements.OpensAt(kUpstream, c.asked_for, now);
    if (c.closed_until == absl::ZeroDuration())
      CHECK(opens_at <= now);
    else
      CHECK(opens_at == kStart + c.closed_until);
    CHECK(announcements.IsLeaving(kUpstream, c.asked_for, now) ==
          (c.closed_until == absl::InfiniteDuration()));
    CHECK(announcements.OpensAt(kUpstream + 1, 1, now) <= now);
  }
}

TEST_CASE("announcements that are over use no memory") {
  UpstreamAnnouncements announcements;
  CHECK(announcements.OnLeaving(1, 1, kStart));
  CHECK_FALSE(announcements.OnLeaving(1, 1, kStart + absl::Seconds(1)));
  announcements.OnRest(2, 1, absl::Seconds(3), kStart);
  CHECK_FALSE(announcements.Expire(kStart + absl::Seconds(4)));
  CHECK_FALSE(announcements.empty());
  CHECK(announcements.Expire(kStart + absl::Minutes(11)));
  CHECK(announcements.empty());
}

TEST_CASE("a response says that its upstream is leaving or wants rest") {
  struct Case {
    const char* name;
    int status;
    std::vector<std::pair<std::string, std::string>> fields;
    bool leaving;
    std::optional<absl::Duration> rest;
    std::string unusable;
  };
  const std::vector<Case> cases = {
      {"nothing", 200, {}, false, {}, ""},
      {"leaving", 200, {{"Server-Leaving", "1"}}, true, {}, ""},
      {"leaving, refused", 503, {{"server-leaving", " 1 "}}, true, {}, ""},
      {"not leaving", 200, {{"Server-Leaving", "0"}}, false, {}, ""},
      {"not leaving, odd", 200, {{"Server-Leaving", "yes"}}, false, {}, ""},
      {"seconds", 503, {{"Retry-After", "3"}}, false, absl::Seconds(3), ""},
      {"a fraction",
       503,
       {{"Retry-After", "0.25"}},
       false,
       absl::Milliseconds(250),
       ""},
      {"zero", 503, {{"Retry-After", "0"}}, false, absl::ZeroDuration(), ""},
      {"another status", 500, {{"Retry-After", "3"}}, false, {}, ""},
      {"empty", 503, {{"Retry-After", ""}}, false, {}, "''"},
      {"not a number", 503, {{"Retry-After", "nan"}}, false, {}, "'nan'"},
      {"infinite", 503, {{"Retry-After", "inf"}}, false, {}, "'inf'"},
      {"negative", 503, {{"Retry-After", "-1"}}, false, {}, "'-1'"},
      {"an exponent", 503, {{"Retry-After", "1e3"}}, false, {}, "'1e3'"},
      {"a dot", 503, {{"Retry-After", "."}}, false, {}, "'.'"},
      {"too long",
       503,
       {{"Retry-After", "1000000000000000000000000000000"}},
       false,
       {},
       "'1000000000000000000000000000000'"},
      {"a date",
       503,
       {{"Retry-After", "Sat, 05 Dec 2026 06:00:00 GMT"}},
       false,
       {},
       "'Sat, 05 Dec 2026 06:00:00 GMT'"},
      {"twice",
       503,
       {{"Retry-After", "3"}, {"Retry-After", "4"}},
       false,
       {},
       "'3', '4'"},
  };
  const HeaderCodec codec;
  for (const Case& c : cases) {
    INFO(c.name);
    HttpResponseHead head{.status = c.status};
    head.headers.Add("Request-Id", "1");
    for (const auto& [name, value] : c.fields)
      head.headers.Add(name, value);
    const ResponseClassification response = codec.ClassifyResponse(head, "1");
    CHECK(response.leaving == c.leaving);
    CHECK(response.rest == c.rest);
    CHECK(response.unusable_rest == c.unusable);
  }
}

}  // namespace
}  // namespace chicory

#include "modules/decisions/request_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "modules/decisions/fleet_scheduler.h"

namespace chicory {
namespace {

constexpr UpstreamKey kUpstream = 7;
constexpr UpstreamIncarnation kIncarnation = 1;
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kTimeToDue = absl::Milliseconds(300);

/** Returns the number of requests that a window of kWindow may hold. */
double AllowedInWindow(double per_second) {
  return 1.5 * absl::ToDoubleSeconds(kWindow) * per_second + 5;
}

/** Counts events in sliding windows of kWindow. */
class WindowCounter {
 public:
  void Add(absl::Time now) {
    events_.push_back(now);
    while (events_.front() <= now - kWindow)
      events_.pop_front();
    most_ = std::max(most_, events_.size());
    ++total_;
  }
  /** Returns the largest number of events in a window. */
  size_t most() const { return most_; }
  size_t total() const { return total_; }

 private:
  std::deque<absl::Time> events_;
  size_t most_ = 0;
  size_t total_ = 0;
};

// Guards against upstreams that get more requests than the limit they name.
TEST_CASE("a limited upstream gets its limit, and no more in any window") {
  struct Case {
    double per_second;
    absl::Duration pause;
    double least_share;
  };
  for (const Case& c : std::vector<Case>{{0, absl::ZeroDuration(), 0},
                                         {0.1, absl::ZeroDuration(), 0},
                                         {0.5, absl::ZeroDuration(), 0.9},
                                         {2, absl::ZeroDuration(), 0.9},
                                         {2, absl::Seconds(30), 0.5},
                                         {5, absl::Seconds(3), 0.7},
                                         {50, absl::ZeroDuration(), 0.9}}) {
    INFO(c.per_second << " a second, pause " << absl::FormatDuration(c.pause));
    RequestLimits limits;
    WindowCounter placed;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    for (int i = 0; i < 6000; ++i) {
      const absl::Time now = start + absl::Milliseconds(10) * i;
      limits.OnResponse(kUpstream, kIncarnation, c.per_second, now, now);
      const bool in_pause = now > start + absl::Seconds(10) &&
                            now < start + absl::Seconds(10) + c.pause;
      if (in_pause || !limits.Allows(kUpstream, now))
        continue;
      limits.OnPlaced(kUpstream, now);
      placed.Add(now);
    }
    CHECK(static_cast<double>(placed.most()) <= AllowedInWindow(c.per_second));
    CHECK(static_cast<double>(placed.total()) >=
          c.least_share * c.per_second * 60 - 1);
    CHECK(placed.total() > 0);
  }
}

// Guards against parts of a fleet that each use the whole limit.
TEST_CASE("a limited upstream gets a scheduler's share of its limit") {
  struct Case {
    double per_second;
    double share;
    /** Of 60 s. */
    size_t least;
    size_t most;
  };
  for (const Case& c : std::vector<Case>{{4, 1, 235, 244},
                                         {4, 0.5, 115, 122},
                                         {4, 0.05, 11, 13},
                                         {0, 0.5, 6, 8}}) {
    INFO(c.per_second << " a second, share " << c.share);
    RequestLimits limits;
    size_t placed = 0;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    for (int i = 0; i < 6000; ++i) {
      const absl::Time now = start + absl::Milliseconds(10) * i;
      limits.OnResponse(kUpstream, kIncarnation, c.per_second, now, now);
      if (!limits.Allows(kUpstream, now, {.named = c.share}))
        continue;
      limits.OnPlaced(kUpstream, now, {.named = c.share});
      ++placed;
    }
    CHECK(placed >= c.least);
    CHECK(placed <= c.most);
  }
}

// Guards against a change of the scheduler at which the former and the new one
// both use up the limit.
TEST_CASE("a limit that becomes known leaves nothing to place at once") {
  for (const double per_second : {0.5, 2.0, 50.0}) {
    INFO(per_second);
    RequestLimits limits;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    limits.Merge({{.upstream = kUpstream,
                   .per_second = per_second,
                   .observed = start - absl::Milliseconds(1)}},
                 start);
    CHECK_FALSE(limits.Allows(kUpstream, start));
    CHECK(limits.Allows(kUpstream, start + absl::Seconds(1 / per_second)));
  }
}

TEST_CASE("what ends a limit") {
  struct Case {
    const char* name;
    UpstreamIncarnation incarnation;
    absl::Duration sent_after;
    absl::Duration received_after;
    bool ends;
  };
  // A limit is observed at 0; then a response comes without one.
  for (const Case& c :
       std::vector<Case>{{"a response to a later request", kIncarnation,
                          absl::Seconds(1), absl::Seconds(2), true},
                         {"a response to a request sent before", kIncarnation,
                          absl::Seconds(-1), absl::Seconds(2), false},
                         {"a response of another incarnation", kIncarnation + 1,
                          absl::Seconds(-1), absl::Seconds(2), true},
                         {"nothing for long", kIncarnation, absl::Seconds(-1),
                          RequestLimits::kMemory, true}}) {
    INFO(c.name);
    RequestLimits limits;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    CHECK(limits.OnResponse(kUpstream, kIncarnation, 2, start, start));
    const absl::Time now = start + c.received_after;
    limits.OnResponse(kUpstream, c.incarnation, std::nullopt,
                      start + c.sent_after, now);
    CHECK((limits.RateOf(kUpstream, now) == RequestLimit::kNone) == c.ends);
    CHECK(limits.limited(now) == (c.ends ? 0U : 1U));
  }
}

TEST_CASE("of what several instances observe of a limit the newest counts") {
  struct Case {
    const char* name;
    double own;
    double remote;
    absl::Duration remote_age;
    double expected;
  };
  for (const Case& c : std::vector<Case>{
           {"newer limit", 2, 5, absl::Milliseconds(10), 5},
           {"older limit", 2, 5, absl::Seconds(5), 2},
           {"newer end", 2, RequestLimit::kNone, absl::Milliseconds(10),
            RequestLimit::kNone},
           {"older end", 2, RequestLimit::kNone, absl::Seconds(5), 2}}) {
    INFO(c.name);
    RequestLimits limits;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    limits.OnResponse(kUpstream, kIncarnation, c.own, start, start);
    const absl::Time now = start + absl::Seconds(1);
    limits.Merge({{.upstream = kUpstream,
                   .per_second = c.remote,
                   .observed = now - c.remote_age}},
                 now);
    CHECK(limits.RateOf(kUpstream, now) == c.expected);
    // What another instance has observed is not passed on.
    const bool is_own = c.expected == c.own;
    CHECK(limits.OwnObservations(now).size() == (is_own ? 1U : 0U));
  }
}

/** A scheduler with three upstreams of a plain service, of which the first
    `limited` take `per_second` requests a second. */
class LimitedService {
 public:
  LimitedService(int limited, double per_second)
      : limits_(std::make_shared<RequestLimits>()),
        scheduler_(limits_),
        limited_(limited),
        per_second_(per_second) {
    scheduler_.SetUpstreams({{1, "desk", 6}, {2, "desk", 6}, {3, "desk", 6}});
  }

  WorkKey Submit(int priority) {
    const WorkKey key{1, ++sequence_};
    scheduler_.Submit({.key = key,
                       .service = "desk",
                       .due = now + kTimeToDue,
                       .deadline = now + absl::Seconds(4),
                       .priority = priority});
    return key;
  }

  /** Runs the scheduler; each placed request ends at once. */
  std::vector<ScheduleDecision> Run() {
    for (int i = 1; i <= limited_; ++i) {
      limits_->OnResponse(static_cast<UpstreamKey>(i), kIncarnation,
                          per_second_, now, now);
    }
    std::vector<ScheduleDecision> decisions = scheduler_.Run(now);
    for (const ScheduleDecision& decision : decisions) {
      if (decision.kind == ScheduleDecision::Kind::kAssign)
        scheduler_.OnEnded(decision.key, AttemptResult::kDone, 0, now);
    }
    return decisions;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);

 private:
  std::shared_ptr<RequestLimits> limits_;
  FleetScheduler scheduler_;
  int limited_;
  double per_second_;
  uint64_t sequence_ = 0;
};

// Load: 50 plain requests a second at three upstreams; one in ten is urgent.
TEST_CASE("requests beyond the limits of all upstreams are refused at once") {
  struct Case {
    int limited;
    double per_second;
    bool refuses;
  };
  for (const Case& c : std::vector<Case>{
           {3, 2, true}, {3, 0.5, true}, {3, 0, true}, {2, 2, false}}) {
    INFO(c.limited << " of 3, " << c.per_second << " a second");
    LimitedService service(c.limited, c.per_second);
    std::map<WorkKey, std::pair<absl::Time, int>> waiting;
    int placed = 0;
    int refused = 0;
    int out_of_turn = 0;
    absl::Duration longest;
    for (int i = 0; i < 1000; ++i) {
      service.now += absl::Milliseconds(20);
      const int priority = i % 10 == 0 ? 0 : 1;
      waiting[service.Submit(priority)] = {service.now, priority};
      bool placed_ordinary = false;
      for (const ScheduleDecision& decision : service.Run()) {
        const auto [since, rank] = waiting.at(decision.key);
        longest = std::max(longest, service.now - since);
        waiting.erase(decision.key);
        if (decision.kind == ScheduleDecision::Kind::kAssign) {
          ++placed;
          placed_ordinary |= rank > 0;
          continue;
        }
        ++refused;
        CHECK(decision.cause == RefusalCause::kUpstreamsLimited);
        CHECK(decision.retry_after > absl::ZeroDuration());
      }
      // Those that can still be on time come first, the urgent ones among them
      // before the others.
      const bool urgent_waits =
          std::any_of(waiting.begin(), waiting.end(), [&](const auto& entry) {
            const auto& [since, rank] = entry.second;
            return rank == 0 && service.now <= since + kTimeToDue;
          });
      out_of_turn += placed_ordinary && urgent_waits ? 1 : 0;
    }
    CHECK((refused > 0) == c.refuses);
    // Well before the deadline of 4 s.
    CHECK(longest <= absl::Milliseconds(1200));
    CHECK(out_of_turn == 0);
    if (!c.refuses) {
      CHECK(placed == 1000);
      continue;
    }
    const double allowed = 3 * 20 * c.per_second;
    CHECK(placed >= 0.9 * allowed - 3);
    CHECK(placed <= 1.5 * allowed + 15);
  }
}

// Guards against a cold upstream that gets more than it takes, also where it
// names a limit, as a helper, or from several schedulers.
TEST_CASE("a cold upstream gets the lower of its limits") {
  struct Case {
    const char* name;
    double cold_rate;
    double share;
    std::optional<double> named;
    int requests_each;
    size_t least;
    size_t most;
    /** The same in any second. */
    size_t most_in_second;
  };
  constexpr int kSeconds = 10;
  for (const Case& c : std::vector<Case>{
           {"cold", 14, 1, std::nullopt, 1, 138, 143, 17},
           {"half of the rate", 14, 0.5, std::nullopt, 1, 68, 73, 9},
           {"none of it", 14, 0, std::nullopt, 1, 0, 0, 0},
           {"names a lower limit", 14, 1, 5, 1, 45, 55, 8},
           {"names a higher limit", 14, 1, 50, 1, 125, 143, 17},
           {"two requests with each placement", 14, 1, std::nullopt, 2, 130,
            144, 18},
       }) {
    INFO(c.name);
    RequestLimits limits;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    limits.SetCold({{.key = kUpstream,
                     .cold_until = start + absl::Seconds(kSeconds),
                     .cold_requests_per_second = c.cold_rate,
                     .cold_burst = 3}});
    std::deque<absl::Time> last_second;
    size_t total = 0;
    size_t most = 0;
    for (int i = 0; i < kSeconds * 100; ++i) {
      const absl::Time now = start + absl::Milliseconds(10) * i;
      limits.BeginBuckets(now);
      if (c.named)
        limits.OnResponse(kUpstream, kIncarnation, c.named, now, now);
      for (int n = 0; n < 5 && limits.Allows(kUpstream, now, {.cold = c.share});
           ++n) {
        limits.OnPlaced(kUpstream, now, {.cold = c.share}, c.requests_each);
        total += static_cast<size_t>(c.requests_each);
        last_second.insert(last_second.end(),
                           static_cast<size_t>(c.requests_each), now);
      }
      while (!last_second.empty() &&
             last_second.front() <= now - absl::Seconds(1))
        last_second.pop_front();
      most = std::max(most, last_second.size());
    }
    CHECK(total >= c.least);
    CHECK(total <= c.most);
    CHECK(most <= c.most_in_second);
    CHECK(limits.cold(start) == 1);
    CHECK(limits.limited(start + absl::Seconds(1)) == (c.named ? 1 : 0));
    // It is warm afterwards.
    const absl::Time end = start + absl::Seconds(kSeconds + 40);
    CHECK(limits.Allows(kUpstream, end));
    CHECK(limits.RateOf(kUpstream, end) == RequestLimit::kNone);
    limits.Expire(end);
    CHECK(limits.empty());
  }
}

// Guards against more bytes in each submission because of upstreams that have
// named no limit.
TEST_CASE("responses of cold upstreams without a limit are not observations") {
  RequestLimits limits;
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  limits.SetCold({{.key = kUpstream,
                   .cold_until = now + absl::Seconds(3),
                   .cold_requests_per_second = 14}});
  limits.OnResponse(kUpstream, kIncarnation, std::nullopt, now, now);
  limits.Merge({{.upstream = kUpstream, .observed = now}}, now);
  CHECK(limits.OwnObservations(now).empty());
  CHECK(limits.RateOf(kUpstream, now) == 14);
}

// Guards against a scheduler that uses cold upstreams without knowing how many
// others do so too, and against requests that wait for nothing meanwhile.
TEST_CASE("a scheduler that does not know the others spares cold upstreams") {
  struct Case {
    const char* name;
    bool has_warm;
    LimitUse use;
    size_t at_warm;
    size_t at_cold;
  };
  // Of eight requests within 160 ms that do not end; a cold upstream has its
  // turns after 71 and 143 ms.
  for (const Case& c : std::vector<Case>{
           {"the others are unknown, one upstream is warm",
            true,
            {.cold_share = 0, .cold_share_if_all = 1},
            8,
            0},
           {"the others are unknown, all upstreams are cold",
            false,
            {.cold_share = 0, .cold_share_if_all = 1},
            0,
            2},
           {"not the scheduler",
            true,
            {.allowed = false, .cold_share = 0, .cold_share_if_all = 0},
            8,
            0},
           {"the only scheduler", true, {}, 6, 2},
       }) {
    INFO(c.name);
    FleetScheduler scheduler;
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    std::vector<UpstreamSpec> upstreams = {
        {.key = kUpstream,
         .service = "desk",
         .slots = 6,
         .cold_until = absl::InfiniteFuture(),
         .cold_requests_per_second = 14}};
    if (c.has_warm)
      upstreams.push_back({.key = 2, .service = "desk", .slots = 6});
    scheduler.SetUpstreams(upstreams);
    scheduler.SetLimitUse(c.use);
    std::map<UpstreamKey, size_t> placed;
    for (uint64_t i = 0; i <= 8; ++i) {
      const absl::Time now = start + absl::Milliseconds(20) * int64_t(i);
      if (i > 0)
        scheduler.Submit({.key = {1, i},
                          .service = "desk",
                          .due = start + absl::Seconds(2),
                          .deadline = start + absl::Seconds(4)});
      // The first decision begins the bucket.
      if (i == 0)
        scheduler.Submit(
            {.key = {1, 100}, .service = "other", .deadline = now});
      for (const ScheduleDecision& decision : scheduler.Run(now))
        ++placed[decision.upstream];
    }
    CHECK(placed[2] == c.at_warm);
    CHECK(placed[kUpstream] == c.at_cold);
  }
}

}  // namespace
}  // namespace chicory

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "modules/core/event_log.h"
#include "modules/decisions/retry_window.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/response_watchdog.h"
#include "modules/net/loop_time.h"
#include "modules/net/socket_options.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 236;
constexpr absl::Duration kWindow = absl::Seconds(10);

// Guards against a retry storm: most attempts fail and each request is retried
// immediately and several times, at instances with uneven load.
TEST_CASE("retries of all instances stay within the shared budget") {
  for (const int instances : {20, 111, 340}) {
    INFO(instances);
    std::vector<std::unique_ptr<RetryWindow>> windows;
    for (int i = 0; i < instances; ++i) {
      windows.push_back(std::make_unique<RetryWindow>(RetryWindow::Options{
          .ratio = kRatio, .slack = kSlack, .window = kWindow}));
    }
    std::mt19937 random(3);
    absl::Time now = absl::UnixEpoch();
    std::vector<absl::Time> requests;
    std::vector<absl::Time> retries;
    for (int step = 0; step < 6000; ++step) {
      now += absl::Milliseconds(5);
      // The load is spread unevenly over the instances.
      const size_t index =
          std::min<size_t>(random() % instances, random() % instances);
      windows[index]->OnRequest("s", now);
      requests.push_back(now);
      for (int retry = 0; retry < 3; ++retry) {
        if (windows[index]->Spend("s", instances, now))
          retries.push_back(now);
      }
      const auto in_window = [&](const std::vector<absl::Time>& times) {
        return times.end() -
               std::lower_bound(times.begin(), times.end(), now - kWindow);
      };
      if (step % 100 == 0) {
        CHECK(static_cast<double>(in_window(retries)) <=
              kRatio * static_cast<double>(in_window(requests)) + kSlack);
      }
    }
    CHECK(!retries.empty());
  }
}

TEST_CASE("an instance that knows no others stays within the retry slack") {
  RetryWindow window({.ratio = kRatio, .slack = kSlack, .window = kWindow});
  int spent = 0;
  for (int i = 0; i < 1000; ++i)
    spent += window.Spend("s", 1, absl::UnixEpoch());
  CHECK(spent <= kSlack);
  CHECK(window.Spent("s", absl::UnixEpoch() + absl::Seconds(11)) == 0);
}

// Guards against instances that use their share of the slack again after each
// restart, or all of it while they know of no other.
TEST_CASE("the share of the retry slack depends on what an instance knows") {
  struct Case {
    const char* name;
    absl::Duration up;
    RetryWindow::InstanceCount instances;
    size_t requests;
    size_t allowed;
  };
  const std::vector<Case> cases = {
      {"just started", absl::ZeroDuration(), 1, 0, 0},
      {"up for half a window", kWindow / 2, 1, 0, 29},
      {"up for a window", kWindow, 1, 0, 59},
      {"up for two windows", kWindow * 2, 1, 0, 118},
      {"up for long", kWindow * 100, 1, 0, 118},
      {"up for long, one of 20", kWindow * 100, 20, 0, 5},
      {"the others are not known", kWindow * 100, std::nullopt, 0, 0},
      {"requests of its own", absl::ZeroDuration(), std::nullopt, 100, 10},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const absl::Time start = absl::UnixEpoch();
    RetryWindow window({.ratio = kRatio,
                        .slack = kSlack,
                        .window = kWindow,
                        .started = start});
    for (size_t i = 0; i < c.requests; ++i)
      window.OnRequest("s", start + c.up);
    for (size_t i = 0; i < c.allowed; ++i)
      CHECK(window.Spend("s", c.instances, start + c.up));
    CHECK_FALSE(window.Spend("s", c.instances, start + c.up));
  }
}

TEST_CASE("reserved retries count against later reservations until released") {
  RetryWindow window({.ratio = kRatio, .slack = 4, .window = kWindow});
  const absl::Time now = absl::UnixEpoch();
  CHECK(window.Reserve("s", 1, now));
  CHECK(window.Reserve("s", 1, now));
  CHECK_FALSE(window.Reserve("s", 1, now + kWindow * 2));
  window.Release("s");
  CHECK(window.Spend("s", 1, now + kWindow * 2));
  CHECK_FALSE(window.Reserve("s", 1, now + kWindow * 2));
  window.Refund("s", now + kWindow * 2);
  CHECK(window.Reserve("s", 1, now + kWindow * 2));
}

UpstreamRecord Record(const std::string& id,
                      RegistrationState state = RegistrationState::kReady) {
  return {.id = id,
          .service = "s",
          .address = "10.0.0.1:80",
          .slots = 4,
          .state = state};
}

TEST_CASE("registrations that lapse in an outage are kept for a grace period") {
  struct Case {
    const char* name;
    bool after_outage;
    absl::Duration wait;
    bool known;
  };
  const std::vector<Case> cases = {
      {"removed at once", false, absl::ZeroDuration(), false},
      {"kept", true, absl::Milliseconds(1000), true},
      {"still missing after the grace period", true, absl::Milliseconds(1600),
       false},
  };
  for (const bool by_list : {true, false}) {
    for (const Case& c : cases) {
      INFO(c.name << (by_list ? " by list" : " by event"));
      absl::Time now = absl::UnixEpoch();
      UpstreamDirectory directory;
      directory.Replace({Record("a"), Record("b")}, false, now);
      if (by_list)
        directory.Replace({Record("a")}, c.after_outage, now);
      else
        directory.Remove("b", c.after_outage, now);
      directory.Expire(now + c.wait);
      CHECK((directory.FindReady(UpstreamDirectory::KeyOf("b")) != nullptr) ==
            c.known);
      CHECK(directory.FindReady(UpstreamDirectory::KeyOf("a")) != nullptr);
    }
  }
}

TEST_CASE("an upstream that registers again in time is not removed") {
  absl::Time now = absl::UnixEpoch();
  UpstreamDirectory directory;
  directory.Replace({Record("a")}, false, now);
  directory.Replace({}, true, now);
  directory.Put(Record("a"));
  CHECK_FALSE(directory.Expire(now + absl::Minutes(1)));
  CHECK(directory.Ready().size() == 1);
}

TEST_CASE("draining upstreams receive no new requests") {
  UpstreamDirectory directory;
  directory.Put(Record("a"));
  directory.Put(Record("a", RegistrationState::kDraining));
  CHECK(directory.FindReady(UpstreamDirectory::KeyOf("a")) == nullptr);
  CHECK(directory.Ready().empty());
  CHECK(directory.KeyOfAddress("10.0.0.1:80") == UpstreamDirectory::KeyOf("a"));
  CHECK(directory.KeyOfAddress("10.0.0.2:80") == 0);
}

TEST_CASE("a log does not block when its reader has stopped reading") {
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  EventLog log({.descriptor = ends[1]});
  const std::string text(400, 'x');
  for (int i = 0; i < 100000; ++i)
    log.Write(i % 2 == 0 ? "even" : "odd", {{"text", text}});
  CHECK(log.dropped() > 0);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("lines of one event are limited per second and quoted") {
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  EventLog log({.descriptor = ends[1]});
  log.Write("first", {{"a", "x y"}, {"b", 3}, {"c", ""}});
  for (int i = 0; i < 5000; ++i)
    log.Write("e", {});
  std::string text(1 << 16, '\0');
  const ssize_t count = ::read(ends[0], text.data(), text.size());
  REQUIRE(count > 0);
  text.resize(static_cast<size_t>(count));
  CHECK(absl::StrContains(text, "event=first a=\"x y\" b=3 c=\"\"\n"));
  // The loop may span two seconds, each with its own limit.
  const auto lines = std::count(text.begin(), text.end(), '\n');
  CHECK(lines <= 2 * EventLog::kMaxLinesPerSecond + 10);
  CHECK(log.dropped() >= 5000 - 2 * EventLog::kMaxLinesPerSecond);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("latencies are exposed as histograms for each service") {
  GatewayMetrics metrics;
  metrics.OnAttemptStarted("desk", absl::Milliseconds(2));
  metrics.OnRequestEnded("desk", 200, "answered", absl::Milliseconds(60));
  metrics.OnRequestEnded("desk", 200, "answered", absl::Milliseconds(400));
  metrics.OnRequestEnded("", 404, "no_route", absl::ZeroDuration());
  metrics.OnFirstEvent("engines", absl::Milliseconds(240));
  metrics.OnStreamComplete("engines", absl::Milliseconds(90));
  metrics.OnAttemptFailed("desk", "no_connection");
  metrics.OnRetryDecided("desk", false);
  const std::string text = metrics.Exposition({.live_instances = 3});
  for (const char* line : {
           "chicory_requests_total{reason=\"answered\",service=\"desk\","
           "status=\"200\"} 2\n",
           "chicory_requests_total{reason=\"no_route\",service=\"none\","
           "status=\"404\"} 1\n",
           "chicory_request_duration_seconds_bucket{service=\"desk\","
           "le=\"0.1\"} 1\n",
           "chicory_request_duration_seconds_count{service=\"desk\"} 2\n",
           "chicory_wait_seconds_bucket{service=\"desk\",le=\"0.005\"} 1\n",
           "chicory_first_event_seconds_bucket{service=\"engines\","
           "le=\"0.2\"} 0\n",
           "chicory_first_event_seconds_bucket{service=\"engines\","
           "le=\"0.3\"} 1\n",
           "chicory_longest_event_gap_seconds_count{service=\"engines\"} 1\n",
           "chicory_failed_sends_total{reason=\"no_connection\","
           "service=\"desk\"} 1\n",
           "chicory_retries_total{granted=\"no\",service=\"desk\"} 1\n",
           "chicory_live_instances 3\n",
       }) {
    INFO(line);
    CHECK(absl::StrContains(text, line));
  }
}

TEST_CASE("services beyond the limit share one label") {
  GatewayMetrics metrics;
  for (size_t i = 0; i < 3 * GatewayMetrics::kMaxServices; ++i)
    metrics.OnAttemptStarted("s" + std::to_string(i), absl::ZeroDuration());
  const std::string text = metrics.Exposition({});
  size_t series = 0;
  for (size_t at = 0;
       (at = text.find("chicory_wait_seconds_count", at)) != std::string::npos;
       ++at)
    ++series;
  CHECK(series == GatewayMetrics::kMaxServices + 1);
  CHECK(absl::StrContains(text, "{service=\"other\"} 128\n"));
}

TEST_CASE("a watchdog fires once its response is overdue") {
  boost::asio::io_context loop;
  int calls = 0;
  ResponseWatchdog watchdog(loop, [&] { ++calls; });
  watchdog.Start(SteadyNow() + absl::Milliseconds(5));
  watchdog.Start(SteadyNow() + absl::Milliseconds(30));
  loop.run_for(std::chrono::milliseconds(15));
  CHECK(calls == 0);
  loop.restart();
  loop.run_for(std::chrono::milliseconds(200));
  CHECK(calls == 1);
  // The timer expires before the loop runs, and its callback is queued behind
  // the call of Stop.
  watchdog.Start(SteadyNow() + absl::Milliseconds(1));
  absl::SleepFor(absl::Milliseconds(5));
  boost::asio::post(loop, [&] { watchdog.Stop(); });
  loop.restart();
  loop.run_for(std::chrono::milliseconds(20));
  CHECK(calls == 1);
}

TEST_CASE("a destroyed watchdog does not fire") {
  boost::asio::io_context loop;
  int calls = 0;
  auto watchdog = std::make_unique<ResponseWatchdog>(loop, [&] { ++calls; });
  watchdog->Start(SteadyNow() + absl::Milliseconds(1));
  absl::SleepFor(absl::Milliseconds(5));
  // The timer has expired, and its callback is queued behind the destruction.
  boost::asio::post(loop, [&] { watchdog.reset(); });
  loop.run_for(std::chrono::milliseconds(20));
  CHECK(calls == 0);
}

TEST_CASE("addresses are parsed strictly") {
  struct Case {
    const char* text;
    bool ok;
  };
  for (const Case& c : std::vector<Case>{{"10.1.0.40:8227", true},
                                         {"0.0.0.0:0", true},
                                         {"10.1.0.40", false},
                                         {"10.1.0.40:70000", false},
                                         {"10.1.0:80", false},
                                         {"host:80", false},
                                         {"10.1.0.40:-1", false},
                                         {"", false}}) {
    INFO(c.text);
    const auto endpoint = ParseEndpoint(c.text);
    CHECK(endpoint.has_value() == c.ok);
    if (endpoint)
      CHECK(EndpointText(*endpoint) == c.text);
  }
}

}  // namespace
}  // namespace chicory

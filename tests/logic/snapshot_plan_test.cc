#include "modules/decisions/snapshot_plan.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/decisions/transfer_limit.h"

namespace chicory {
namespace {

using Content = SnapshotPlan::Content;
using Failure = SnapshotPlan::Failure;

constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr int kNever = 1 << 20;

/** How a peer behaves. */
struct Peer {
  InstanceIp ip = 0;
  /** What it announces; nothing if it is not announced. */
  Content content;
  /** When it announces that, in milliseconds. */
  int announced_at = 5;
  /** How long it takes to respond. */
  int response_ms = 10;
  /** How its response fails; none if it delivers `content`. */
  std::optional<Failure> failure = std::nullopt;
  /** Newest version that it has seen announced. */
  uint64_t newest = 0;
};

/** Something else that happens. */
struct Event {
  enum class Kind {
    kSourceConfiguration,
    kSourceUpstreams,
    kPeerLeaves,
    /** The change at the revision `value` is overdue. */
    kMissingChange,
  };
  int at = 0;
  Kind kind = Kind::kSourceConfiguration;
  /** Version, revision or peer. */
  uint64_t value = 0;
};

struct Case {
  std::string name;
  std::vector<Peer> peers;
  std::vector<Event> events;
  /** The content in force in the end. */
  Content in_force;
  /** When content was complete, at the latest, in milliseconds. */
  int complete_by = kNever;
  /** Peers that were asked, each once, in any order. */
  std::vector<InstanceIp> asked;
  /** The first version in force, if it is not that of `in_force`. */
  uint64_t first_version = 0;
};

/** Runs one instance that starts at 0 for a second. */
class StartingInstance {
 public:
  explicit StartingInstance(const Case& test, uint64_t seed)
      : test_(test), plan_(seed) {
    plan_.OnStarted(absl::UnixEpoch());
  }

  void Run() {
    for (int ms = 0; ms <= 1000; ++ms) {
      const absl::Time now = absl::UnixEpoch() + absl::Milliseconds(ms);
      Receive(ms);
      Complete(ms, now);
      if (ms % absl::ToInt64Milliseconds(kTick) == 0)
        Tick(ms, now);
      if (in_force_.is_complete() && complete_at_ == kNever)
        complete_at_ = ms;
    }
  }

  Content in_force() const { return in_force_; }
  uint64_t first_version() const { return first_version_; }
  int complete_at() const { return complete_at_; }
  const std::map<InstanceIp, int>& asked() const { return asked_; }
  size_t most_fetches() const { return most_fetches_; }

 private:
  void Adopt(Content content) {
    in_force_.version = std::max(in_force_.version, content.version);
    if (first_version_ == 0)
      first_version_ = in_force_.version;
    in_force_.revision = std::max(in_force_.revision, content.revision);
    plan_.SetInForce(in_force_);
  }

  void Receive(int ms) {
    for (const Peer& peer : test_.peers) {
      if (peer.announced_at == ms)
        plan_.OnAnnounced(peer.ip, peer.content, peer.newest);
    }
    for (const Event& event : test_.events) {
      if (event.at != ms)
        continue;
      switch (event.kind) {
        case Event::Kind::kSourceConfiguration:
          plan_.OnSourceAnswered(SnapshotPlan::Part::kConfiguration);
          Adopt({.version = event.value});
          break;
        case Event::Kind::kSourceUpstreams:
          plan_.OnSourceAnswered(SnapshotPlan::Part::kUpstreams);
          Adopt({.revision = event.value});
          break;
        case Event::Kind::kPeerLeaves:
          plan_.OnLeft(static_cast<InstanceIp>(event.value));
          break;
        case Event::Kind::kMissingChange:
          plan_.OnMissingUpstreamChange(event.value);
          break;
      }
    }
  }

  void Complete(int ms, absl::Time now) {
    for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
      const Peer& peer = PeerAt(fetch->first);
      if (ms < fetch->second + peer.response_ms) {
        ++fetch;
        continue;
      }
      fetch = fetches_.erase(fetch);
      if (peer.failure) {
        plan_.OnFailed(peer.ip, *peer.failure, now);
        continue;
      }
      const auto verdict = plan_.OnContent(peer.ip, peer.content, now);
      if (verdict == SnapshotPlan::Verdict::kAdopt)
        Adopt(peer.content);
      else if (verdict == SnapshotPlan::Verdict::kHold)
        held_ = peer.content;
    }
  }

  void Tick(int ms, absl::Time now) {
    if (plan_.TakeHeld(now))
      Adopt(held_);
    std::vector<InstanceIp> live;
    for (const Peer& peer : test_.peers)
      live.push_back(peer.ip);
    if (const auto peer = plan_.TakePeer(live, now)) {
      ++asked_[*peer];
      fetches_[*peer] = ms;
      most_fetches_ = std::max(most_fetches_, fetches_.size());
    }
  }

  const Peer& PeerAt(InstanceIp ip) const {
    for (const Peer& peer : test_.peers) {
      if (peer.ip == ip)
        return peer;
    }
    FAIL("an unknown peer was asked");
    return test_.peers.front();
  }

  const Case& test_;
  SnapshotPlan plan_;
  Content in_force_;
  Content held_;
  uint64_t first_version_ = 0;
  int complete_at_ = kNever;
  std::map<InstanceIp, int> fetches_;
  std::map<InstanceIp, int> asked_;
  size_t most_fetches_ = 0;
};

const std::vector<Case>& Cases() {
  using Kind = Event::Kind;
  static const std::vector<Case> kCases = {
      {.name = "a source that answers in time is the only one asked",
       .peers = {{.ip = 2, .content = {7, 50}}},
       .events = {{60, Kind::kSourceConfiguration, 7},
                  {70, Kind::kSourceUpstreams, 50}},
       .in_force = {7, 50},
       .complete_by = 70},
      {.name = "a peer replaces a source that does not answer",
       .peers = {{.ip = 2, .content = {7, 50}}},
       .in_force = {7, 50},
       .complete_by = 120,
       .asked = {2}},
      {.name = "the newest version is asked for first",
       .peers = {{.ip = 2, .content = {7, 50}},
                 {.ip = 3, .content = {9, 52}},
                 {.ip = 4, .content = {8, 51}}},
       .in_force = {9, 52},
       .complete_by = 120,
       .asked = {3}},
      {.name = "another peer is asked at once if one is busy",
       .peers = {{.ip = 2, .content = {7, 50}},
                 {.ip = 3,
                  .content = {8, 51},
                  .failure = Failure::kBusy,
                  .newest = 8},
                 {.ip = 4, .content = {8, 51}, .response_ms = 30}},
       .in_force = {8, 51},
       .complete_by = 250},
      {.name = "another peer is asked beside a silent one",
       .peers = {{.ip = 2, .content = {8, 51}, .response_ms = kNever},
                 {.ip = 3, .content = {7, 50}}},
       .in_force = {7, 50},
       // Held back, since the silent peer has announced newer content.
       .complete_by = 360,
       .asked = {2, 3}},
      {.name = "corrupt content is followed by another peer's",
       .peers = {{.ip = 2, .content = {8, 51}, .failure = Failure::kInvalid},
                 {.ip = 3, .content = {7, 50}}},
       .in_force = {7, 50},
       .complete_by = 270,
       .asked = {2, 3}},
      {.name = "a peer that ends during the transfer is followed by another",
       .peers = {{.ip = 2, .content = {8, 51}, .failure = Failure::kNoResponse},
                 {.ip = 3, .content = {8, 51}, .announced_at = 105}},
       .in_force = {8, 51},
       .complete_by = 140,
       .asked = {2, 3}},
      {.name = "content that lacks an announced revocation waits for newer",
       .peers = {{.ip = 2, .content = {7, 50}, .newest = 8},
                 {.ip = 3, .content = {8, 51}, .announced_at = 150}},
       .in_force = {8, 51},
       .complete_by = 180,
       .asked = {2, 3}},
      {.name = "older content serves if nobody has what is announced",
       .peers = {{.ip = 2, .content = {7, 50}, .newest = 8}},
       .in_force = {7, 50},
       .complete_by = 240,
       .asked = {2}},
      {.name = "upstreams are fetched if the source lists none",
       .peers = {{.ip = 2, .content = {7, 50}}},
       .events = {{40, Kind::kSourceConfiguration, 7}},
       .in_force = {7, 50},
       .complete_by = 120,
       .asked = {2}},
      {.name = "older content of a peer does not replace the source's",
       .peers = {{.ip = 2, .content = {7, 50}, .response_ms = 60}},
       .events = {{120, Kind::kSourceConfiguration, 8},
                  {121, Kind::kSourceUpstreams, 60}},
       .in_force = {8, 60},
       .complete_by = 121,
       .asked = {2}},
      {.name = "nobody is asked if no peer is known",
       .events = {{800, Kind::kSourceConfiguration, 8},
                  {801, Kind::kSourceUpstreams, 60}},
       .in_force = {8, 60},
       .complete_by = 801},
      {.name = "a peer that has announced nothing is asked if no other is left",
       .peers = {{.ip = 2, .content = {7, 50}, .announced_at = kNever},
                 {.ip = 3, .newest = 7}},
       .in_force = {7, 50},
       .complete_by = 120,
       .asked = {2}},
      {.name = "nobody is asked while nobody announces a configuration",
       .peers = {{.ip = 2, .content = {7, 50}, .announced_at = kNever},
                 {.ip = 3}}},
      {.name = "a peer without content is not asked",
       .peers = {{.ip = 2, .content = {0, 0}}, {.ip = 3, .content = {7, 0}}}},
      {.name = "a peer that leaves is not asked",
       .peers = {{.ip = 2, .content = {7, 50}, .announced_at = 20}},
       .events = {{50, Kind::kPeerLeaves, 2}},
       .in_force = {7, 50},
       // As one of the instances believed to be alive, in the test's list.
       .complete_by = 120,
       .asked = {2}},
      {.name = "a newer configuration is fetched while the source is away",
       .peers = {{.ip = 2, .content = {7, 50}},
                 {.ip = 3, .content = {8, 50}, .announced_at = 500}},
       .in_force = {8, 50},
       .complete_by = 120,
       .asked = {2, 3},
       .first_version = 7},
      {.name = "a change of the upstreams that nobody sends is fetched",
       .peers = {{.ip = 2, .content = {7, 50}},
                 {.ip = 3, .content = {7, 55}, .announced_at = 500}},
       .events = {{600, Kind::kMissingChange, 54}},
       .in_force = {7, 55},
       .complete_by = 120,
       .asked = {2, 3}},
      {.name = "a source that has answered once replaces all peers",
       .peers = {{.ip = 2, .content = {7, 50}},
                 {.ip = 3, .content = {9, 70}, .announced_at = 500}},
       .events = {{300, Kind::kSourceConfiguration, 7},
                  {300, Kind::kSourceUpstreams, 50},
                  {600, Kind::kMissingChange, 70}},
       .in_force = {7, 50},
       .complete_by = 120,
       .asked = {2}},
  };
  return kCases;
}

// Guards against an instance that starts while the source is away and serves
// nothing, asks the wrong peer, adopts older content or asks without need.
TEST_CASE("a starting instance has content from the source or a peer") {
  const size_t index = GENERATE(range(size_t{0}, Cases().size()));
  const Case& test = Cases()[index];
  CAPTURE(test.name);
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  StartingInstance instance(test, seed);
  instance.Run();
  CHECK(instance.in_force() == test.in_force);
  CHECK(instance.first_version() ==
        (test.first_version ? test.first_version : test.in_force.version));
  if (test.complete_by != kNever)
    CHECK(instance.complete_at() <= test.complete_by);
  if (test.name.find("busy") != std::string::npos)
    return;
  std::vector<InstanceIp> asked;
  for (const auto& [ip, times] : instance.asked()) {
    CHECK(times == 1);
    asked.push_back(ip);
  }
  CHECK(asked == test.asked);
}

// Guards against an instance that asks all of its peers when these are slow,
// which is when they can least afford it.
TEST_CASE("a starting instance asks few slow peers at a time") {
  Case test;
  for (InstanceIp ip = 2; ip < 40; ++ip) {
    test.peers.push_back({.ip = ip, .content = {7, 50}, .response_ms = kNever});
  }
  StartingInstance instance(test, 1);
  instance.Run();
  CHECK(instance.most_fetches() == SnapshotPlan::kMaxFetches);
  CHECK(instance.asked().size() == SnapshotPlan::kMaxFetches);
}

// Guards against starting instances that all ask the same peer.
TEST_CASE("starting instances spread over equal peers") {
  Case test;
  for (InstanceIp ip = 2; ip < 12; ++ip)
    test.peers.push_back({.ip = ip, .content = {7, 50}});
  std::map<InstanceIp, int> asked;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    StartingInstance instance(test, seed << 24);
    instance.Run();
    for (const auto& [ip, times] : instance.asked())
      asked[ip] += times;
  }
  REQUIRE(asked.size() == 10);
  for (const auto& [ip, times] : asked)
    CHECK(times <= 40);
}

// Guards against a request that is held although nothing will come, or refused
// although it could be served in a moment.
TEST_CASE("a request waits for content that is on its way") {
  const absl::Time start = absl::UnixEpoch();
  const auto at = [&](int ms) { return start + absl::Milliseconds(ms); };
  SnapshotPlan plan(1);
  plan.OnStarted(start);
  SECTION("the source has been asked") {
    CHECK(plan.IsExpected(at(50)));
    CHECK_FALSE(plan.IsExpected(at(100)));
    plan.OnSourceFailed();
    CHECK_FALSE(plan.IsExpected(at(50)));
  }
  SECTION("the source has delivered one part") {
    plan.OnSourceAnswered(SnapshotPlan::Part::kUpstreams);
    CHECK(plan.IsExpected(at(2000)));
    plan.OnSourceFailed();
    CHECK_FALSE(plan.IsExpected(at(2000)));
  }
  SECTION("a peer has content, until it fails") {
    plan.OnSourceFailed();
    plan.OnAnnounced(2, {0, 0}, 7);
    CHECK_FALSE(plan.IsExpected(at(200)));
    plan.OnAnnounced(3, {7, 50}, 7);
    CHECK(plan.IsExpected(at(200)));
    REQUIRE(plan.TakePeer({}, at(200)) == InstanceIp{3});
    CHECK(plan.IsExpected(at(250)));
    plan.OnFailed(3, Failure::kNoResponse, at(300));
    CHECK_FALSE(plan.IsExpected(at(301)));
  }
}

// Guards against Retry-After times that end while the outage lasts, which
// use up a caller's only retry, and against retries that arrive together.
TEST_CASE("a refused caller comes back when there may be a configuration") {
  const absl::Time start = absl::UnixEpoch();
  SnapshotPlan plan(1);
  plan.OnStarted(start);
  plan.OnSourceFailed();
  struct Case {
    absl::Duration since_start;
    absl::Duration least;
  };
  for (const Case& test :
       std::vector<Case>{{absl::Milliseconds(10), absl::Milliseconds(500)},
                         {absl::Seconds(3), absl::Seconds(3)},
                         {absl::Minutes(10), absl::Seconds(5)}}) {
    std::set<absl::Duration> times;
    for (int i = 0; i < 20; ++i)
      times.insert(plan.RetryAfter(start + test.since_start));
    CHECK(times.size() == 20);
    CHECK(*times.begin() >= test.least);
    CHECK(*times.rbegin() <= test.least * 1.5);
  }
  plan.OnAnnounced(3, {7, 50}, 7);
  CHECK(plan.RetryAfter(start + absl::Minutes(10)) < absl::Milliseconds(400));
}

// Guards against a small instance that has no bandwidth left for requests
// because many others start.
TEST_CASE("transfers are limited in number and in bytes per second") {
  TransferLimit limit({.max_transfers = 2, .bytes_per_second = 1000});
  absl::Time now = absl::UnixEpoch();
  CHECK(limit.Begin(600, now));
  CHECK(limit.Begin(600, now));
  CHECK_FALSE(limit.Begin(1, now));
  limit.End();
  limit.End();
  // 200 bytes more than a second's have been sent.
  CHECK_FALSE(limit.Begin(600, now + absl::Milliseconds(150)));
  now += absl::Milliseconds(250);
  REQUIRE(limit.Begin(600, now));
  limit.End();
  // A long pause allows no more than the bytes of a second.
  now += absl::Seconds(60);
  REQUIRE(limit.Begin(5000, now));
  limit.End();
  CHECK_FALSE(limit.Begin(1, now + absl::Seconds(3)));
  CHECK(limit.Begin(1, now + absl::Seconds(5)));
}

}  // namespace
}  // namespace chicory

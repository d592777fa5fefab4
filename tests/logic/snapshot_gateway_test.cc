#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "modules/gateway/gateway.h"
#include "platform/header_codec.h"

namespace chicory {
namespace {

namespace asio = boost::asio;

/** Ports of the instances' datagrams and snapshots. The instances are on
    different loopback addresses, since all use the same port. */
constexpr uint16_t kPeerPort = 31877;
constexpr InstanceIp kFirst = 0x7f000a01;

/** A source that delivers what the test tells it to. */
class ScriptedSource : public GatewaySource {
 public:
  void Start(GatewayInputs* inputs) override { inputs_ = inputs; }
  void SetWatching(bool) override {}
  void RefreshConfiguration(Freshness) override { ++refreshes; }
  void RefreshUpstreams(Freshness) override { ++refreshes; }
  void ReadEvacuations() override {}
  void ListInstance(InstanceIp) override {}
  void UnlistInstance(InstanceIp) override {}
  void ReadInstances(Freshness) override {}

  void Configure(uint64_t version, const std::vector<std::string>& keys) {
    RoutingTable::Options options{.version = version, .has_accounts = true};
    options.routes.push_back({.name = "plain",
                              .host = "h",
                              .path_prefix = "/",
                              .targets = {{.service = "desk"}}});
    options.services.push_back({.name = "desk"});
    options.accounts.push_back({.name = "walkers"});
    for (const std::string& key : keys)
      options.account_of_key[key] = 0;
    inputs_->OnConfiguration(std::move(options));
  }
  void List(uint64_t revision, const std::vector<std::string>& ids) {
    std::vector<UpstreamRecord> records;
    for (const std::string& id : ids) {
      records.push_back(
          {.id = id, .service = "desk", .address = "127.0.0.1:1"});
    }
    inputs_->OnUpstreams(records, revision, false);
  }
  void Change(uint64_t from, uint64_t to, const std::string& removed) {
    UpstreamBatch batch{.from = from, .to = to, .last_change = to};
    batch.changes.push_back({.record = {.id = removed}, .removed = true});
    inputs_->OnUpstreamChanges(batch);
  }
  void Lose() { inputs_->OnSourceReachable("upstreams", false, "test"); }
  int refreshes = 0;

 private:
  GatewayInputs* inputs_ = nullptr;
};

/** Instances with a source each. */
class Instances {
 public:
  struct Instance {
    ScriptedSource source;
    std::unique_ptr<Gateway> gateway;
  };

  Instance& Start(InstanceIp ip, std::vector<InstanceIp> seeds) {
    all_.push_back(std::make_unique<Instance>());
    Instance& instance = *all_.back();
    instance.gateway = std::make_unique<Gateway>(
        loop_,
        Gateway::Options{.callers = {.ip = ip, .port = 0},
                         .ready = {.ip = ip, .port = 0},
                         .operators = {.ip = ip, .port = 0},
                         .peers = {.ip = ip, .port = kPeerPort},
                         .seeds = std::move(seeds),
                         .first_sequence = ip},
        codec_, log_, &instance.source);
    REQUIRE(Capture([&] { return instance.gateway->Start(); }).ok);
    return instance;
  }
  /** Runs until `done`, or for some seconds. */
  bool RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 600 && !done(); ++i) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(10));
    }
    return done();
  }
  asio::io_context& loop() { return loop_; }

 private:
  asio::io_context loop_;
  HeaderCodec codec_;
  EventLog log_{{.descriptor = -1}};
  std::vector<std::unique_ptr<Instance>> all_;
};

/** Returns the upstreams of an instance and which of them are missing. */
std::string States(const Instances::Instance& instance) {
  std::set<std::string> states;
  for (const auto& [record, is_missing] :
       instance.gateway->MakeSnapshot(absl::Now()).upstreams)
    states.insert(record.id + (is_missing ? "=missing " : " "));
  std::string text;
  for (const std::string& state : states)
    text += state;
  return text;
}

// Guards against an instance that serves nothing because the source is away
// while its peers have the content, against one that is left with the content
// of its start, and against a list of the source that takes it back.
TEST_CASE("an instance starts from a peer's content and stays up to date") {
  Instances instances;
  auto& first = instances.Start(kFirst, {});
  first.source.Configure(5, {"k1"});
  first.source.List(40, {"desk-1", "desk-2", "desk-3"});
  auto& second = instances.Start(kFirst + 1, {kFirst});
  const auto content = [&] { return second.gateway->ContentInForce(); };
  REQUIRE(instances.RunUntil([&] { return content().is_complete(); }));
  CHECK(content() == SnapshotPlan::Content{5, 40});
  const Snapshot adopted = second.gateway->MakeSnapshot(absl::Now());
  CHECK(adopted.upstreams.size() == 3);
  CHECK(adopted.configuration.account_of_key.contains("k1"));

  // A key is revoked and an upstream leaves; the source answers only the first.
  first.source.Configure(6, {"k2"});
  first.source.Change(40, 41, "desk-2");
  REQUIRE(instances.RunUntil([&] {
    return content() == SnapshotPlan::Content{6, 41};
  }));
  const Snapshot updated = second.gateway->MakeSnapshot(absl::Now());
  CHECK(updated.upstreams.size() == 2);
  CHECK_FALSE(updated.configuration.account_of_key.contains("k1"));

  // The source answers with data that is older than what is in force.
  second.source.Configure(5, {"k1"});
  second.source.List(40, {"desk-1", "desk-2", "desk-3"});
  CHECK(content() == SnapshotPlan::Content{6, 41});
  CHECK(second.gateway->MakeSnapshot(absl::Now()).upstreams.size() == 2);
}

// Guards against changes that only the instance knows whose first list of the
// source is newer than the snapshot that it started with.
TEST_CASE("what changed since a snapshot is passed on by who reads it") {
  Instances instances;
  auto& first = instances.Start(kFirst, {});
  first.source.Configure(5, {"k1"});
  first.source.List(40, {"desk-1", "desk-2"});
  auto& second = instances.Start(kFirst + 1, {kFirst});
  auto& third = instances.Start(kFirst + 2, {kFirst});
  const auto is_at = [](Instances::Instance& instance, uint64_t revision) {
    return instance.gateway->ContentInForce().revision == revision;
  };
  REQUIRE(instances.RunUntil(
      [&] { return is_at(second, 40) && is_at(third, 40); }));
  second.source.List(45, {"desk-1", "desk-3"});
  REQUIRE(
      instances.RunUntil([&] { return is_at(first, 45) && is_at(third, 45); }));
  // A registration that is missing right after an outage may have lapsed.
  CHECK(States(third) == "desk-1 desk-2=missing desk-3 ");
  CHECK(instances.RunUntil([&] { return States(third) == "desk-1 desk-3 "; }));
}

// Guards against upstreams that are dropped by all instances although they run:
// their registrations have lapsed while the source was away.
TEST_CASE("upstreams of a peer are kept if they lapsed during the outage") {
  Instances instances;
  auto& first = instances.Start(kFirst, {});
  first.source.Configure(5, {"k1"});
  first.source.List(40, {"desk-1", "desk-2"});
  auto& second = instances.Start(kFirst + 1, {kFirst});
  const auto revision = [](Instances::Instance& instance) {
    return instance.gateway->ContentInForce().revision;
  };
  REQUIRE(instances.RunUntil([&] { return revision(second) == 40; }));
  second.source.List(45, {});
  CHECK(States(second) == "desk-1=missing desk-2=missing ");
  REQUIRE(instances.RunUntil([&] { return revision(first) == 45; }));
  CHECK(States(first) == "desk-1=missing desk-2=missing ");
  second.source.List(46, {"desk-1", "desk-2"});
  CHECK(States(second) == "desk-1 desk-2 ");
}

// Guards against a refusal that uses up a caller's retry although the content
// is on its way, and against a request that is held in vain.
TEST_CASE("a request before the first content is held if that is on its way") {
  Instances instances;
  auto& first = instances.Start(kFirst, {});
  first.source.Configure(5, {"k1"});
  first.source.List(40, {"desk-1"});
  auto& second = instances.Start(kFirst + 1, {kFirst});
  auto& third = instances.Start(kFirst + 2, {});
  // No route is called 127.0.10.x.
  constexpr int kNoRoute = 404;
  constexpr int kUnavailable = 503;
  HttpClient held(instances.loop(),
                  {.ip = kFirst + 1, .port = second.gateway->callers_port()});
  HttpClient refused(instances.loop(),
                     {.ip = kFirst + 2, .port = third.gateway->callers_port()});
  int held_status = 0;
  int refused_status = 0;
  third.source.Lose();
  held.Call({.target = "/a"},
            [&](const HttpCallResult& result) { held_status = result.status; });
  refused.Call({.target = "/a"}, [&](const HttpCallResult& result) {
    refused_status = result.status;
    // Long before the request that is held.
    CHECK(held_status == 0);
  });
  REQUIRE(instances.RunUntil([&] { return held_status && refused_status; }));
  CHECK(held_status == kNoRoute);
  CHECK(refused_status == kUnavailable);
}

}  // namespace
}  // namespace chicory

#include <capnp/message.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <bit>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "modules/decisions/gossip_node.h"
#include "modules/peers/peer_codec.h"

namespace chicory {
namespace {

/** Nodes that exchange messages once a period, in virtual time. */
class GossipFleet : public GossipNode::Listener {
 public:
  GossipFleet(int count, uint64_t seed) : random_(seed), is_up_(count, true) {
    for (int i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<GossipNode>(
          GossipNode::Options{.instance = Name(i),
                              .address = absl::StrCat("10.0.0.", i, ":7000"),
                              .data_centre = absl::StrCat("dc", i % 11),
                              .incarnation = 1}));
      nodes_.back()->set_listener(this);
      revisions_.push_back(0);
    }
    for (int i = 0; i < count; ++i) {
      for (int j = 0; j < count; ++j) {
        nodes_[i]->AddSeed(Name(j), absl::StrCat("10.0.0.", j, ":7000"),
                           absl::StrCat("dc", j % 11), now_);
      }
    }
  }

  static std::string Name(int index) {
    return absl::StrCat("entry-", 1000 + index);
  }

  void Round() {
    now_ += GossipNode::kPeriod;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (!is_up_[i])
        continue;
      for (OutgoingExchange& order : nodes_[i]->Tick(now_, random_)) {
        const int peer = std::stoi(order.name.substr(6)) - 1000;
        bytes += GossipWireBytes(order.message);
        ++messages;
        const bool is_lost = absl::Bernoulli(random_, loss);
        const bool is_cut = cut && (i % 3 == 0) != (peer % 3 == 0);
        if (!is_up_[peer] || is_lost || is_cut) {
          OnExchangeUnanswered(i, order.name, peer);
          continue;
        }
        current_ = peer;
        const GossipMessage answer =
            nodes_[peer]->OnMessage(order.message, now_);
        bytes += GossipWireBytes(answer);
        ++messages;
        current_ = static_cast<int>(i);
        nodes_[i]->OnResponse(answer, now_);
      }
    }
  }

  /** A newer configuration is fetched from the peer that told of it. */
  void OnNewerConfiguration(const std::string&, uint64_t revision) override {
    revisions_[current_] = revision;
    nodes_[current_]->set_configuration_revision(revision);
  }
  void OnMember(const MemberRow&) override {}
  void OnGossipUpdate(const GossipUpdate&) override {}

  GossipNode& node(int index) { return *nodes_[index]; }
  void Stop(int index) { is_up_[index] = false; }
  void Wake(int index) { is_up_[index] = true; }
  size_t size() const { return nodes_.size(); }
  absl::Time now() const { return now_; }
  int WithRevision(uint64_t revision) const {
    return static_cast<int>(
        std::count(revisions_.begin(), revisions_.end(), revision));
  }
  void SetRevision(int index, uint64_t revision) {
    revisions_[index] = revision;
    nodes_[index]->set_configuration_revision(revision);
  }
  int Believing(const std::string& name, MemberState state) const {
    int count = 0;
    for (const auto& node : nodes_) {
      const MemberRow* row = node->Find(name);
      count += row != nullptr && row->state == state;
    }
    return count;
  }

  double loss = 0;
  bool cut = false;
  int64_t bytes = 0;
  int64_t messages = 0;

 private:
  void OnExchangeUnanswered(size_t from, const std::string& name, int peer) {
    const auto helpers =
        nodes_[from]->OnExchangeUnanswered(name, now_, random_);
    for (const std::string& helper : helpers) {
      const int index = std::stoi(helper.substr(6)) - 1000;
      const bool is_cut =
          cut && ((static_cast<int>(from) % 3 == 0) != (index % 3 == 0) ||
                  (index % 3 == 0) != (peer % 3 == 0));
      if (is_up_[index] && is_up_[peer] && !is_cut &&
          !absl::Bernoulli(random_, loss)) {
        return;
      }
    }
    nodes_[from]->OnIndirectProbesUnanswered(name, now_);
  }

  std::mt19937_64 random_;
  std::vector<std::unique_ptr<GossipNode>> nodes_;
  std::vector<bool> is_up_;
  std::vector<uint64_t> revisions_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  int current_ = 0;
};

/** Bytes of a call around each message, on both sides. */
constexpr double kCallBytes = 150;
constexpr double kControlBytesPerSecond = 4096;
constexpr absl::Duration kInForceEverywhere = absl::Seconds(17);

TEST_CASE(
    "a configuration reaches 340 instances within 17 s from two watchers") {
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  GossipFleet fleet(340, seed);
  for (int i = 0; i < 5; ++i)
    fleet.Round();
  const absl::Time begin = fleet.now();
  fleet.SetRevision(7, 2);
  fleet.SetRevision(200, 2);
  while (fleet.WithRevision(2) < 340 && fleet.now() - begin < absl::Minutes(1))
    fleet.Round();
  INFO("after " << absl::ToDoubleSeconds(fleet.now() - begin) << " s");
  REQUIRE(fleet.WithRevision(2) == 340);
  REQUIRE(fleet.now() - begin <= kInForceEverywhere);
}

TEST_CASE("gossip of 340 instances stays within 4 KB/s a node") {
  GossipFleet fleet(340, 1);
  for (int i = 0; i < 30; ++i)
    fleet.Round();
  // A bad minute: a rack of ten goes, and rumours of deaths are about.
  for (int i = 0; i < 10; ++i)
    fleet.Stop(i * 11);
  for (int i = 0; i < 20; ++i) {
    fleet.node(300).Spread({.kind = GossipUpdateKind::kCrashCount,
                            .subject = absl::StrCat(i),
                            .origin = GossipFleet::Name(300),
                            .version = 1,
                            .value = 1},
                           fleet.now());
  }
  fleet.bytes = 0;
  fleet.messages = 0;
  constexpr int kRounds = 60;
  for (int i = 0; i < kRounds; ++i)
    fleet.Round();
  const double per_node =
      (static_cast<double>(fleet.bytes) + kCallBytes * fleet.messages) / 340 /
      kRounds;
  INFO(per_node << " bytes a second sent by a node");
  // Sent and received together.
  REQUIRE(2 * per_node < kControlBytesPerSecond);
}

TEST_CASE("a stopped instance is known to be dead everywhere in time") {
  const int count = GENERATE(15, 340);
  // Two periods to notice, the time to speak up, two periods a doubling for
  // word to spread.
  const int doublings = std::bit_width(static_cast<unsigned>(count));
  const absl::Duration bound =
      2 * GossipNode::kPeriod +
      doublings * (GossipNode::kSuspicionPerDoubling + 2 * GossipNode::kPeriod);
  GossipFleet fleet(count, 1);
  // A settled fleet: everyone has heard of every version.
  for (int i = 0; i < count; ++i)
    fleet.Round();
  fleet.Stop(3);
  const std::string name = GossipFleet::Name(3);
  const absl::Time begin = fleet.now();
  while (fleet.Believing(name, MemberState::kDead) < count - 1 &&
         fleet.now() - begin < absl::Minutes(2)) {
    fleet.Round();
  }
  REQUIRE(fleet.now() - begin <= bound);
}

TEST_CASE("lost messages kill nobody") {
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  GossipFleet fleet(60, seed);
  fleet.loss = 0.1;
  int dead = 0;
  for (int i = 0; i < 200; ++i) {
    fleet.Round();
    for (int node = 0; node < 60; ++node)
      dead += fleet.Believing(GossipFleet::Name(node), MemberState::kDead) > 0;
  }
  REQUIRE(dead == 0);
}

TEST_CASE("an instance that wakes refutes its death") {
  GossipFleet fleet(15, 1);
  for (int i = 0; i < 5; ++i)
    fleet.Round();
  fleet.Stop(3);
  for (int i = 0; i < 30; ++i)
    fleet.Round();
  const std::string name = GossipFleet::Name(3);
  REQUIRE(fleet.Believing(name, MemberState::kDead) == 14);
  fleet.Wake(3);
  for (int i = 0; i < 30; ++i)
    fleet.Round();
  REQUIRE(fleet.Believing(name, MemberState::kAlive) == 14);
  // It is the same process: its work must not be taken for a dead one's.
  REQUIRE(IncarnationOf(fleet.node(0).Find(name)->version) == 1);
}

TEST_CASE("a newer process of the same name is told apart") {
  REQUIRE(IncarnationOf(MemberVersion(7, 900)) == 7);
  REQUIRE(MemberVersion(8, 0) > MemberVersion(7, 900));
}

TEST_CASE("parted instances find each other again") {
  GossipFleet fleet(30, 1);
  for (int i = 0; i < 5; ++i)
    fleet.Round();
  fleet.cut = true;
  for (int i = 0; i < 60; ++i)
    fleet.Round();
  fleet.SetRevision(0, 5);
  fleet.cut = false;
  // The platform's list names everyone again, as it does every second.
  for (int i = 0; i < 60; ++i) {
    for (int node = 0; node < 30; ++node) {
      for (int other = 0; other < 30; ++other) {
        fleet.node(node).AddSeed(GossipFleet::Name(other),
                                 absl::StrCat("10.0.0.", other, ":7000"), "dc",
                                 fleet.now());
      }
    }
    fleet.Round();
  }
  REQUIRE(fleet.WithRevision(5) == 30);
}

TEST_CASE("two watchers a data centre") {
  GossipFleet fleet(340, 1);
  int watchers = 0;
  for (int i = 0; i < 340; ++i)
    watchers += fleet.node(i).IsWatcher(2);
  REQUIRE(watchers == 22);
}

TEST_CASE("a message survives its wire form") {
  const GossipMessage message{.sender = "a",
                              .address = "127.0.0.1:1",
                              .data_centre = "dc1",
                              .version = 9,
                              .configuration_revision = 4,
                              .stamp = 5,
                              .updates = {{.kind = GossipUpdateKind::kUpstream,
                                           .subject = "engine1",
                                           .version = 3,
                                           .value = 2}}};
  capnp::MallocMessageBuilder builder;
  WriteGossip(message, builder.initRoot<wire::Gossip>());
  const GossipMessage read =
      ReadGossip(builder.getRoot<wire::Gossip>().asReader());
  REQUIRE(read.sender == "a");
  REQUIRE(read.updates.size() == 1);
  REQUIRE(read.updates.front().subject == "engine1");
  REQUIRE(read.updates.front().value == 2);
}

}  // namespace
}  // namespace chicory

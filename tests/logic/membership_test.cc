#include "modules/peers/membership.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "modules/peers/placement_node.h"

namespace chicory {
namespace {

constexpr absl::Duration kDelay = absl::Milliseconds(2);
constexpr absl::Duration kStep = absl::Milliseconds(10);

UpstreamChange Change(int number) {
  return {.record = {.id = absl::StrCat("i-0123456789", number),
                     .service = "stile-assistant",
                     .address = absl::StrCat("10.1.64.", number, ":8388"),
                     .data_centre = "ajloun-a",
                     .slots = 16,
                     .started_ms = 1771552547000}};
}

/** Changes `first` to `last`, one a revision. */
UpstreamBatch Batch(int first, int last) {
  UpstreamBatch batch{.from = uint64_t(first) - 1,
                      .to = uint64_t(last),
                      .last_change = uint64_t(last)};
  for (int number = first; number <= last; ++number)
    batch.changes.push_back(Change(number));
  return batch;
}

/** Instances with a source of upstreams and of configuration versions that may
    turn some of them away, in virtual time. */
class Fleet {
 public:
  struct Member : PlacementNode::Transport, PlacementNode::Listener {
    Member(Fleet* fleet, InstanceIp ip)
        : fleet(fleet),
          node({.self = ip, .seeds = {1, 2, 3}, .first_sequence = ip},
               this,
               this) {
      node.membership().upstream_changes().OnListed(fleet->revision);
    }
    void Send(InstanceIp to, const PeerMessage& message) override {
      const std::string bytes = EncodePeerMessage(message);
      fleet->largest = std::max(fleet->largest, bytes.size());
      fleet->bytes_sent += static_cast<int64_t>(bytes.size());
      if (std::uniform_real_distribution<double>(0, 1)(fleet->random_) >=
          fleet->loss_)
        fleet->flying_.push({fleet->now + kDelay, {to, bytes}});
    }
    void OnDecision(const ScheduleDecision&, InstanceIp) override {}
    void OnNewerConfiguration(uint64_t version) override { heard = version; }
    void OnPeerUpstreamChanges(const UpstreamBatch& batch) override {
      told += batch.changes.size();
    }
    void OnMissingUpstreamChange(uint64_t) override {
      ++fleet->questions;
      if (!is_denied)
        node.membership().upstream_changes().OnListed(fleet->revision);
    }
    /** Asks the source if it is this instance's turn. */
    void SetWatching() {
      Membership& membership = node.membership();
      const bool watches = membership.ShouldWatchSource(fleet->now);
      if (watches) {
        ++fleet->questions;
        lost_at = is_denied ? fleet->now : absl::InfinitePast();
      }
      if (fleet->now - lost_at < absl::Seconds(5)) {
        membership.SetSourceState(SourceState::kLost, fleet->now);
        return;
      }
      membership.SetSourceState(
          watches ? SourceState::kWatching : SourceState::kPassive, fleet->now);
      const uint64_t known = membership.upstream_changes().complete_until();
      if (watches && known < fleet->revision)
        membership.upstream_changes().Add(
            Batch(int(known) + 1, int(fleet->revision)));
      if (watches)
        membership.SetConfigurationVersion(fleet->configuration);
    }

    Fleet* fleet;
    PlacementNode node;
    uint64_t heard = 0;
    size_t told = 0;
    bool is_denied = false;
    absl::Time lost_at = absl::InfinitePast();
  };

  Fleet(int count, double loss) : loss_(loss) {
    for (int ip = 1; ip <= count; ++ip)
      members[InstanceIp(ip)] = std::make_unique<Member>(this, InstanceIp(ip));
    Run(absl::Seconds(4));
  }

  void Run(absl::Duration length) {
    const absl::Time end = now + length;
    while (now < end) {
      now += kStep;
      while (!flying_.empty() && flying_.front().first <= now) {
        auto [to, bytes] = std::move(flying_.front().second);
        flying_.pop();
        const auto message = DecodePeerMessage(bytes);
        REQUIRE(message.has_value());
        if (auto found = members.find(to); found != members.end())
          found->second->node.OnMessage(*message, now);
      }
      const bool asks = ++steps_ % kStepsPerQuestion == 0;
      for (auto& [ip, member] : members) {
        member->node.Tick(now);
        if (asks)
          member->SetWatching();
      }
    }
  }

  std::set<InstanceIp> Watchers() const {
    std::set<InstanceIp> watchers;
    for (const auto& [ip, member] : members) {
      if (member->node.membership().ShouldWatchSource(now))
        watchers.insert(ip);
    }
    return watchers;
  }
  /** Instances that do not know the source's last change of upstreams. */
  int Behind() const {
    int behind = 0;
    for (const auto& [ip, member] : members)
      behind += member->node.membership().upstream_changes().complete_until() <
                revision;
    return behind;
  }
  /** Instances that have not heard of the source's configuration version. */
  int Unaware() const {
    int unaware = 0;
    for (const auto& [ip, member] : members) {
      const uint64_t known = member->node.membership().configuration_version();
      unaware += std::max(known, member->heard) < configuration;
    }
    return unaware;
  }

  std::map<InstanceIp, std::unique_ptr<Member>> members;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  uint64_t revision = 10;
  uint64_t configuration = 1;
  int questions = 0;
  size_t largest = 0;
  int64_t bytes_sent = 0;

 private:
  static constexpr int kStepsPerQuestion = 20;

  double loss_;
  int steps_ = 0;
  std::mt19937 random_{11};
  std::queue<std::pair<absl::Time, std::pair<InstanceIp, std::string>>> flying_;
};

// Pattern: registrations change, one or many at once, while most instances do
// not ask the source.
TEST_CASE("few instances watch the source and all hear of its changes") {
  for (const int count : {1, 3, 20, 111, 340}) {
    for (const double loss : {0.0, 0.1}) {
      INFO(count << " instances, loss " << loss);
      Fleet fleet(count, loss);
      const size_t watchers = fleet.Watchers().size();
      CHECK(watchers >= 1);
      if (loss == 0)
        CHECK(watchers <= Membership::kWatchers);
      fleet.questions = 0;
      for (const int changes : {1, 13, 60}) {
        fleet.revision += uint64_t(changes);
        ++fleet.configuration;
        // Of the two seconds that a leaving upstream may still get requests.
        fleet.Run(absl::Milliseconds(loss > 0 ? 1800 : 1200));
        CHECK(fleet.Behind() == 0);
        CHECK(fleet.Unaware() == 0);
        CHECK(fleet.largest <= kMaxDatagramBytes);
      }
      // Far fewer than if each asked at its own time.
      if (loss == 0)
        CHECK(fleet.questions <= 20 * int(Membership::kWatchers));
    }
  }
}

// Pattern: the source turns some instances away, first those that watch it.
TEST_CASE("instances that the source answers take over and inform the others") {
  for (const int count : {20, 111}) {
    INFO(count);
    Fleet fleet(count, 0);
    const std::set<InstanceIp> denied = fleet.Watchers();
    for (InstanceIp ip : denied)
      fleet.members.at(ip)->is_denied = true;
    fleet.revision += 13;
    ++fleet.configuration;
    fleet.Run(absl::Milliseconds(2000));
    CHECK(fleet.Behind() == 0);
    CHECK(fleet.Unaware() == 0);
    for (InstanceIp ip : fleet.Watchers())
      CHECK(denied.count(ip) == 0);
  }
}

TEST_CASE("instances take over from watchers that are gone") {
  Fleet fleet(20, 0);
  for (InstanceIp ip : fleet.Watchers())
    fleet.members.erase(ip);
  ++fleet.revision;
  ++fleet.configuration;
  fleet.Run(absl::Milliseconds(2000));
  CHECK(fleet.Behind() == 0);
  CHECK(fleet.Unaware() == 0);
}

TEST_CASE("an idle instance soon passes over a scheduler that died") {
  Fleet fleet(20, 0);
  const auto scheduler = [&](InstanceIp ip) {
    return fleet.members.at(ip)->node.membership().SchedulingInstance(
        fleet.now);
  };
  const InstanceIp dead = scheduler(1) == 1 ? scheduler(2) : scheduler(1);
  fleet.members.erase(dead);
  fleet.Run(absl::Milliseconds(1600));
  for (const auto& [ip, member] : fleet.members)
    CHECK(scheduler(ip) != dead);
}

// Pattern: the source is away for all.
TEST_CASE("not all instances try a source that answers none") {
  Fleet fleet(111, 0);
  for (auto& [ip, member] : fleet.members)
    member->is_denied = true;
  fleet.questions = 0;
  fleet.Run(absl::Seconds(5));
  CHECK(fleet.questions < 111);
  for (auto& [ip, member] : fleet.members)
    member->is_denied = false;
  ++fleet.revision;
  ++fleet.configuration;
  fleet.Run(absl::Seconds(2));
  CHECK(fleet.Behind() == 0);
  CHECK(fleet.Unaware() == 0);
}

TEST_CASE("an instance cut off from the others watches the source itself") {
  Fleet fleet(20, 0);
  const std::set<InstanceIp> watchers = fleet.Watchers();
  const InstanceIp alone = watchers.count(7) == 0 ? 7 : 8;
  auto member = std::move(fleet.members.at(alone));
  fleet.members.clear();
  fleet.members[alone] = std::move(member);
  ++fleet.revision;
  fleet.Run(absl::Milliseconds(1800));
  CHECK(fleet.Behind() == 0);
}

TEST_CASE("what is missing is sent from the revision that is known") {
  UpstreamChangeLog log;
  CHECK(log.OnListed(10));
  CHECK_FALSE(log.OnListed(9));
  CHECK(log.Add(Batch(11, 12)));
  CHECK(log.Add({.from = 12, .to = 15}));
  CHECK(log.Add(Batch(16, 16)));
  CHECK(log.complete_until() == 16);
  CHECK(log.last_change() == 16);
  struct Case {
    const char* name;
    uint64_t known;
    size_t batches;
  };
  for (const Case& c : std::vector<Case>{
           {"all", 10, 2},
           {"within the first", 11, 2},
           {"between", 13, 1},
           {"nothing", 16, 0},
           {"before what is kept", 9, 0},
       }) {
    INFO(c.name);
    const std::vector<UpstreamBatch> missed = log.Since(c.known);
    REQUIRE(missed.size() == c.batches);
    if (!missed.empty())
      CHECK(missed.back().to == 16);
  }
}

TEST_CASE("batches that leave a gap or say nothing new are not taken") {
  UpstreamChangeLog log;
  log.OnListed(10);
  CHECK_FALSE(log.Add(Batch(12, 13)));
  CHECK_FALSE(log.Add(Batch(8, 10)));
  CHECK(log.Add(Batch(9, 11)));
  CHECK(log.complete_until() == 11);
}

TEST_CASE("kept batches are bounded") {
  UpstreamChangeLog log;
  log.OnListed(10);
  constexpr int kMany = 4 * int(UpstreamChangeLog::kMaxBatches);
  for (int i = 11; i < 11 + kMany; ++i)
    REQUIRE(log.Add(Batch(i, i)));
  CHECK(log.Since(10).empty());
  CHECK(log.Since(10 + kMany - 3).size() == 3);
}

TEST_CASE("a batch is whole again after its parts came in any order") {
  const std::vector<UpstreamBatch> parts = SplitBatch(Batch(1, 13), 5);
  REQUIRE(parts.size() == 3);
  BatchAssembler assembler;
  CHECK_FALSE(assembler.Add(parts[2]).has_value());
  CHECK_FALSE(assembler.Add(parts[0]).has_value());
  CHECK_FALSE(assembler.Add(parts[0]).has_value());
  const auto whole = assembler.Add(parts[1]);
  REQUIRE(whole.has_value());
  CHECK(whole->changes.size() == 13);
  CHECK(whole->from == 0);
  CHECK(whole->to == 13);
  // Parts of two batches are not mixed.
  CHECK_FALSE(assembler.Add(parts[0]).has_value());
  const std::vector<UpstreamBatch> others = SplitBatch(Batch(1, 14), 5);
  CHECK_FALSE(assembler.Add(others[1]).has_value());
  CHECK_FALSE(assembler.Add(others[2]).has_value());
  CHECK(assembler.Add(others[0]).has_value());
}

}  // namespace
}  // namespace chicory

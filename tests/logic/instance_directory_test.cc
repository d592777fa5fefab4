#include "modules/gateway/instance_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace chicory {
namespace {

/** A source that holds the list, and may ignore writes or reads. */
class ListSource : public GatewaySource {
 public:
  void Start(GatewayInputs*) override {}
  void SetWatching(bool) override {}
  void RefreshConfiguration(Freshness) override {}
  void RefreshUpstreams(Freshness) override {}
  void ReadEvacuations() override {}
  void ListInstance(InstanceIp instance) override {
    ++writes;
    if (takes_writes)
      listed.insert(instance);
  }
  void UnlistInstance(InstanceIp instance) override {
    ++writes;
    if (takes_writes)
      listed.erase(instance);
  }
  void ReadInstances(Freshness) override { ++reads; }

  std::set<InstanceIp> listed;
  bool takes_writes = true;
  int writes = 0;
  int reads = 0;
};

struct Harness {
  explicit Harness(std::vector<InstanceIp> listed) {
    source.listed.insert(listed.begin(), listed.end());
  }
  /** Runs for `length`; the list is read whenever that is ordered, unless the
      source is away. */
  void Run(absl::Duration length) {
    for (const absl::Time end = now + length; now < end;
         now += absl::Milliseconds(100)) {
      membership.TakeHelloTargets(now);
      const int before = source.reads;
      directory.Tick(now);
      if (source.reads > before && !is_away)
        directory.OnInstances({source.listed.begin(), source.listed.end()},
                              now);
    }
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  bool is_away = false;
  ListSource source;
  EventLog log{{.detail = false}};
  Membership membership{{.self = 1, .uses_directory = true}};
  InstanceDirectory directory{&source, &membership, log};
};

// Guards against an instance that counts as found before others can find it.
TEST_CASE("an instance knows the others once the source lists it") {
  struct Case {
    const char* name;
    std::vector<InstanceIp> listed;
    bool takes_writes;
    bool is_away;
    std::optional<size_t> sharing;
  };
  const auto c = GENERATE(Case{"alone", {}, true, false, 1},
                          Case{"others are listed", {2, 3}, true, false, 3},
                          Case{"writes have no effect", {}, false, false, {}},
                          Case{"the source is away", {2}, true, true, {}});
  INFO(c.name);
  Harness harness(c.listed);
  harness.source.takes_writes = c.takes_writes;
  harness.is_away = c.is_away;
  harness.Run(absl::Seconds(20));
  CHECK(harness.membership.SharingInstances(harness.now) == c.sharing);
  // Few calls, also while it is not listed.
  CHECK(harness.source.writes <= 8);
  CHECK(harness.source.reads <= 8);
  harness.is_away = false;
  harness.source.takes_writes = true;
  harness.Run(InstanceDirectory::kMaxRetryInterval + absl::Seconds(1));
  CHECK(harness.membership.SharingInstances(harness.now) ==
        c.listed.size() + 1);
}

// Guards against a list that only grows, and against one from which an instance
// is missing for good because another took it for gone.
TEST_CASE("instances that are gone leave the list, and those that run return") {
  Harness harness({2});
  harness.Run(InstanceDirectory::kMaxAbsence);
  CHECK(harness.source.listed == std::set<InstanceIp>{1, 2});
  harness.Run(3 * InstanceDirectory::kReadInterval);
  CHECK(harness.source.listed == std::set<InstanceIp>{1});
  CHECK(harness.membership.SharingInstances(harness.now) == 1);
  harness.source.listed.clear();
  harness.Run(2 * InstanceDirectory::kReadInterval);
  CHECK(harness.source.listed == std::set<InstanceIp>{1});
  harness.directory.Leave();
  CHECK(harness.source.listed.empty());
}

}  // namespace
}  // namespace chicory

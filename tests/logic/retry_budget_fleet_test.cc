#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/decisions/retry_window.h"
#include "modules/peers/membership.h"
#include "modules/peers/placement_message.h"

namespace chicory {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 236;
constexpr absl::Duration kWindow = absl::Seconds(10);
constexpr absl::Duration kStep = absl::Milliseconds(100);
/** Traffic begins this long after the instances have started. */
constexpr absl::Duration kLead = absl::Seconds(12);
/** Callers give up after this time. */
constexpr absl::Duration kPatience = absl::Seconds(15);

/** Instances that share a retry budget, in virtual time. From some time on, the
    first attempt of every request fails and could be retried once. */
class RetryingFleet {
 public:
  struct Options {
    int instances = 0;
    /** Requests per second at each instance. */
    double rate = 0;
    /** Time of traffic from which attempts fail. */
    absl::Duration fails_from = absl::ZeroDuration();
    /** Retries wait for an upstream until this time of traffic. */
    absl::Duration upstreams_return_at = absl::ZeroDuration();
  };

  explicit RetryingFleet(const Options& options) : options_(options) {
    for (int ip = 1; ip <= options_.instances; ++ip)
      Start(InstanceIp(ip));
    begin_ = now_ + kLead;
  }

  void Start(InstanceIp ip) {
    Instance& instance = instances_[ip];
    instance = {};
    instance.membership = std::make_unique<Membership>(
        Membership::Options{.self = ip, .seeds = {1, 2, 3}});
    instance.retries = std::make_unique<RetryWindow>(RetryWindow::Options{
        .ratio = kRatio, .slack = kSlack, .window = kWindow, .started = now_});
  }
  void Kill(InstanceIp ip) { instances_[ip].membership.reset(); }
  void SetFrozen(InstanceIp ip, bool frozen) {
    instances_[ip].is_frozen = frozen;
  }
  /** Loses all messages from and to `ip`. */
  void SetCutOff(InstanceIp ip, bool cut_off) {
    instances_[ip].is_cut_off = cut_off;
  }

  /** Runs until the time `until` of traffic. */
  void RunUntil(absl::Duration until) {
    for (; now_ < begin_ + until; now_ += kStep) {
      for (auto& [ip, instance] : instances_) {
        if (now_ >= begin_)
          ReceiveRequests(&instance);
        if (instance.is_running())
          SendHellos(&instance);
      }
    }
  }

  size_t retries() const { return retries_.size(); }

  /** Returns the most retries beyond the bound in any window. The requests are
      those of that window, the one before it, or the one half a window before
      it, whichever has most. */
  double MostBeyondBound() const {
    double most = -kSlack;
    for (const absl::Time from : retries_) {
      const size_t requests =
          std::max({Count(requests_, from), Count(requests_, from - kWindow),
                    Count(requests_, from - kWindow / 2)});
      const double bound = kRatio * static_cast<double>(requests) + kSlack;
      most = std::max(most, static_cast<double>(Count(retries_, from)) - bound);
    }
    return most;
  }

 private:
  struct Instance {
    bool is_running() const { return membership && !is_frozen; }

    std::unique_ptr<Membership> membership;
    std::unique_ptr<RetryWindow> retries;
    bool is_frozen = false;
    bool is_cut_off = false;
    /** Fraction of the next request. */
    double due = 0;
    /** Arrivals of the requests that wait until the instance wakes. */
    std::vector<absl::Time> unread;
    /** Arrivals of the requests whose retry waits for an upstream. */
    std::vector<absl::Time> waiting;
  };

  /** Returns how many of `times`, which are in order, are in the window that
      begins at `from`. */
  static size_t Count(const std::vector<absl::Time>& times, absl::Time from) {
    return static_cast<size_t>(
        std::lower_bound(times.begin(), times.end(), from + kWindow) -
        std::lower_bound(times.begin(), times.end(), from));
  }

  PeerMessage MessageFrom(const Instance& instance) const {
    PeerMessage message;
    instance.membership->FillHeader(&message, now_);
    return message;
  }

  void SendHellos(Instance* instance) {
    for (InstanceIp target : instance->membership->TakeHelloTargets(now_)) {
      const auto found = instances_.find(target);
      if (found == instances_.end() || !found->second.is_running())
        continue;
      if (instance->is_cut_off || found->second.is_cut_off)
        continue;
      PeerMessage hello = MessageFrom(*instance);
      hello.content = HelloMessage{};
      found->second.membership->OnHeader(hello, now_);
      for (const WelcomeMessage& welcome :
           found->second.membership->MakeWelcomes(hello, now_)) {
        PeerMessage reply = MessageFrom(found->second);
        reply.content = welcome;
        instance->membership->OnHeader(reply, now_);
        instance->membership->OnWelcome(welcome, now_);
      }
    }
  }

  void ReceiveRequests(Instance* instance) {
    if (!instance->membership)
      return;
    instance->due += options_.rate * absl::ToDoubleSeconds(kStep);
    for (; instance->due >= 1; --instance->due) {
      requests_.push_back(now_);
      instance->unread.push_back(now_);
    }
    if (instance->is_frozen)
      return;
    const bool fails = now_ >= begin_ + options_.fails_from;
    for (const absl::Time arrived : instance->unread) {
      instance->retries->OnRequest("s", now_);
      if (fails && now_ - arrived < kPatience && MayRetry(instance))
        instance->waiting.push_back(arrived);
    }
    instance->unread.clear();
    if (now_ < begin_ + options_.upstreams_return_at)
      return;
    for (const absl::Time arrived : instance->waiting) {
      instance->retries->Release("s");
      if (now_ - arrived < kPatience && SendRetry(instance))
        retries_.push_back(now_);
    }
    instance->waiting.clear();
  }

  bool MayRetry(Instance* instance) {
    return instance->retries->Reserve(
        "s", instance->membership->SharingInstances(now_), now_);
  }

  bool SendRetry(Instance* instance) {
    return instance->retries->Spend(
        "s", instance->membership->SharingInstances(now_), now_);
  }

  Options options_;
  std::map<InstanceIp, Instance> instances_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time begin_;
  std::vector<absl::Time> requests_;
  std::vector<absl::Time> retries_;
};

enum class Action { kStart, kKill, kFreeze, kWake, kCutOff, kReconnect };

/** Something that happens to the instances `first` to `last` in turn. */
struct Event {
  /** Time of traffic at which it happens to the first of them. */
  absl::Duration at;
  Action action;
  int first = 1;
  int last = 1;
  /** Time between two instances. */
  absl::Duration gap = absl::ZeroDuration();
};

void Apply(Action action, InstanceIp ip, RetryingFleet* fleet) {
  switch (action) {
    case Action::kStart:
      fleet->Start(ip);
      return;
    case Action::kKill:
      fleet->Kill(ip);
      return;
    case Action::kFreeze:
    case Action::kWake:
      fleet->SetFrozen(ip, action == Action::kFreeze);
      return;
    case Action::kCutOff:
    case Action::kReconnect:
      fleet->SetCutOff(ip, action == Action::kCutOff);
      return;
  }
}

void Run(const std::vector<Event>& events, RetryingFleet* fleet) {
  std::multimap<absl::Duration, std::pair<Action, InstanceIp>> steps;
  for (const Event& event : events) {
    for (int ip = event.first; ip <= event.last; ++ip) {
      steps.insert({event.at + event.gap * (ip - event.first),
                    {event.action, InstanceIp(ip)}});
    }
  }
  for (const auto& [at, step] : steps) {
    fleet->RunUntil(at);
    Apply(step.first, step.second, fleet);
  }
  fleet->RunUntil(absl::Seconds(40));
}

// Guards against repeats that pile up beyond the shared budget while instances
// do not know of each other, have forgotten what they spent, or send late.
TEST_CASE("retries of a fleet in disorder stay within the shared budget") {
  struct Case {
    const char* name;
    std::vector<Event> events;
    absl::Duration fails_from = absl::ZeroDuration();
    absl::Duration upstreams_return_at = absl::ZeroDuration();
  };
  struct Size {
    int instances;
    double rate;
  };
  const Size size = GENERATE(Size{20, 12}, Size{60, 8});
  const int all = size.instances;
  const std::vector<Case> cases = {
      {.name = "calm", .events = {}},
      {.name = "all are killed and start again",
       .events = {{absl::Seconds(20), Action::kKill, 1, all},
                  {absl::Seconds(20.5), Action::kStart, 1, all}},
       .fails_from = absl::Seconds(18)},
      {.name = "all are killed and start again, twice",
       .events = {{absl::Seconds(20), Action::kKill, 1, all},
                  {absl::Seconds(20.5), Action::kStart, 1, all},
                  {absl::Seconds(24), Action::kKill, 1, all},
                  {absl::Seconds(24.5), Action::kStart, 1, all}},
       .fails_from = absl::Seconds(18)},
      {.name = "all are restarted in turn",
       .events = {{absl::Seconds(20), Action::kKill, 1, all,
                   absl::Seconds(8) / all},
                  {absl::Seconds(20.5), Action::kStart, 1, all,
                   absl::Seconds(8) / all}},
       .fails_from = absl::Seconds(18)},
      {.name = "half of them die",
       .events = {{absl::Seconds(20), Action::kKill, 1, all / 2}},
       .fails_from = absl::Seconds(18)},
      {.name = "most of them die in turn",
       .events = {{absl::Seconds(20), Action::kKill, 1, all * 9 / 10,
                   absl::Seconds(9) / all}}},
      {.name = "a third is cut off, each by itself",
       .events = {{absl::Seconds(20), Action::kCutOff, 1, all / 3},
                  {absl::Seconds(35), Action::kReconnect, 1, all / 3}}},
      {.name = "all are cut off from each other",
       .events = {{absl::Seconds(20), Action::kCutOff, 1, all},
                  {absl::Seconds(35), Action::kReconnect, 1, all}}},
      {.name = "all are cut off while they start again",
       .events = {{absl::Seconds(20), Action::kKill, 1, all},
                  {absl::Seconds(20.5), Action::kCutOff, 1, all},
                  {absl::Seconds(20.5), Action::kStart, 1, all},
                  {absl::Seconds(35), Action::kReconnect, 1, all}}},
      {.name = "all freeze and wake",
       .events = {{absl::Seconds(20), Action::kFreeze, 1, all},
                  {absl::Seconds(26), Action::kWake, 1, all}}},
      {.name = "all freeze and wake in turn",
       .events = {{absl::Seconds(20), Action::kFreeze, 1, all,
                   absl::Seconds(3) / all},
                  {absl::Seconds(26), Action::kWake, 1, all,
                   absl::Seconds(3) / all}}},
      {.name = "retries wait until upstreams are back",
       .events = {},
       .upstreams_return_at = absl::Seconds(30)},
  };
  for (const Case& c : cases) {
    INFO(c.name << ", instances: " << all);
    RetryingFleet fleet({.instances = all,
                         .rate = size.rate,
                         .fails_from = c.fails_from,
                         .upstreams_return_at = c.upstreams_return_at});
    Run(c.events, &fleet);
    CHECK(fleet.MostBeyondBound() <= 0);
    CHECK(fleet.retries() > 0);
  }
}

}  // namespace
}  // namespace chicory

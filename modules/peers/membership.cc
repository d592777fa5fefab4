#include "modules/peers/membership.h"

#include <algorithm>
#include <utility>

namespace chicory {

namespace {

constexpr absl::Duration kHelloInterval = absl::Milliseconds(500);
/** After its start an instance sends hellos more often, until it knows the
 * others.
 */
constexpr absl::Duration kJoining = absl::Seconds(2);
constexpr absl::Duration kJoiningInterval = absl::Milliseconds(100);
/** What a new instance has read at its start is enough for this long. */
constexpr absl::Duration kFirstRead = absl::Seconds(1);
/** Until the next hello when something is urgent. */
constexpr absl::Duration kSoon = absl::Milliseconds(30);
/** An instance asks for what it has missed at most so often. */
constexpr absl::Duration kCatchUpInterval = absl::Milliseconds(100);
/** Others have this long to send what changed before the source is asked. */
constexpr absl::Duration kPeerResponseTime = absl::Milliseconds(300);
/** Hellos without a response after which an instance is passed over. */
constexpr int kMaxUnanswered = 2;
/** Instances that are informed of what runs here: the scheduler and the next
 * one. */
constexpr size_t kInformed = 2;
/** Instances that one response names, and the candidates among them. */
constexpr size_t kMembersSent = 24;
constexpr size_t kCandidatesSent = 8;
/** Changes of upstreams that fit into one message. */
constexpr size_t kChangesInMessage = 6;
/** Every so many hellos one also goes to a seed, so that parts of the fleet
    that lost each other meet again. */
constexpr uint64_t kSeedEvery = 4;
/** Below this many live instances hellos go to all seeds. */
constexpr size_t kFewInstances = 3;
/** Instances wait up to this share of the timeout longer than others for a
    watcher, so that not all turn to the source at once. */
constexpr double kTimeoutSpread = 0.4;
constexpr uint32_t kSpreadSteps = 16;

}  // namespace

Membership::Membership(Options options)
    : options_(std::move(options)),
      roster_(options_.self),
      timeout_extra_(options_.watcher_timeout * kTimeoutSpread *
                     (options_.self % kSpreadSteps) / kSpreadSteps) {}

void Membership::SetSeeds(std::vector<InstanceIp> seeds) {
  options_.seeds = std::move(seeds);
}

void Membership::SetConfigurationVersion(uint64_t version) {
  configuration_version_ = version;
}

void Membership::SetSourceState(SourceState state, absl::Time now) {
  // The next in order has to know soon that it is needed.
  if (state == SourceState::kLost && source_ != state)
    HelloSoon(now);
  source_ = state;
}

bool Membership::ShouldWatchSource(absl::Time now) const {
  if (leaving_ || now - started_ < kFirstRead)
    return false;
  if (roster_.IsAmongFirst(kWatchers, source_ == SourceState::kLost, now))
    return true;
  return now - std::max(watcher_heard_, started_) >
         options_.watcher_timeout + timeout_extra_;
}

void Membership::FillHeader(PeerMessage* message) const {
  message->sender = options_.self;
  message->configuration_version =
      std::max(configuration_version_, configuration_heard_);
  message->live_instances = live_here_;
  message->leaving = leaving_;
  message->upstreams_complete_until = upstream_changes_.complete_until();
  message->upstreams_last_change = upstream_changes_.last_change();
  message->source = source_;
}

void Membership::OnHeader(const PeerMessage& message, absl::Time now) {
  if (message.leaving)
    roster_.Remove(message.sender);
  else
    roster_.OnMessageReceived(message.sender, now);
  roster_.SetLostSource(message.sender, message.source == SourceState::kLost);
  configuration_heard_ =
      std::max(configuration_heard_, message.configuration_version);
  // One that cannot reach the source is replaced by the next in order.
  if (message.source != SourceState::kPassive)
    watcher_heard_ = now;
  change_heard_ = std::max(change_heard_, message.upstreams_last_change);
  if (IsBehind(message))
    awaited_since_ = std::min(awaited_since_, now);
  if (!std::holds_alternative<WelcomeMessage>(message.content))
    return;
  unanswered_.erase(message.sender);
  OnLiveCount(message.live_instances, now);
}

bool Membership::IsBehind(const PeerMessage& message) const {
  return message.upstreams_last_change > upstream_changes_.complete_until();
}

bool Membership::TakeCatchUp(const PeerMessage& message, absl::Time now) {
  if (!IsBehind(message) || now < next_catch_up_)
    return false;
  next_catch_up_ = now + kCatchUpInterval;
  return true;
}

std::optional<uint64_t> Membership::TakeMissingChange(absl::Time now) {
  if (change_heard_ <= upstream_changes_.complete_until()) {
    awaited_since_ = absl::InfiniteFuture();
    return std::nullopt;
  }
  if (now - awaited_since_ < kPeerResponseTime)
    return std::nullopt;
  awaited_since_ = now;
  return change_heard_;
}

std::vector<WelcomeMessage> Membership::Welcome(const PeerMessage& hello,
                                                absl::Time now) {
  std::vector<WelcomeMessage> answers = {{.members = MembersToSend(now)}};
  for (const UpstreamBatch& batch :
       upstream_changes_.Since(hello.upstreams_complete_until)) {
    for (UpstreamBatch& part : SplitBatch(batch, kChangesInMessage))
      answers.push_back({.missed = std::move(part)});
  }
  return answers;
}

void Membership::OnWelcome(const WelcomeMessage& welcome, absl::Time now) {
  for (const InstanceRoster::Member& member : welcome.members) {
    roster_.OnLivenessReport(member.ip, now, member.age);
    roster_.SetLostSource(member.ip, member.lost_source);
  }
}

std::vector<InstanceRoster::Member> Membership::MembersToSend(absl::Time now) {
  const std::vector<InstanceRoster::Member> all = roster_.Members(now);
  if (all.size() <= kMembersSent)
    return all;
  // All have to know the same candidates; the others take turns.
  const std::vector<InstanceIp> first =
      roster_.SchedulerOrder(now, kCandidatesSent);
  std::vector<InstanceRoster::Member> sent;
  for (const InstanceRoster::Member& member : all) {
    if (std::find(first.begin(), first.end(), member.ip) != first.end())
      sent.push_back(member);
  }
  while (sent.size() < kMembersSent)
    sent.push_back(all[next_member_++ % all.size()]);
  return sent;
}

std::vector<InstanceIp> Membership::Schedulers(absl::Time now,
                                               uint32_t group) const {
  return roster_.SchedulerOrder(now, kInformed, group);
}

InstanceIp Membership::SchedulingInstance(absl::Time now,
                                          uint32_t group) const {
  const std::vector<InstanceIp> order = Schedulers(now, group);
  // An instance that is leaving takes the next one, if there is one.
  if (leaving_ && order.front() == options_.self)
    return order.back();
  return order.front();
}

void Membership::OnLiveCount(size_t count, absl::Time now) {
  if (count < live_announced_ &&
      now - live_announced_at_ < InstanceRoster::kLivenessTimeout)
    return;
  live_announced_ = count;
  live_announced_at_ = now;
}

size_t Membership::LiveInstances(absl::Time now) const {
  const size_t here = roster_.LiveCount(now);
  if (now - live_announced_at_ >= InstanceRoster::kLivenessTimeout)
    return here;
  return std::max(here, live_announced_);
}

void Membership::HelloSoon(absl::Time now) {
  next_hello_ = std::min(next_hello_, now + kSoon);
}

std::vector<InstanceIp> Membership::TakeHelloTargets(absl::Time now) {
  if (started_ == absl::InfinitePast())
    started_ = now;
  if (now < next_hello_)
    return {};
  next_hello_ =
      now + (now - started_ < kJoining ? kJoiningInterval : kHelloInterval);
  ++hellos_;
  live_here_ = roster_.LiveCount(now);
  for (auto& [ip, count] : unanswered_) {
    if (count >= kMaxUnanswered) {
      roster_.Suspect(ip, now);
      count = 0;
    }
  }
  // The second choice gets half as many.
  std::vector<InstanceIp> targets =
      roster_.SchedulerOrder(now, hellos_ % 2 == 0 ? kInformed : 1);
  for (InstanceIp target : targets)
    unanswered_[target] += target == options_.self ? 0 : 1;
  const std::vector<InstanceIp>& seeds = options_.seeds;
  if (!seeds.empty()) {
    if (live_here_ < kFewInstances)
      targets.insert(targets.end(), seeds.begin(), seeds.end());
    else if (hellos_ % kSeedEvery == 0)
      targets.push_back(seeds[(hellos_ / kSeedEvery) % seeds.size()]);
  }
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  std::erase(targets, options_.self);
  return targets;
}

}  // namespace chicory

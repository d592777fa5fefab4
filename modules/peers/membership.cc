#include "modules/peers/membership.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

constexpr absl::Duration kHelloInterval = absl::Milliseconds(500);
/** After its start an instance sends hellos at a shorter interval, to learn the
    members quickly. */
constexpr absl::Duration kJoinPhase = absl::Seconds(2);
constexpr absl::Duration kJoinHelloInterval = absl::Milliseconds(100);
/** An instance reads the source once at its start and does not watch it for
    this long. */
constexpr absl::Duration kInitialReadValidity = absl::Seconds(1);
/** Time after the start in which others have usually replied to a hello, and
    with that sent the evacuated data centres. */
constexpr absl::Duration kFirstReplies = absl::Milliseconds(200);
/** Delay of a hello that was brought forward. */
constexpr absl::Duration kEarlyHelloDelay = absl::Milliseconds(30);
/** Shortest interval between hellos that request missed upstream changes. */
constexpr absl::Duration kCatchUpInterval = absl::Milliseconds(100);
/** About how many instances request a missed change from the one that announced
    it, per kCatchUpInterval. The others request it from random instances. */
constexpr uint64_t kDirectCatchUps = 8;
/** Time for peers to deliver an announced change before it is read from the
    source. */
constexpr absl::Duration kPeerResponseTime = absl::Milliseconds(700);
/** Unanswered hellos after which an instance is suspected. */
constexpr int kMaxUnansweredHellos = 2;
/** Instances that are sent the running requests: the scheduler and the one next
    in order. */
constexpr size_t kInformedSchedulers = 2;
/** Members per welcome, unless there are more scheduler candidates. */
constexpr size_t kMembersPerWelcome = 24;
/** Scheduler candidates of the first group, and of each of the others. Every
    welcome lists all candidates, because instances that do not know the same
    ones choose different schedulers. */
constexpr size_t kCandidatesOfFirstGroup = 8;
constexpr size_t kCandidatesPerGroup = 2;
/** Ranking the instances for each group is too slow to be done for every
    welcome. */
constexpr absl::Duration kCandidateInterval = absl::Milliseconds(100);
/** Upstream changes that fit into one datagram. */
constexpr size_t kChangesPerMessage = 12;
/** Instances to which an instance announces its first content. Each that
    receives content announces it to as many, so it soon reaches nearly all. */
constexpr size_t kContentReceivers = 4;
/** Every how many rounds a seed is sent a hello as well, so that a partitioned
    fleet merges again. */
constexpr uint64_t kRoundsPerSeedHello = 4;
/** Every how many rounds hellos carry the evacuated data centres although the
    receiver most likely knows them, for parts of the fleet that find each other
    again and for lost datagrams. */
constexpr uint64_t kRoundsPerEvacuations = 8;
/** Most seeds and listed instances that are sent a hello at a time. */
constexpr size_t kMaxContacts = 16;
/** Time from the start after which an instance that has not been found by
    others is listed at the source. */
constexpr absl::Duration kListingDelay = absl::Milliseconds(600);
/** Instances of each part of the fleet that the source lists. */
constexpr size_t kListed = 3;
/** Below this number of live instances every hello goes to all seeds. */
constexpr size_t kMinInstancesWithoutAllSeeds = 3;
/** Largest addition to Options::max_source_age, as a fraction of it. Differs
    between instances, so that they do not all contact the source at once. */
constexpr double kMaxAgeOffset = 0.05;
constexpr uint32_t kAgeOffsetSteps = 16;
/** Number of instances that must have lost the source, one after the other,
    within kOutageEvidenceLifetime and since it last confirmed anything, for it
    to count as away for all: more than watch it at a time. */
constexpr size_t kOutageEvidence = Membership::kWatchers + 1;
constexpr absl::Duration kOutageEvidenceLifetime = absl::Seconds(5);
/** Shortest time between two hellos with which an instance passes on that the
    source has confirmed what it knows. */
constexpr absl::Duration kConfirmationInterval = absl::Milliseconds(250);

}  // namespace

Membership::Membership(Options options)
    : options_(std::move(options)),
      roster_(options_.self),
      age_offset_(options_.max_source_age * kMaxAgeOffset *
                  (options_.self % kAgeOffsetSteps) / kAgeOffsetSteps) {}

void Membership::SetSeeds(std::vector<InstanceIp> seeds) {
  options_.seeds = std::move(seeds);
}

void Membership::SetGroupCount(uint32_t count) {
  group_count_ = count;
  roster_.SetCanSchedule(options_.self, count > 0);
}

void Membership::SetConfigurationVersion(uint64_t version) {
  configuration_version_ = version;
}

void Membership::SetSourceState(SourceState state, absl::Time now) {
  // The instance next in order must learn quickly that it is to take over.
  if (state == SourceState::kLost && source_ != state)
    ScheduleEarlyHello(now);
  source_ = state;
}

bool Membership::ShouldWatchSource(absl::Time now) const {
  if (leaving_ || now - started_ < kInitialReadValidity)
    return false;
  if (IsWatcher(now))
    return true;
  // While the source does not respond here either, only the first in order try
  // it again and again.
  return source_ != SourceState::kLost &&
         SourceAge(now) > options_.max_source_age + age_offset_ &&
         !IsSourceAway(now);
}

bool Membership::IsSourceAway(absl::Time now) const {
  const absl::Time since =
      std::max(now - SourceAge(now), now - kOutageEvidenceLifetime);
  return roster_.CountLostSince(since, now) >= kOutageEvidence;
}

bool Membership::IsWatcher(absl::Time now) const {
  return roster_.IsAmongFirst(kWatchers, source_ == SourceState::kLost, now);
}

void Membership::OnSourceConfirmed(SourcePart part, absl::Time as_of) {
  const auto index = static_cast<size_t>(part);
  confirmed_here_at_[index] = std::max(confirmed_here_at_[index], as_of);
  confirmed_at_[index] = std::max(confirmed_at_[index], as_of);
}

absl::Duration Membership::SourceAge(absl::Time now) const {
  const absl::Time oldest =
      *std::min_element(confirmed_at_.begin(), confirmed_at_.end());
  return now - std::max(oldest, started_);
}

void Membership::AdoptSourceAges(const PeerMessage& message, absl::Time now) {
  const auto adopt = [&](SourcePart part, absl::Duration age) {
    absl::Time& known = confirmed_at_[static_cast<size_t>(part)];
    known = std::max(known, now - age);
  };
  // A newer configuration that the sender knows of is known here as well.
  adopt(SourcePart::kConfiguration, message.configuration_age);
  const uint64_t known_until = upstream_changes_.complete_until();
  const bool may_lack_changes = message.upstreams_log_begin > known_until ||
                                message.upstreams_last_change > known_until;
  if (may_lack_changes || message.upstreams_age == absl::InfiniteDuration())
    return;
  upstream_changes_.Add(
      {.from = known_until, .to = message.upstreams_complete_until});
  adopt(SourcePart::kUpstreams, message.upstreams_age);
}

bool Membership::AdoptEvacuations(const Evacuations& evacuations,
                                  absl::Time now) {
  if (!options_.uses_evacuations ||
      evacuations.revision <= evacuations_.revision) {
    return false;
  }
  const bool has_changed =
      evacuations_.revision == 0 ||
      evacuations.data_centres != evacuations_.data_centres;
  evacuations_ = evacuations;
  // The others learn of it in the replies to their hellos.
  const std::vector<InstanceIp> receivers = HelloReceivers(now);
  if (has_changed && std::find(receivers.begin(), receivers.end(),
                               options_.self) != receivers.end())
    RepeatEvacuations(now);
  return has_changed;
}

void Membership::RepeatEvacuations(absl::Time now) {
  evacuations_repeated_until_ = now + kEvacuationsRepeated;
  repeats_evacuations_ = true;
}

void Membership::CompareEvacuations(const PeerMessage& message,
                                    absl::Time now) {
  if (evacuations_.revision == 0)
    return;
  const Evacuations& theirs = message.evacuations;
  const bool differ = theirs.revision > 0 &&
                      theirs.revision < evacuations_.revision &&
                      theirs.data_centres != evacuations_.data_centres;
  if (differ || !message.knows_evacuations)
    RepeatEvacuations(now);
}

bool Membership::ShouldReadEvacuations(absl::Time now) const {
  return options_.uses_evacuations && evacuations_.revision == 0 && !leaving_ &&
         now - started_ >= kFirstReplies &&
         roster_.IsAmongFirst(kWatchers, source_ == SourceState::kLost, now);
}

void Membership::FillHeader(PeerMessage* message, absl::Time now) const {
  message->sender = options_.self;
  message->configuration_version =
      std::max(configuration_version_, announced_configuration_version_);
  message->configuration_in_force = configuration_version_;
  message->live_instances = roster_live_count_;
  message->leaving = leaving_;
  message->upstreams_complete_until = upstream_changes_.complete_until();
  message->upstreams_last_change = upstream_changes_.last_change();
  message->upstreams_log_begin = upstream_changes_.begin();
  message->source = source_;
  const auto age = [&](SourcePart part) {
    const absl::Time at = confirmed_at_[static_cast<size_t>(part)];
    return at == absl::InfinitePast() ? absl::InfiniteDuration() : now - at;
  };
  // All hear of it by those that watch the source and the replies to hellos.
  if (source_ == SourceState::kWatching ||
      std::holds_alternative<WelcomeMessage>(message->content)) {
    message->configuration_age = age(SourcePart::kConfiguration);
    message->upstreams_age = age(SourcePart::kUpstreams);
  }
  message->group_count = group_count_;
  message->knows_evacuations = evacuations_.revision > 0;
  const auto* hello = std::get_if<HelloMessage>(&message->content);
  const bool is_due =
      hellos_carry_evacuations_ && hello && hello->wants_welcome;
  if (repeats_evacuations_ || is_due)
    message->evacuations = evacuations_;
}

void Membership::OnHeader(const PeerMessage& message, absl::Time now) {
  if (message.leaving)
    roster_.Remove(message.sender);
  else
    roster_.OnMessageReceived(message.sender, now);
  roster_.SetLostSource(message.sender, message.source == SourceState::kLost,
                        now);
  roster_.SetCanSchedule(message.sender, message.group_count > 0);
  announced_configuration_version_ =
      std::max(announced_configuration_version_, message.configuration_version);
  CompareEvacuations(message, now);
  AdoptSourceAges(message, now);
  if (message.upstreams_last_change >= announced_change_) {
    announced_change_ = message.upstreams_last_change;
    change_announcer_ = message.sender;
  }
  if (IsBehind())
    change_awaited_since_ = std::min(change_awaited_since_, now);
  if (!std::holds_alternative<WelcomeMessage>(message.content))
    return;
  unanswered_hellos_.erase(message.sender);
  OnLiveCount(message.live_instances, now);
}

bool Membership::IsBehind() const {
  return announced_change_ > upstream_changes_.complete_until();
}

std::optional<InstanceIp> Membership::TakeCatchUpTarget(absl::Time now) {
  if (!IsBehind() || now < next_catch_up_)
    return std::nullopt;
  next_catch_up_ = now + kCatchUpInterval;
  const std::vector<InstanceRoster::Member> members = roster_.Members(now);
  const std::array<uint64_t, 2> round = {options_.self, ++catch_up_rounds_};
  const uint64_t random = StableHash(std::string_view(
      reinterpret_cast<const char*>(round.data()), sizeof(round)));
  // The others hear of the change from the schedulers, which therefore request
  // it first.
  const bool asks_announcer =
      members.empty() || random % members.size() < kDirectCatchUps ||
      roster_.IsAmongFirst(kInformedSchedulers, /*self_lost=*/false, now);
  if (asks_announcer)
    return change_announcer_;
  return members[random % members.size()].ip;
}

std::optional<uint64_t> Membership::TakeOverdueChange(absl::Time now) {
  if (!IsBehind()) {
    change_awaited_since_ = absl::InfiniteFuture();
    return std::nullopt;
  }
  if (now - change_awaited_since_ < kPeerResponseTime)
    return std::nullopt;
  change_awaited_since_ = now;
  return announced_change_;
}

std::vector<WelcomeMessage> Membership::MakeWelcomes(const PeerMessage& hello,
                                                     absl::Time now) {
  std::vector<WelcomeMessage> replies = {{.members = MembersToSend(now)}};
  if (!std::get<HelloMessage>(hello.content).wants_changes)
    return replies;
  for (const UpstreamBatch& batch :
       upstream_changes_.Since(hello.upstreams_complete_until)) {
    for (UpstreamBatch& part : SplitBatch(batch, kChangesPerMessage)) {
      for (UpstreamChange& change : part.changes) {
        change.cold_for =
            std::max(change.record.cold_until - now, absl::ZeroDuration());
      }
      replies.push_back({.missed = std::move(part)});
    }
  }
  return replies;
}

void Membership::OnWelcome(const WelcomeMessage& welcome, absl::Time now) {
  for (const InstanceRoster::Member& member : welcome.members) {
    roster_.OnLivenessReport(member.ip, now, member.age);
    roster_.SetLostSource(member.ip, member.lost_source, now);
  }
}

std::vector<InstanceRoster::Member> Membership::MembersToSend(absl::Time now) {
  const std::vector<InstanceRoster::Member> all = roster_.Members(now);
  if (all.size() <= kMembersPerWelcome)
    return all;
  // The scheduler candidates first, then others in rotation.
  const absl::flat_hash_set<InstanceIp>& candidates = SchedulerCandidates(now);
  std::vector<InstanceRoster::Member> sent;
  for (const InstanceRoster::Member& member : all) {
    if (candidates.contains(member.ip))
      sent.push_back(member);
  }
  while (sent.size() < kMembersPerWelcome)
    sent.push_back(all[next_member_to_send_++ % all.size()]);
  return sent;
}

const absl::flat_hash_set<InstanceIp>& Membership::SchedulerCandidates(
    absl::Time now) {
  if (now - candidates_computed_at_ < kCandidateInterval)
    return candidates_;
  candidates_computed_at_ = now;
  candidates_.clear();
  for (uint32_t group = 0; group < std::max(group_count_, 1u); ++group) {
    const size_t count =
        group == 0 ? kCandidatesOfFirstGroup : kCandidatesPerGroup;
    for (InstanceIp ip : roster_.SchedulerOrder(now, count, group))
      candidates_.insert(ip);
  }
  for (InstanceIp ip : roster_.CommonOrder(now, kCandidatesOfFirstGroup))
    candidates_.insert(ip);
  return candidates_;
}

std::vector<InstanceIp> Membership::Schedulers(absl::Time now,
                                               uint32_t group) const {
  return roster_.SchedulerOrder(now, kInformedSchedulers, group);
}

InstanceIp Membership::SchedulingInstance(absl::Time now,
                                          uint32_t group) const {
  const std::vector<InstanceIp> order = Schedulers(now, group);
  // An instance that is shutting down uses the next in order, if any.
  if (leaving_ && order.front() == options_.self)
    return order.back();
  return order.front();
}

std::vector<InstanceIp> Membership::HelloReceivers(absl::Time now) const {
  return roster_.CommonOrder(now, kInformedSchedulers);
}

void Membership::OnLiveCount(size_t count, absl::Time now) {
  if (count < announced_live_count_ &&
      now - live_count_announced_at_ < InstanceRoster::kLivenessTimeout)
    return;
  announced_live_count_ = count;
  live_count_announced_at_ = now;
  most_live_instances_.Add(count, now);
}

size_t Membership::LiveInstances(absl::Time now) const {
  const size_t here = roster_.LiveCount(now);
  if (now - live_count_announced_at_ >= InstanceRoster::kLivenessTimeout)
    return here;
  return std::max(here, announced_live_count_);
}

std::optional<size_t> Membership::SharingInstances(absl::Time now) const {
  const size_t most = std::max(most_live_instances_.Largest(),
                               LiveInstances(now) + CountListedNotLive(now));
  // The source lists this instance and no other, so that seeds which do not
  // respond are gone.
  if (most == 1 && listed_)
    return 1;
  if (most == 1 && options_.uses_directory)
    return std::nullopt;
  if (OtherSeeds() > 0 && (most == 1 || IsJoining(now)))
    return std::nullopt;
  return std::max(most, OtherSeeds() + 1);
}

size_t Membership::KnownInstances(absl::Time now) const {
  return std::max({most_live_instances_.Largest(),
                   LiveInstances(now) + CountListedNotLive(now),
                   OtherSeeds() + 1});
}

bool Membership::ShouldBeListed(absl::Time now) const {
  if (!options_.uses_directory || leaving_ || now - started_ < kListingDelay)
    return false;
  const std::vector<InstanceIp> first = roster_.CommonOrder(now, kListed);
  return std::find(first.begin(), first.end(), options_.self) != first.end();
}

void Membership::SetListedInstances(std::vector<InstanceIp> others) {
  listed_ = std::move(others);
}

bool Membership::KeepsList(absl::Time now) const {
  return roster_.CommonOrder(now, 1).front() == options_.self;
}

bool Membership::IsLive(InstanceIp ip, absl::Time now) const {
  return roster_.IsLive(ip, now);
}

std::vector<InstanceIp> Membership::Contacts() const {
  std::vector<InstanceIp> contacts = options_.seeds;
  if (listed_)
    contacts.insert(contacts.end(), listed_->begin(), listed_->end());
  std::sort(contacts.begin(), contacts.end());
  contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
  return contacts;
}

size_t Membership::CountListedNotLive(absl::Time now) const {
  if (!listed_)
    return 0;
  return static_cast<size_t>(
      std::count_if(listed_->begin(), listed_->end(),
                    [&](InstanceIp ip) { return !IsLive(ip, now); }));
}

size_t Membership::OtherSeeds() const {
  const std::set<InstanceIp> seeds(options_.seeds.begin(),
                                   options_.seeds.end());
  return seeds.size() - seeds.count(options_.self);
}

bool Membership::IsJoining(absl::Time now) const {
  return now - started_ < kJoinPhase;
}

void Membership::ScheduleEarlyHello(absl::Time now) {
  next_hello_ = std::min(next_hello_, now + kEarlyHelloDelay);
}

void Membership::AnnounceContent(absl::Time now) {
  announces_content_ = true;
  next_hello_ = std::min(next_hello_, now);
}

bool Membership::HasNewConfirmation(absl::Time now) const {
  if (source_ != SourceState::kWatching ||
      now - last_hello_ < kConfirmationInterval)
    return false;
  const absl::Time newest =
      *std::max_element(confirmed_here_at_.begin(), confirmed_here_at_.end());
  if (newest <= last_hello_)
    return false;
  const std::vector<InstanceIp> receivers = HelloReceivers(now);
  return std::find(receivers.begin(), receivers.end(), options_.self) ==
         receivers.end();
}

void Membership::AddContacts(std::vector<InstanceIp>* targets) const {
  const std::vector<InstanceIp> contacts = Contacts();
  const bool knows_few = roster_live_count_ < kMinInstancesWithoutAllSeeds;
  if (contacts.empty() ||
      (!knows_few && hello_rounds_ % kRoundsPerSeedHello != 0))
    return;
  const size_t count = knows_few ? std::min(contacts.size(), kMaxContacts) : 1;
  const size_t first =
      knows_few ? hello_rounds_ * count : hello_rounds_ / kRoundsPerSeedHello;
  for (size_t i = 0; i < count; ++i)
    targets->push_back(contacts[(first + i) % contacts.size()]);
}

std::vector<InstanceIp> Membership::TakeHelloTargets(absl::Time now) {
  if (started_ == absl::InfinitePast())
    started_ = now;
  repeats_evacuations_ = now < evacuations_repeated_until_;
  // The scheduler, which all others hear from, learns at once of a change that
  // this instance has received from the source.
  const bool has_news = source_ == SourceState::kWatching &&
                        upstream_changes_.last_change() > hello_change_;
  if (now < next_hello_ && !has_news && !HasNewConfirmation(now))
    return {};
  last_hello_ = now;
  hello_change_ = upstream_changes_.last_change();
  next_hello_ = now + (IsJoining(now) ? kJoinHelloInterval : kHelloInterval);
  ++hello_rounds_;
  hellos_carry_evacuations_ = hello_rounds_ % kRoundsPerEvacuations == 0;
  roster_live_count_ = roster_.LiveCount(now);
  most_live_instances_.Add(roster_live_count_, now);
  for (auto& [ip, count] : unanswered_hellos_) {
    if (count >= kMaxUnansweredHellos) {
      roster_.Suspect(ip, now);
      count = 0;
    }
  }
  // The instance next in order is sent every other hello only.
  std::vector<InstanceIp> targets = roster_.CommonOrder(
      now, hello_rounds_ % 2 == 0 ? kInformedSchedulers : 1);
  // Another one if the first knows no upstreams.
  const InstanceIp scheduler = SchedulingInstance(now);
  if (std::find(targets.begin(), targets.end(), scheduler) == targets.end())
    targets.push_back(scheduler);
  for (InstanceIp target : targets)
    unanswered_hellos_[target] += target == options_.self ? 0 : 1;
  if (std::exchange(announces_content_, false)) {
    const std::vector<InstanceRoster::Member> members = roster_.Members(now);
    for (size_t i = 0; i < std::min(members.size(), kContentReceivers); ++i) {
      const std::array<uint64_t, 2> round = {options_.self, i};
      const uint64_t random = StableHash(std::string_view(
          reinterpret_cast<const char*>(round.data()), sizeof(round)));
      targets.push_back(members[random % members.size()].ip);
    }
  }
  AddContacts(&targets);
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  std::erase(targets, options_.self);
  return targets;
}

}  // namespace chicory

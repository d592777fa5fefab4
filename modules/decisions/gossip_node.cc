#include "modules/decisions/gossip_node.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"

namespace chicory {

const char* MemberStateName(MemberState state) {
  static constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<int>(state)];
}

namespace {

/** Number of low bits of a member's version that count refutations. */
constexpr int kRefutationBits = 10;

/** Factor on the suspicion timeout for members without a version. They cannot
    refute, see GossipNode::Tick. */
constexpr int kUncontactedSuspicionFactor = 4;

GossipUpdate UpdateFor(const MemberRow& row) {
  GossipUpdate update{.kind = GossipUpdateKind::kMember,
                      .subject = row.name,
                      .version = row.version,
                      .value = static_cast<int64_t>(row.state)};
  if (row.state == MemberState::kAlive) {
    update.address = row.address;
    update.data_centre = row.data_centre;
  }
  return update;
}

/** Returns the state that an update carries; nullopt if there is no such state,
    as in the update of a newer or faulty instance. */
std::optional<MemberState> StateOf(const GossipUpdate& update) {
  if (update.value < static_cast<int64_t>(MemberState::kAlive) ||
      update.value > static_cast<int64_t>(MemberState::kLeft)) {
    return std::nullopt;
  }
  return static_cast<MemberState>(update.value);
}

bool IsDeadOrLeft(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

}  // namespace

uint64_t MemberVersion(uint64_t incarnation, uint64_t refutations) {
  return (incarnation << kRefutationBits) + refutations;
}

uint64_t IncarnationOf(uint64_t version) {
  return version >> kRefutationBits;
}

GossipNode::GossipNode(const Options& options)
    : self_(options), version_(MemberVersion(options.incarnation, 0)) {}

std::string GossipNode::UpdateKey(const GossipUpdate& update) {
  return absl::StrCat(static_cast<int>(update.kind), "/", update.subject, "/",
                      update.origin);
}

int GossipNode::TransmissionLimit() const {
  return kTransmissionsPerDoubling *
         std::bit_width(static_cast<unsigned>(members_.size() + 1));
}

absl::Duration GossipNode::SuspicionTimeout() const {
  return kSuspicionTimeoutPerDoubling *
         std::bit_width(static_cast<unsigned>(members_.size() + 1));
}

OutgoingExchange GossipNode::MakeExchange(const MemberRow& row) {
  return {.name = row.name,
          .address = row.address,
          .message = MakeMessageFor(row.name)};
}

const MemberRow* GossipNode::PickListedDead(absl::Time now,
                                            absl::BitGenRef random) const {
  std::vector<const MemberRow*> dead;
  for (const auto& [name, row] : members_) {
    if (row.state == MemberState::kDead &&
        now - row.listed_at <= kDeadProbePeriod) {
      dead.push_back(&row);
    }
  }
  if (dead.empty())
    return nullptr;
  return dead[absl::Uniform<size_t>(random, 0, dead.size())];
}

void GossipNode::AddSeed(const std::string& name,
                         const std::string& address,
                         const std::string& data_centre,
                         absl::Time now) {
  if (name == self_.instance)
    return;
  auto known = members_.find(name);
  if (known != members_.end()) {
    known->second.listed_at = now;
    return;
  }
  MemberRow& row = members_[name];
  row = {.name = name,
         .address = address,
         .data_centre = data_centre,
         .since = now,
         .listed_at = now};
  if (listener_ != nullptr)
    listener_->OnMember(row);
}

void GossipNode::Queue(GossipUpdate update, absl::Time now) {
  const std::string key = UpdateKey(update);
  stored_updates_[key] = {.update = std::move(update), .received_at = now};
  std::erase_if(queue_,
                [&](const QueuedUpdate& queued) { return queued.key == key; });
  queue_.insert(queue_.begin(),
                {.key = key, .transmissions_left = TransmissionLimit()});
}

void GossipNode::Spread(GossipUpdate update, absl::Time now) {
  auto known = stored_updates_.find(UpdateKey(update));
  if (known != stored_updates_.end())
    update.version = std::max(update.version, known->second.update.version + 1);
  Queue(std::move(update), now);
}

void GossipNode::SpreadMember(const MemberRow& row, absl::Time now) {
  Queue(UpdateFor(row), now);
}

void GossipNode::QueueOwnState(MemberState state, absl::Time now) {
  Queue({.kind = GossipUpdateKind::kMember,
         .subject = self_.instance,
         .version = version_,
         .value = static_cast<int64_t>(state),
         .address = self_.address,
         .data_centre = self_.data_centre},
        now);
}

void GossipNode::SetMemberState(MemberRow* row,
                                MemberState state,
                                absl::Time now) {
  row->state = state;
  row->since = now;
  // Without a version the update could be neither ordered nor refuted.
  if (row->version != 0)
    SpreadMember(*row, now);
  if (listener_ != nullptr)
    listener_->OnMember(*row);
}

void GossipNode::Leave(absl::Time now) {
  is_leaving_ = true;
  QueueOwnState(MemberState::kLeft, now);
}

GossipMessage GossipNode::Header() const {
  return {.sender = self_.instance,
          .address = self_.address,
          .data_centre = self_.data_centre,
          .version = version_,
          .configuration_revision = configuration_revision_};
}

GossipMessage GossipNode::MakeMessageFor(const std::string& to) {
  GossipMessage message = Header();
  size_t update_count = 0;
  auto receiver = members_.find(to);
  if (receiver != members_.end() &&
      receiver->second.state != MemberState::kAlive) {
    message.updates.push_back(UpdateFor(receiver->second));
    ++update_count;
  }
  for (QueuedUpdate& queued : queue_) {
    if (update_count == kMaxUpdatesPerMessage)
      break;
    auto stored = stored_updates_.find(queued.key);
    --queued.transmissions_left;
    ++update_count;
    if (stored != stored_updates_.end())
      message.updates.push_back(stored->second.update);
  }
  std::erase_if(queue_, [](const QueuedUpdate& queued) {
    return queued.transmissions_left <= 0;
  });
  // Anti-entropy: a few members in rotation, so that every version is
  // disseminated and lost updates are repaired eventually.
  for (size_t i = 0; i < kSampledMembersPerMessage && !members_.empty(); ++i) {
    const MemberRow& row = NextSampledMember();
    if (row.version != 0 && row.state == MemberState::kAlive) {
      GossipUpdate sampled = UpdateFor(row);
      sampled.address.clear();
      sampled.data_centre.clear();
      message.updates.push_back(std::move(sampled));
    }
  }
  // Updates with the fewest transmissions go first on the next message.
  std::stable_sort(queue_.begin(), queue_.end(),
                   [](const QueuedUpdate& a, const QueuedUpdate& b) {
                     return a.transmissions_left > b.transmissions_left;
                   });
  return message;
}

const MemberRow& GossipNode::NextSampledMember() {
  auto next = members_.upper_bound(last_sampled_);
  if (next == members_.end())
    next = members_.begin();
  last_sampled_ = next->first;
  return next->second;
}

GossipMessage GossipNode::FullState() const {
  GossipMessage message = Header();
  for (const auto& [name, row] : members_)
    message.updates.push_back(UpdateFor(row));
  for (const auto& [key, stored] : stored_updates_) {
    if (stored.update.kind != GossipUpdateKind::kMember)
      message.updates.push_back(stored.update);
  }
  return message;
}

std::vector<OutgoingExchange> GossipNode::Tick(absl::Time now,
                                               absl::BitGenRef random) {
  std::vector<OutgoingExchange> exchanges;
  std::vector<std::string> expired;
  for (auto& [name, row] : members_) {
    // A member that was never in contact cannot refute: it is probed for
    // longer before it is declared dead.
    const absl::Duration suspicion_timeout =
        row.version == 0 ? kUncontactedSuspicionFactor * SuspicionTimeout()
                         : SuspicionTimeout();
    if (row.state == MemberState::kSuspect &&
        now - row.since >= suspicion_timeout)
      SetMemberState(&row, MemberState::kDead, now);
    if (IsDeadOrLeft(row.state) && now - row.since >= kRetention)
      expired.push_back(name);
  }
  for (const std::string& name : expired)
    members_.erase(name);
  std::erase_if(stored_updates_, [&](const auto& entry) {
    return now - entry.second.received_at >= kRetention;
  });
  if (probe_order_.empty()) {
    for (const auto& [name, row] : members_) {
      if (!IsDeadOrLeft(row.state))
        probe_order_.push_back(name);
    }
    std::sort(probe_order_.begin(), probe_order_.end());
    std::shuffle(probe_order_.begin(), probe_order_.end(), random);
  }
  while (!probe_order_.empty()) {
    const std::string name = probe_order_.back();
    probe_order_.pop_back();
    auto found = members_.find(name);
    if (found == members_.end())
      continue;
    const MemberRow& row = found->second;
    if (IsDeadOrLeft(row.state))
      continue;
    exchanges.push_back(MakeExchange(row));
    break;
  }
  if (now < next_dead_probe_)
    return exchanges;
  next_dead_probe_ = now + kDeadProbePeriod;
  if (const MemberRow* dead = PickListedDead(now, random))
    exchanges.push_back(MakeExchange(*dead));
  return exchanges;
}

GossipMessage GossipNode::OnMessage(const GossipMessage& message,
                                    absl::Time now) {
  const bool is_newcomer = !members_.contains(message.sender);
  Merge(message, now);
  return is_newcomer ? FullState() : MakeMessageFor(message.sender);
}

void GossipNode::OnResponse(const GossipMessage& message, absl::Time now) {
  Merge(message, now);
}

void GossipNode::Merge(const GossipMessage& message, absl::Time now) {
  // The message itself shows that its sender is alive in this incarnation.
  MergeMember({.kind = GossipUpdateKind::kMember,
               .subject = message.sender,
               .version = message.version,
               .value = static_cast<int64_t>(MemberState::kAlive),
               .address = message.address,
               .data_centre = message.data_centre},
              now);
  // A full state is not queued for dissemination: only this newcomer lacks it.
  const bool is_full_state = message.updates.size() >
                             kMaxUpdatesPerMessage + kSampledMembersPerMessage;
  std::vector<QueuedUpdate> queue_before;
  if (is_full_state)
    queue_before = queue_;
  for (const GossipUpdate& update : message.updates)
    MergeUpdate(update, now);
  if (is_full_state)
    queue_ = std::move(queue_before);
  if (message.configuration_revision > configuration_revision_ &&
      listener_ != nullptr) {
    listener_->OnNewerConfiguration(message.address,
                                    message.configuration_revision);
  }
}

void GossipNode::MergeUpdate(const GossipUpdate& update, absl::Time now) {
  if (update.kind == GossipUpdateKind::kMember)
    return MergeMember(update, now);
  const std::string key = UpdateKey(update);
  auto known = stored_updates_.find(key);
  if (known != stored_updates_.end()) {
    const GossipUpdate& stored_update = known->second.update;
    if (std::pair(update.version, update.value) <=
        std::pair(stored_update.version, stored_update.value)) {
      return;
    }
  }
  if (stored_updates_.size() >= kMaxStoredUpdates)
    return;
  Queue(update, now);
  if (listener_ != nullptr)
    listener_->OnGossipUpdate(update);
}

void GossipNode::MergeMember(const GossipUpdate& update, absl::Time now) {
  const std::optional<MemberState> received = StateOf(update);
  if (!received)
    return;
  const MemberState state = *received;
  if (update.subject == self_.instance) {
    // Refutes a suspicion or death of this process while it runs.
    const bool must_refute = state != MemberState::kAlive && !is_leaving_ &&
                             update.version >= version_;
    if (must_refute) {
      version_ = update.version + 1;
      QueueOwnState(MemberState::kAlive, now);
    }
    return;
  }
  auto found = members_.find(update.subject);
  if (found == members_.end()) {
    if (state != MemberState::kAlive)
      return;
    MemberRow& row = members_[update.subject];
    row = {.name = update.subject,
           .address = update.address,
           .data_centre = update.data_centre,
           .version = update.version};
    SetMemberState(&row, state, now);
    return;
  }
  MemberRow& row = found->second;
  if (std::pair(update.version, state) <= std::pair(row.version, row.state))
    return;
  const bool is_known_seed = row.version == 0 && state == row.state;
  const bool is_same_state = row.state == state;
  row.version = update.version;
  if (!update.address.empty()) {
    row.address = update.address;
    row.data_centre = update.data_centre;
  }
  // Every instance reads the platform's list, so the presence of a listed
  // member need not be disseminated.
  if (is_known_seed)
    return;
  if (is_same_state) {
    SpreadMember(row, now);
    return;
  }
  SetMemberState(&row, state, now);
}

std::vector<std::string> GossipNode::OnExchangeUnanswered(
    const std::string& name,
    absl::Time now,
    absl::BitGenRef random) {
  auto found = members_.find(name);
  if (found == members_.end() || found->second.state != MemberState::kAlive)
    return {};
  std::vector<std::string> relays;
  for (const auto& [other, row] : members_) {
    if (other != name && row.state == MemberState::kAlive)
      relays.push_back(other);
  }
  std::sort(relays.begin(), relays.end());
  std::shuffle(relays.begin(), relays.end(), random);
  if (relays.size() > kIndirectProbes)
    relays.resize(kIndirectProbes);
  if (relays.empty())
    SetMemberState(&found->second, MemberState::kSuspect, now);
  return relays;
}

void GossipNode::OnIndirectProbesUnanswered(const std::string& name,
                                            absl::Time now) {
  auto found = members_.find(name);
  if (found != members_.end() && found->second.state == MemberState::kAlive)
    SetMemberState(&found->second, MemberState::kSuspect, now);
}

const MemberRow* GossipNode::Find(const std::string& name) const {
  auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<std::string> GossipNode::LiveNames() const {
  std::vector<std::string> names{self_.instance};
  for (const auto& [name, row] : members_) {
    if (!IsDeadOrLeft(row.state))
      names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool GossipNode::IsWatcher(size_t count) const {
  std::vector<std::string> names{self_.instance};
  for (const auto& [name, row] : members_) {
    if (row.state == MemberState::kAlive &&
        row.data_centre == self_.data_centre) {
      names.push_back(name);
    }
  }
  const std::vector<std::string> top =
      RendezvousTop("configuration-watch", names, count);
  return std::find(top.begin(), top.end(), self_.instance) != top.end();
}

}  // namespace chicory

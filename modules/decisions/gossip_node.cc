#include "modules/decisions/gossip_node.h"

#include <algorithm>
#include <bit>
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

/** Bits of a member's version that count refutations. */
constexpr int kRefutationBits = 10;

/** Times as long that a member which was never heard of stays a suspect. */
constexpr int kPatienceWithUnheard = 4;

GossipUpdate RumourOf(const MemberRow& row) {
  GossipUpdate rumour{.kind = GossipUpdateKind::kMember,
                      .subject = row.name,
                      .version = row.version,
                      .value = static_cast<int64_t>(row.state)};
  if (row.state == MemberState::kAlive) {
    rumour.address = row.address;
    rumour.data_centre = row.data_centre;
  }
  return rumour;
}

bool IsOver(MemberState state) {
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

std::string GossipNode::KeyOf(const GossipUpdate& rumour) {
  return absl::StrCat(static_cast<int>(rumour.kind), "/", rumour.subject, "/",
                      rumour.origin);
}

int GossipNode::Rides() const {
  return kRidesPerDoubling *
         std::bit_width(static_cast<unsigned>(members_.size() + 1));
}

absl::Duration GossipNode::Suspicion() const {
  return kSuspicionPerDoubling *
         std::bit_width(static_cast<unsigned>(members_.size() + 1));
}

OutgoingExchange GossipNode::OrderFor(const MemberRow& row) {
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

void GossipNode::Queue(GossipUpdate rumour, absl::Time now) {
  const std::string key = KeyOf(rumour);
  facts_[key] = {.rumour = std::move(rumour), .heard = now};
  std::erase_if(riding_,
                [&](const Riding& riding) { return riding.key == key; });
  riding_.insert(riding_.begin(), {.key = key, .rides_left = Rides()});
}

void GossipNode::Spread(GossipUpdate rumour, absl::Time now) {
  auto known = facts_.find(KeyOf(rumour));
  if (known != facts_.end())
    rumour.version = std::max(rumour.version, known->second.rumour.version + 1);
  Queue(std::move(rumour), now);
}

void GossipNode::SpreadMember(const MemberRow& row, absl::Time now) {
  Queue(RumourOf(row), now);
}

void GossipNode::QueueSelf(MemberState state, absl::Time now) {
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
  // Without a version the word could be neither weighed nor refuted.
  if (row->version != 0)
    SpreadMember(*row, now);
  if (listener_ != nullptr)
    listener_->OnMember(*row);
}

void GossipNode::Leave(absl::Time now) {
  is_leaving_ = true;
  QueueSelf(MemberState::kLeft, now);
}

GossipMessage GossipNode::Header() const {
  return {.sender = self_.instance,
          .address = self_.address,
          .data_centre = self_.data_centre,
          .version = version_,
          .configuration_revision = revision_};
}

GossipMessage GossipNode::MakeMessageFor(const std::string& to) {
  GossipMessage message = Header();
  size_t taken = 0;
  auto receiver = members_.find(to);
  if (receiver != members_.end() &&
      receiver->second.state != MemberState::kAlive) {
    message.updates.push_back(RumourOf(receiver->second));
    ++taken;
  }
  for (Riding& riding : riding_) {
    if (taken == kMaxRumours)
      break;
    auto fact = facts_.find(riding.key);
    --riding.rides_left;
    ++taken;
    if (fact != facts_.end())
      message.updates.push_back(fact->second.rumour);
  }
  std::erase_if(riding_,
                [](const Riding& riding) { return riding.rides_left <= 0; });
  // A few of the members at large, so that every version gets about and what
  // a rumour failed to tell is told in the end.
  for (size_t i = 0; i < kSampledMembers && !members_.empty(); ++i) {
    const MemberRow& row = NextSampled();
    if (row.version != 0 && row.state == MemberState::kAlive) {
      GossipUpdate sampled = RumourOf(row);
      sampled.address.clear();
      sampled.data_centre.clear();
      message.updates.push_back(std::move(sampled));
    }
  }
  // What rode least goes first next time.
  std::stable_sort(riding_.begin(), riding_.end(),
                   [](const Riding& a, const Riding& b) {
                     return a.rides_left > b.rides_left;
                   });
  return message;
}

const MemberRow& GossipNode::NextSampled() {
  auto next = members_.upper_bound(last_sampled_);
  if (next == members_.end())
    next = members_.begin();
  last_sampled_ = next->first;
  return next->second;
}

GossipMessage GossipNode::FullState() const {
  GossipMessage message = Header();
  for (const auto& [name, row] : members_)
    message.updates.push_back(RumourOf(row));
  for (const auto& [key, fact] : facts_) {
    if (fact.rumour.kind != GossipUpdateKind::kMember)
      message.updates.push_back(fact.rumour);
  }
  return message;
}

std::vector<OutgoingExchange> GossipNode::Tick(absl::Time now,
                                               absl::BitGenRef random) {
  std::vector<OutgoingExchange> orders;
  std::vector<std::string> forgotten;
  for (auto& [name, row] : members_) {
    // One that never spoke cannot refute: it is asked for longer.
    const absl::Duration patience =
        row.version == 0 ? kPatienceWithUnheard * Suspicion() : Suspicion();
    if (row.state == MemberState::kSuspect && now - row.since >= patience)
      SetMemberState(&row, MemberState::kDead, now);
    if (IsOver(row.state) && now - row.since >= kForgetAfter)
      forgotten.push_back(name);
  }
  for (const std::string& name : forgotten)
    members_.erase(name);
  std::erase_if(facts_, [&](const auto& entry) {
    return now - entry.second.heard >= kForgetAfter;
  });
  if (probe_order_.empty()) {
    for (const auto& [name, row] : members_) {
      if (!IsOver(row.state))
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
    if (IsOver(row.state))
      continue;
    orders.push_back(OrderFor(row));
    break;
  }
  if (now < next_dead_probe_)
    return orders;
  next_dead_probe_ = now + kDeadProbePeriod;
  if (const MemberRow* dead = PickListedDead(now, random))
    orders.push_back(OrderFor(*dead));
  return orders;
}

GossipMessage GossipNode::OnMessage(const GossipMessage& message,
                                    absl::Time now) {
  const bool is_newcomer = !members_.contains(message.sender);
  Absorb(message, now);
  return is_newcomer ? FullState() : MakeMessageFor(message.sender);
}

void GossipNode::OnResponse(const GossipMessage& message, absl::Time now) {
  Absorb(message, now);
}

void GossipNode::Absorb(const GossipMessage& message, absl::Time now) {
  // The sender speaks for itself: it is alive in this incarnation.
  AbsorbMember({.kind = GossipUpdateKind::kMember,
                .subject = message.sender,
                .version = message.version,
                .value = static_cast<int64_t>(MemberState::kAlive),
                .address = message.address,
                .data_centre = message.data_centre},
               now);
  // A newcomer is told everything; the others know it already.
  const bool is_full_state =
      message.updates.size() > kMaxRumours + kSampledMembers;
  std::vector<Riding> riding_before;
  if (is_full_state)
    riding_before = riding_;
  for (const GossipUpdate& rumour : message.updates)
    AbsorbRumour(rumour, now);
  if (is_full_state)
    riding_ = std::move(riding_before);
  if (message.configuration_revision > revision_ && listener_ != nullptr) {
    listener_->OnNewerConfiguration(message.address,
                                    message.configuration_revision);
  }
}

void GossipNode::AbsorbRumour(const GossipUpdate& rumour, absl::Time now) {
  if (rumour.kind == GossipUpdateKind::kMember)
    return AbsorbMember(rumour, now);
  const std::string key = KeyOf(rumour);
  auto known = facts_.find(key);
  if (known != facts_.end()) {
    const GossipUpdate& old = known->second.rumour;
    if (std::pair(rumour.version, rumour.value) <=
        std::pair(old.version, old.value)) {
      return;
    }
  }
  if (facts_.size() >= kMaxFacts)
    return;
  Queue(rumour, now);
  if (listener_ != nullptr)
    listener_->OnGossipUpdate(rumour);
}

void GossipNode::AbsorbMember(const GossipUpdate& rumour, absl::Time now) {
  const auto state = static_cast<MemberState>(rumour.value);
  if (rumour.subject == self_.instance) {
    // Refute what is said of this process while it lives.
    const bool is_wrong = state != MemberState::kAlive && !is_leaving_ &&
                          rumour.version >= version_;
    if (is_wrong) {
      version_ = rumour.version + 1;
      QueueSelf(MemberState::kAlive, now);
    }
    return;
  }
  auto found = members_.find(rumour.subject);
  if (found == members_.end()) {
    if (state != MemberState::kAlive)
      return;
    MemberRow& row = members_[rumour.subject];
    row = {.name = rumour.subject,
           .address = rumour.address,
           .data_centre = rumour.data_centre,
           .version = rumour.version};
    SetMemberState(&row, state, now);
    return;
  }
  MemberRow& row = found->second;
  if (std::pair(rumour.version, state) <= std::pair(row.version, row.state))
    return;
  const bool is_known_seed = row.version == 0 && state == row.state;
  const bool is_same_state = row.state == state;
  row.version = rumour.version;
  if (!rumour.address.empty()) {
    row.address = rumour.address;
    row.data_centre = rumour.data_centre;
  }
  // Everyone has the platform's list: that what it names is there is no news.
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
  std::vector<std::string> helpers;
  for (const auto& [other, row] : members_) {
    if (other != name && row.state == MemberState::kAlive)
      helpers.push_back(other);
  }
  std::sort(helpers.begin(), helpers.end());
  std::shuffle(helpers.begin(), helpers.end(), random);
  if (helpers.size() > kIndirectProbes)
    helpers.resize(kIndirectProbes);
  if (helpers.empty())
    SetMemberState(&found->second, MemberState::kSuspect, now);
  return helpers;
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
    if (!IsOver(row.state))
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

#include "modules/gateway/instance_directory.h"

#include <algorithm>

#include "modules/net/socket_options.h"

namespace chicory {

InstanceDirectory::InstanceDirectory(GatewaySource* source,
                                     Membership* membership,
                                     EventLog& log)
    : source_(source), membership_(membership), log_(log) {}

void InstanceDirectory::Tick(absl::Time now) {
  if (now < next_reading_ || !membership_->ShouldBeListed(now))
    return;
  if (is_listed_) {
    next_reading_ = now + kReadInterval;
    source_->ReadInstances(Freshness::kMayBeStale);
    return;
  }
  next_reading_ = now + retry_interval_;
  retry_interval_ = std::min(retry_interval_ * 2, kMaxRetryInterval);
  source_->ListInstance(membership_->self());
  source_->ReadInstances(Freshness::kNewest);
}

void InstanceDirectory::OnInstances(const std::vector<InstanceIp>& instances,
                                    absl::Time now) {
  std::vector<InstanceIp> others = instances;
  const bool is_listed = std::erase(others, membership_->self()) > 0;
  if (is_listed != is_listed_) {
    log_.Write(is_listed ? "instance_listed" : "instance_unlisted",
               {{"others", others.size()},
                {"live_instances", membership_->LiveInstances(now)}});
  }
  is_listed_ = is_listed;
  if (!is_listed_) {
    // The list may have been read before this instance was added.
    next_reading_ = std::min(next_reading_, now + retry_interval_);
    return;
  }
  retry_interval_ = kRetryInterval;
  RemoveAbsent(others, now);
  membership_->SetListedInstances(std::move(others));
}

void InstanceDirectory::RemoveAbsent(const std::vector<InstanceIp>& others,
                                     absl::Time now) {
  std::map<InstanceIp, absl::Time> absent;
  for (InstanceIp other : others) {
    if (membership_->IsLive(other, now))
      continue;
    const auto known = absent_since_.find(other);
    absent[other] = known == absent_since_.end() ? now : known->second;
  }
  absent_since_ = std::move(absent);
  if (!membership_->KeepsList(now))
    return;
  for (const auto& [instance, since] : absent_since_) {
    if (now - since < kMaxAbsence)
      continue;
    log_.Write("absent_instance_unlisted",
               {{"instance", IpText(instance)},
                {"absent_s", absl::ToInt64Seconds(now - since)}});
    source_->UnlistInstance(instance);
  }
}

void InstanceDirectory::Leave() {
  if (is_listed_)
    source_->UnlistInstance(membership_->self());
}

}  // namespace chicory

#include "modules/decisions/lease_manager.h"

#include "nlohmann/json.hpp"

namespace chicory {

std::string LeaseRecord::ToJson() const {
  return nlohmann::ordered_json(
             {{"holder", holder}, {"fence", fence}, {"renewals", renewals}})
      .dump();
}

std::optional<LeaseRecord> LeaseRecord::FromJson(std::string_view text) {
  const auto json =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  try {
    return LeaseRecord{.holder = json.at("holder").get<std::string>(),
                       .fence = json.at("fence").get<uint64_t>(),
                       .renewals = json.at("renewals").get<uint64_t>()};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

LeaseAction LeaseManager::Tick(absl::Time now) {
  if (now < next_step_at_)
    return {};
  next_step_at_ = now + kRenewalPeriod;
  if (!is_record_known_)
    return {.step = LeaseStep::kRead};
  const bool is_own_record = record_.holder == instance_;
  LeaseRecord next = record_;
  if (is_releasing_) {
    held_until_ = absl::InfinitePast();
    if (!is_own_record)
      return {};
    next.holder.clear();
  } else if (is_own_record && now < held_until_) {
    ++next.renewals;
  } else if (record_.holder.empty() ||
             now - unchanged_since_ >= kTerm + kTakeoverMargin) {
    next.holder = instance_;
    ++next.fence;
    ++next.renewals;
  } else {
    return {.step = LeaseStep::kRead};
  }
  write_sent_at_ = now;
  written_record_ = next;
  return {
      .step = LeaseStep::kWrite, .record = next, .expected_version = version_};
}

void LeaseManager::OnRead(const std::optional<LeaseRecord>& record,
                          uint64_t version,
                          absl::Time now) {
  // A stale read must not replace a newer record.
  if (is_record_known_ && version <= version_)
    return;
  is_record_known_ = true;
  version_ = version;
  record_ = record.value_or(LeaseRecord{});
  unchanged_since_ = now;
  const bool is_own_write = record_.holder == instance_ &&
                            !record_.holder.empty() &&
                            record_.fence == written_record_.fence &&
                            record_.renewals == written_record_.renewals;
  // The response to the write was lost, but the write took effect.
  if (is_own_write && write_sent_at_ != absl::InfinitePast())
    held_until_ = write_sent_at_ + kTerm;
}

void LeaseManager::OnWritten(std::optional<ErrorCode> code, uint64_t version) {
  if (code.has_value()) {
    next_step_at_ = absl::InfinitePast();
    is_record_known_ = false;
    return;
  }
  record_ = written_record_;
  version_ = version;
  unchanged_since_ = write_sent_at_;
  held_until_ = record_.holder == instance_ && !record_.holder.empty()
                    ? write_sent_at_ + kTerm
                    : absl::InfinitePast();
}

bool LeaseManager::HoldsLease(absl::Time now) const {
  return !is_releasing_ && now < held_until_ - kSafetyMargin;
}

}  // namespace chicory

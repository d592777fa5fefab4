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
  if (now < next_step_)
    return {};
  next_step_ = now + kPeriod;
  if (!is_known_)
    return {.step = LeaseStep::kRead};
  const bool is_ours = record_.holder == instance_;
  LeaseRecord next = record_;
  if (is_releasing_) {
    held_until_ = absl::InfinitePast();
    if (!is_ours)
      return {};
    next.holder.clear();
  } else if (is_ours && now < held_until_) {
    ++next.renewals;
  } else if (record_.holder.empty() ||
             now - unchanged_since_ >= kTerm + kTakeoverMargin) {
    next.holder = instance_;
    ++next.fence;
    ++next.renewals;
  } else {
    return {.step = LeaseStep::kRead};
  }
  sent_at_ = now;
  sent_ = next;
  return {
      .step = LeaseStep::kWrite, .record = next, .expected_version = version_};
}

void LeaseManager::OnRead(const std::optional<LeaseRecord>& record,
                          uint64_t version,
                          absl::Time now) {
  // A stale read must not undo what is known.
  if (is_known_ && version <= version_)
    return;
  is_known_ = true;
  version_ = version;
  record_ = record.value_or(LeaseRecord{});
  unchanged_since_ = now;
  const bool is_our_write =
      record_.holder == instance_ && !record_.holder.empty() &&
      record_.fence == sent_.fence && record_.renewals == sent_.renewals;
  // The answer was lost, but the write took effect.
  if (is_our_write && sent_at_ != absl::InfinitePast())
    held_until_ = sent_at_ + kTerm;
}

void LeaseManager::OnWritten(std::optional<ErrorCode> code, uint64_t version) {
  if (code.has_value()) {
    next_step_ = absl::InfinitePast();
    is_known_ = false;
    return;
  }
  record_ = sent_;
  version_ = version;
  unchanged_since_ = sent_at_;
  held_until_ = record_.holder == instance_ && !record_.holder.empty()
                    ? sent_at_ + kTerm
                    : absl::InfinitePast();
}

bool LeaseManager::MayAct(absl::Time now) const {
  return !is_releasing_ && now < held_until_ - kStopBefore;
}

}  // namespace chicory

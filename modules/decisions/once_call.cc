#include "modules/decisions/once_call.h"

#include <cassert>
#include <utility>

#include "nlohmann/json.hpp"

namespace chicory {

const char* OnceStateName(OnceState state) {
  static constexpr const char* kNames[] = {"started", "abandoned", "done",
                                           "unknown"};
  return kNames[static_cast<int>(state)];
}

std::string OnceRecord::ToJson() const {
  const nlohmann::ordered_json json = {{"state", OnceStateName(state)},
                                       {"attempt", attempt},
                                       {"body_hash", body_hash},
                                       {"expires", expires_unix_seconds},
                                       {"status", status},
                                       {"content_type", content_type},
                                       {"body", body},
                                       {"body_omitted", body_omitted}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<OnceRecord> OnceRecord::FromJson(std::string_view text) {
  const auto json =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  OnceRecord record;
  try {
    const std::string state = json.at("state").get<std::string>();
    bool is_known = false;
    for (OnceState candidate : {OnceState::kStarted, OnceState::kAbandoned,
                                OnceState::kDone, OnceState::kUnknown}) {
      if (state != OnceStateName(candidate))
        continue;
      record.state = candidate;
      is_known = true;
    }
    if (!is_known)
      return std::nullopt;
    record.attempt = json.at("attempt").get<std::string>();
    record.body_hash = json.at("body_hash").get<std::string>();
    record.expires_unix_seconds = json.at("expires").get<int64_t>();
    record.status = json.at("status").get<int>();
    record.content_type = json.at("content_type").get<std::string>();
    record.body = json.at("body").get<std::string>();
    record.body_omitted = json.at("body_omitted").get<bool>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return record;
}

OnceCall::OnceCall(OnceRecord mine, absl::Time deadline)
    : mine_(std::move(mine)), deadline_(deadline) {
  assert(mine_.state == OnceState::kStarted);
}

OnceAction OnceCall::Begin() {
  return Claim();
}

OnceAction OnceCall::Claim() {
  writing_ = Writing::kClaim;
  OnceAction action{.record = mine_};
  action.step = claim_version_ == 0 ? OnceStep::kCreate : OnceStep::kUpdate;
  action.expected_version = claim_version_;
  return action;
}

OnceAction OnceCall::Reply(OnceReply reply, bool settle_later) const {
  return {.step = OnceStep::kReply,
          .record = mine_,
          .expected_version = version_,
          .reply = reply,
          .settle_later = settle_later};
}

OnceAction OnceCall::GiveUp() {
  mine_.state = OnceState::kAbandoned;
  return Reply(OnceReply::kNotRun, /*settle_later=*/maybe_claimed_);
}

OnceAction OnceCall::Send(uint64_t version, absl::Time now) {
  version_ = version;
  if (now >= deadline_)
    return Settle(OnceState::kAbandoned, OnceReply::kNotRun);
  return {.step = OnceStep::kSend, .record = mine_};
}

OnceAction OnceCall::Settle(OnceState state, OnceReply reply) {
  mine_.state = state;
  settled_reply_ = reply;
  writing_ = Writing::kSettle;
  return {
      .step = OnceStep::kUpdate, .record = mine_, .expected_version = version_};
}

OnceAction OnceCall::Wait(OnceReply at_deadline, absl::Time now) {
  if (now >= deadline_)
    return Reply(at_deadline, /*settle_later=*/false);
  return {.step = OnceStep::kWaitThenRead};
}

OnceAction OnceCall::OnWritten(std::optional<ErrorCode> code,
                               uint64_t version,
                               absl::Time now) {
  if (writing_ == Writing::kSettle)
    return Reply(settled_reply_, /*settle_later=*/code.has_value());
  if (!code.has_value())
    return Send(version, now);
  if (*code == ErrorCode::kConflict)
    return {.step = OnceStep::kRead};
  if (*code == ErrorCode::kOutcomeUnknown)
    maybe_claimed_ = true;
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return GiveUp();
  if (maybe_claimed_)
    return {.step = OnceStep::kRead};
  return GiveUp();
}

OnceAction OnceCall::OnRead(const OnceRecord& record,
                            uint64_t version,
                            absl::Time now) {
  // Ours: the claim took effect although its answer was lost.
  if (record.attempt == mine_.attempt && record.state == OnceState::kStarted)
    return Send(version, now);
  if (record.body_hash != mine_.body_hash)
    return Reply(OnceReply::kKeyReused, /*settle_later=*/false);
  switch (record.state) {
    case OnceState::kStarted:
      return Wait(OnceReply::kStillRunning, now);
    case OnceState::kAbandoned:
      if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
        return GiveUp();
      claim_version_ = version;
      return Claim();
    case OnceState::kDone: {
      OnceAction action = Reply(OnceReply::kReplay, /*settle_later=*/false);
      action.record = record;
      return action;
    }
    case OnceState::kUnknown:
      return Reply(OnceReply::kOutcomeUnknown, /*settle_later=*/false);
  }
  return GiveUp();
}

OnceAction OnceCall::OnReadFailed(ErrorCode code, absl::Time now) {
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return GiveUp();
  if (code == ErrorCode::kNotFound) {
    claim_version_ = 0;
    return Claim();
  }
  return {.step = OnceStep::kWaitThenRead};
}

OnceAction OnceCall::OnSent(OnceSent sent,
                            const OnceRecord& answer,
                            absl::Time) {
  switch (sent) {
    case OnceSent::kAnswered:
      mine_.status = answer.status;
      mine_.content_type = answer.content_type;
      mine_.body = answer.body;
      mine_.body_omitted = answer.body_omitted;
      return Settle(OnceState::kDone, OnceReply::kAnswer);
    case OnceSent::kNotRun:
      return Settle(OnceState::kAbandoned, OnceReply::kNotRun);
    case OnceSent::kUnknown:
      return Settle(OnceState::kUnknown, OnceReply::kOutcomeUnknown);
  }
  return GiveUp();
}

}  // namespace chicory

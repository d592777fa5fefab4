#include "modules/decisions/at_most_once_call.h"

#include <cassert>
#include <utility>

#include "nlohmann/json.hpp"

namespace chicory {

const char* OnceStateName(IdempotencyRecordState state) {
  static constexpr const char* kNames[] = {"started", "abandoned", "done",
                                           "unknown"};
  return kNames[static_cast<int>(state)];
}

std::string IdempotencyRecord::ToJson() const {
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

std::optional<IdempotencyRecord> IdempotencyRecord::FromJson(
    std::string_view text) {
  const auto json =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  IdempotencyRecord record;
  try {
    const std::string state = json.at("state").get<std::string>();
    bool is_known = false;
    for (IdempotencyRecordState candidate :
         {IdempotencyRecordState::kStarted, IdempotencyRecordState::kAbandoned,
          IdempotencyRecordState::kDone, IdempotencyRecordState::kUnknown}) {
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

AtMostOnceCall::AtMostOnceCall(IdempotencyRecord mine, absl::Time deadline)
    : mine_(std::move(mine)), deadline_(deadline) {
  assert(mine_.state == IdempotencyRecordState::kStarted);
}

AtMostOnceAction AtMostOnceCall::Begin() {
  return Claim();
}

AtMostOnceAction AtMostOnceCall::Claim() {
  writing_ = Writing::kClaim;
  AtMostOnceAction action{.record = mine_};
  action.step =
      claim_version_ == 0 ? AtMostOnceStep::kCreate : AtMostOnceStep::kUpdate;
  action.expected_version = claim_version_;
  return action;
}

AtMostOnceAction AtMostOnceCall::Reply(AtMostOnceReply reply,
                                       bool finalize_later) const {
  return {.step = AtMostOnceStep::kReply,
          .record = mine_,
          .expected_version = version_,
          .reply = reply,
          .finalize_later = finalize_later};
}

AtMostOnceAction AtMostOnceCall::GiveUp() {
  mine_.state = IdempotencyRecordState::kAbandoned;
  return Reply(AtMostOnceReply::kNotRun, /*finalize_later=*/maybe_claimed_);
}

AtMostOnceAction AtMostOnceCall::Send(uint64_t version, absl::Time now) {
  version_ = version;
  if (now >= deadline_)
    return Settle(IdempotencyRecordState::kAbandoned, AtMostOnceReply::kNotRun);
  return {.step = AtMostOnceStep::kSend, .record = mine_};
}

AtMostOnceAction AtMostOnceCall::Settle(IdempotencyRecordState state,
                                        AtMostOnceReply reply) {
  mine_.state = state;
  settled_reply_ = reply;
  writing_ = Writing::kSettle;
  return {.step = AtMostOnceStep::kUpdate,
          .record = mine_,
          .expected_version = version_};
}

AtMostOnceAction AtMostOnceCall::Wait(AtMostOnceReply at_deadline,
                                      absl::Time now) {
  if (now >= deadline_)
    return Reply(at_deadline, /*finalize_later=*/false);
  return {.step = AtMostOnceStep::kWaitThenRead};
}

AtMostOnceAction AtMostOnceCall::OnWritten(std::optional<ErrorCode> code,
                                           uint64_t version,
                                           absl::Time now) {
  if (writing_ == Writing::kSettle)
    return Reply(settled_reply_, /*finalize_later=*/code.has_value());
  if (!code.has_value())
    return Send(version, now);
  if (*code == ErrorCode::kConflict)
    return {.step = AtMostOnceStep::kRead};
  if (*code == ErrorCode::kOutcomeUnknown)
    maybe_claimed_ = true;
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return GiveUp();
  if (maybe_claimed_)
    return {.step = AtMostOnceStep::kRead};
  return GiveUp();
}

AtMostOnceAction AtMostOnceCall::OnRead(const IdempotencyRecord& record,
                                        uint64_t version,
                                        absl::Time now) {
  // Ours: the claim took effect although its answer was lost.
  if (record.attempt == mine_.attempt &&
      record.state == IdempotencyRecordState::kStarted)
    return Send(version, now);
  if (record.body_hash != mine_.body_hash)
    return Reply(AtMostOnceReply::kKeyReused, /*finalize_later=*/false);
  switch (record.state) {
    case IdempotencyRecordState::kStarted:
      return Wait(AtMostOnceReply::kStillRunning, now);
    case IdempotencyRecordState::kAbandoned:
      if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
        return GiveUp();
      claim_version_ = version;
      return Claim();
    case IdempotencyRecordState::kDone: {
      AtMostOnceAction action =
          Reply(AtMostOnceReply::kReplay, /*finalize_later=*/false);
      action.record = record;
      return action;
    }
    case IdempotencyRecordState::kUnknown:
      return Reply(AtMostOnceReply::kOutcomeUnknown, /*finalize_later=*/false);
  }
  return GiveUp();
}

AtMostOnceAction AtMostOnceCall::OnReadFailed(ErrorCode code, absl::Time now) {
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return GiveUp();
  if (code == ErrorCode::kNotFound) {
    claim_version_ = 0;
    return Claim();
  }
  return {.step = AtMostOnceStep::kWaitThenRead};
}

AtMostOnceAction AtMostOnceCall::OnCallFinished(AtMostOnceSent sent,
                                                const IdempotencyRecord& answer,
                                                absl::Time) {
  switch (sent) {
    case AtMostOnceSent::kResponseReceived:
      mine_.status = answer.status;
      mine_.content_type = answer.content_type;
      mine_.body = answer.body;
      mine_.body_omitted = answer.body_omitted;
      return Settle(IdempotencyRecordState::kDone,
                    AtMostOnceReply::kServiceResponse);
    case AtMostOnceSent::kNotRun:
      return Settle(IdempotencyRecordState::kAbandoned,
                    AtMostOnceReply::kNotRun);
    case AtMostOnceSent::kUnknown:
      return Settle(IdempotencyRecordState::kUnknown,
                    AtMostOnceReply::kOutcomeUnknown);
  }
  return GiveUp();
}

}  // namespace chicory

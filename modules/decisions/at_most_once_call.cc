#include "modules/decisions/at_most_once_call.h"

#include <cassert>
#include <utility>

#include "nlohmann/json.hpp"

namespace chicory {

const char* IdempotencyRecordStateName(IdempotencyRecordState state) {
  static constexpr const char* kNames[] = {"started", "abandoned", "done",
                                           "unknown"};
  return kNames[static_cast<int>(state)];
}

std::string IdempotencyRecord::ToJson() const {
  const nlohmann::ordered_json json = {
      {"state", IdempotencyRecordStateName(state)},
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
      if (state != IdempotencyRecordStateName(candidate))
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

AtMostOnceCall::AtMostOnceCall(IdempotencyRecord own_record,
                               absl::Time deadline)
    : own_record_(std::move(own_record)), deadline_(deadline) {
  assert(own_record_.state == IdempotencyRecordState::kStarted);
}

AtMostOnceAction AtMostOnceCall::Begin() {
  return Claim();
}

AtMostOnceAction AtMostOnceCall::Claim() {
  write_purpose_ = WritePurpose::kClaim;
  AtMostOnceAction action{.record = own_record_};
  action.step =
      claim_version_ == 0 ? AtMostOnceStep::kCreate : AtMostOnceStep::kUpdate;
  action.expected_version = claim_version_;
  return action;
}

AtMostOnceAction AtMostOnceCall::Reply(AtMostOnceReply reply,
                                       bool finalize_later) const {
  return {.step = AtMostOnceStep::kReply,
          .record = own_record_,
          .expected_version = own_version_,
          .reply = reply,
          .finalize_later = finalize_later};
}

AtMostOnceAction AtMostOnceCall::Abandon() {
  own_record_.state = IdempotencyRecordState::kAbandoned;
  return Reply(AtMostOnceReply::kNotRun,
               /*finalize_later=*/claim_may_have_succeeded_);
}

AtMostOnceAction AtMostOnceCall::SendOrAbandon(uint64_t version,
                                               absl::Time now) {
  own_version_ = version;
  if (now >= deadline_)
    return Finalize(IdempotencyRecordState::kAbandoned,
                    AtMostOnceReply::kNotRun);
  return {.step = AtMostOnceStep::kSend, .record = own_record_};
}

AtMostOnceAction AtMostOnceCall::Finalize(IdempotencyRecordState state,
                                          AtMostOnceReply reply) {
  own_record_.state = state;
  final_reply_ = reply;
  write_purpose_ = WritePurpose::kFinalize;
  return {.step = AtMostOnceStep::kUpdate,
          .record = own_record_,
          .expected_version = own_version_};
}

AtMostOnceAction AtMostOnceCall::WaitOrReply(AtMostOnceReply reply_at_deadline,
                                             absl::Time now) {
  if (now >= deadline_)
    return Reply(reply_at_deadline, /*finalize_later=*/false);
  return {.step = AtMostOnceStep::kWaitThenRead};
}

AtMostOnceAction AtMostOnceCall::OnWritten(std::optional<ErrorCode> code,
                                           uint64_t version,
                                           absl::Time now) {
  if (write_purpose_ == WritePurpose::kFinalize)
    return Reply(final_reply_, /*finalize_later=*/code.has_value());
  if (!code.has_value())
    return SendOrAbandon(version, now);
  if (*code == ErrorCode::kConflict)
    return {.step = AtMostOnceStep::kRead};
  if (*code == ErrorCode::kOutcomeUnknown)
    claim_may_have_succeeded_ = true;
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return Abandon();
  if (claim_may_have_succeeded_)
    return {.step = AtMostOnceStep::kRead};
  return Abandon();
}

AtMostOnceAction AtMostOnceCall::OnRead(const IdempotencyRecord& record,
                                        uint64_t version,
                                        absl::Time now) {
  // Our own record: the claim took effect although its response was lost.
  if (record.attempt == own_record_.attempt &&
      record.state == IdempotencyRecordState::kStarted)
    return SendOrAbandon(version, now);
  if (record.body_hash != own_record_.body_hash)
    return Reply(AtMostOnceReply::kKeyReused, /*finalize_later=*/false);
  switch (record.state) {
    case IdempotencyRecordState::kStarted:
      return WaitOrReply(AtMostOnceReply::kStillRunning, now);
    case IdempotencyRecordState::kAbandoned:
      if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
        return Abandon();
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
  return Abandon();
}

AtMostOnceAction AtMostOnceCall::OnReadFailed(ErrorCode code, absl::Time now) {
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return Abandon();
  if (code == ErrorCode::kNotFound) {
    claim_version_ = 0;
    return Claim();
  }
  return {.step = AtMostOnceStep::kWaitThenRead};
}

AtMostOnceAction AtMostOnceCall::OnCallFinished(
    AtMostOnceCallResult result,
    const IdempotencyRecord& response,
    absl::Time) {
  switch (result) {
    case AtMostOnceCallResult::kResponseReceived:
      own_record_.status = response.status;
      own_record_.content_type = response.content_type;
      own_record_.body = response.body;
      own_record_.body_omitted = response.body_omitted;
      return Finalize(IdempotencyRecordState::kDone,
                      AtMostOnceReply::kServiceResponse);
    case AtMostOnceCallResult::kNotRun:
      return Finalize(IdempotencyRecordState::kAbandoned,
                      AtMostOnceReply::kNotRun);
    case AtMostOnceCallResult::kUnknown:
      return Finalize(IdempotencyRecordState::kUnknown,
                      AtMostOnceReply::kOutcomeUnknown);
  }
  return Abandon();
}

}  // namespace chicory

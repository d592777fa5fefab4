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

OnceCall::OnceCall(OnceRecord own_record, absl::Time deadline)
    : own_record_(std::move(own_record)), deadline_(deadline) {
  assert(own_record_.state == OnceState::kStarted);
}

OnceAction OnceCall::Begin() {
  return Claim();
}

OnceAction OnceCall::Claim() {
  write_purpose_ = WritePurpose::kClaim;
  OnceAction action{.record = own_record_};
  action.step = claim_version_ == 0 ? OnceStep::kCreate : OnceStep::kUpdate;
  action.expected_version = claim_version_;
  return action;
}

OnceAction OnceCall::Reply(OnceReply reply, bool settle_later) const {
  return {.step = OnceStep::kReply,
          .record = own_record_,
          .expected_version = own_version_,
          .reply = reply,
          .settle_later = settle_later};
}

OnceAction OnceCall::Abandon() {
  own_record_.state = OnceState::kAbandoned;
  return Reply(OnceReply::kNotRun, /*settle_later=*/claim_may_have_succeeded_);
}

OnceAction OnceCall::SendOrAbandon(uint64_t version, absl::Time now) {
  own_version_ = version;
  if (now >= deadline_)
    return Finalize(OnceState::kAbandoned, OnceReply::kNotRun);
  return {.step = OnceStep::kSend, .record = own_record_};
}

OnceAction OnceCall::Finalize(OnceState state, OnceReply reply) {
  own_record_.state = state;
  final_reply_ = reply;
  write_purpose_ = WritePurpose::kFinalize;
  return {.step = OnceStep::kUpdate,
          .record = own_record_,
          .expected_version = own_version_};
}

OnceAction OnceCall::WaitOrReply(OnceReply reply_at_deadline, absl::Time now) {
  if (now >= deadline_)
    return Reply(reply_at_deadline, /*settle_later=*/false);
  return {.step = OnceStep::kWaitThenRead};
}

OnceAction OnceCall::OnWritten(std::optional<ErrorCode> code,
                               uint64_t version,
                               absl::Time now) {
  if (write_purpose_ == WritePurpose::kFinalize)
    return Reply(final_reply_, /*settle_later=*/code.has_value());
  if (!code.has_value())
    return SendOrAbandon(version, now);
  if (*code == ErrorCode::kConflict)
    return {.step = OnceStep::kRead};
  if (*code == ErrorCode::kOutcomeUnknown)
    claim_may_have_succeeded_ = true;
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return Abandon();
  if (claim_may_have_succeeded_)
    return {.step = OnceStep::kRead};
  return Abandon();
}

OnceAction OnceCall::OnRead(const OnceRecord& record,
                            uint64_t version,
                            absl::Time now) {
  // Our own record: the claim took effect although its response was lost.
  if (record.attempt == own_record_.attempt &&
      record.state == OnceState::kStarted)
    return SendOrAbandon(version, now);
  if (record.body_hash != own_record_.body_hash)
    return Reply(OnceReply::kKeyReused, /*settle_later=*/false);
  switch (record.state) {
    case OnceState::kStarted:
      return WaitOrReply(OnceReply::kStillRunning, now);
    case OnceState::kAbandoned:
      if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
        return Abandon();
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
  return Abandon();
}

OnceAction OnceCall::OnReadFailed(ErrorCode code, absl::Time now) {
  if (++store_failures_ >= kMaxStoreFailures || now >= deadline_)
    return Abandon();
  if (code == ErrorCode::kNotFound) {
    claim_version_ = 0;
    return Claim();
  }
  return {.step = OnceStep::kWaitThenRead};
}

OnceAction OnceCall::OnSent(OnceSent result,
                            const OnceRecord& response,
                            absl::Time) {
  switch (result) {
    case OnceSent::kAnswered:
      own_record_.status = response.status;
      own_record_.content_type = response.content_type;
      own_record_.body = response.body;
      own_record_.body_omitted = response.body_omitted;
      return Finalize(OnceState::kDone, OnceReply::kAnswer);
    case OnceSent::kNotRun:
      return Finalize(OnceState::kAbandoned, OnceReply::kNotRun);
    case OnceSent::kUnknown:
      return Finalize(OnceState::kUnknown, OnceReply::kOutcomeUnknown);
  }
  return Abandon();
}

}  // namespace chicory

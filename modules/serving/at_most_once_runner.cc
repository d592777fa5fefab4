#include "modules/serving/at_most_once_runner.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "modules/core/log.h"

namespace chicory {

namespace {

constexpr absl::Duration kFirstRunPollInterval = absl::Milliseconds(100);
constexpr absl::Duration kFinalizeInterval = absl::Seconds(1);
constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);

/** Maximum number of records whose final state is still to be written. Beyond
    it the oldest are dropped; one that stays in the state kStarted makes later
    calls under its key fail with the run state "outcome unknown". */
constexpr size_t kMaxPendingRecords = 10000;

std::string ObjectKeyOf(const std::string& key) {
  const std::string hash = Sha256Hex(key);
  return absl::StrCat("once/", hash.substr(0, 2), "/", hash);
}

std::optional<ErrorCode> ErrorCodeOf(bool ok, const Error& error) {
  if (ok)
    return std::nullopt;
  return error.code;
}

}  // namespace

AtMostOnceRunner::AtMostOnceRunner(const Options& options,
                                   ObjectStore* store,
                                   Timeline* timeline)
    : options_(options), store_(store), timeline_(timeline) {}

AtMostOnceRunner::~AtMostOnceRunner() {
  Stop();
}

void AtMostOnceRunner::Start() {
  thread_ = std::thread([this] { RunFinalizer(); });
}

void AtMostOnceRunner::Stop() {
  is_stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

size_t AtMostOnceRunner::pending_records() const {
  absl::MutexLock lock(&mutex_);
  return pending_records_.size();
}

std::string AtMostOnceRunner::ToStoredJson(
    const IdempotencyRecord& record) const {
  if (record.body.size() <= options_.max_response_bytes)
    return record.ToJson();
  IdempotencyRecord stored = record;
  stored.body.clear();
  stored.body_omitted = true;
  return stored.ToJson();
}

AtMostOnceRunner::Outcome AtMostOnceRunner::Run(const Request& request,
                                                const SendFunction& send) {
  const std::string object = ObjectKeyOf(request.key);
  AtMostOnceCall call({.state = IdempotencyRecordState::kStarted,
                       .attempt = request.attempt,
                       .body_hash = request.body_hash,
                       .expires_unix_seconds = absl::ToUnixSeconds(
                           absl::Now() + options_.retention)},
                      request.deadline);
  AtMostOnceAction action = call.Begin();
  while (action.step != AtMostOnceStep::kReply) {
    switch (action.step) {
      case AtMostOnceStep::kCreate:
      case AtMostOnceStep::kUpdate: {
        const auto written = Capture([&] {
          return store_->Write(object, ToStoredJson(action.record),
                               action.expected_version);
        });
        action = call.OnWritten(ErrorCodeOf(written.ok, written.error),
                                written.value, absl::Now());
        break;
      }
      case AtMostOnceStep::kWaitThenRead:
        absl::SleepFor(kFirstRunPollInterval);
        [[fallthrough]];
      case AtMostOnceStep::kRead: {
        const auto read = Capture([&] { return store_->Read(object); });
        if (!read.ok) {
          action = call.OnReadFailed(read.error.code, absl::Now());
          break;
        }
        const auto record = IdempotencyRecord::FromJson(read.value.value);
        action = record ? call.OnRead(*record, read.value.version, absl::Now())
                        : call.OnReadFailed(ErrorCode::kInvalid, absl::Now());
        break;
      }
      case AtMostOnceStep::kSend: {
        timeline_->Record(absl::Now(),
                          TimelineEventKind::kIdempotencyRecordWritten,
                          request.attempt, {});
        IdempotencyRecord result;
        const AtMostOnceCallResult sent = send(&result);
        action = call.OnCallFinished(sent, result, absl::Now());
        break;
      }
      case AtMostOnceStep::kReply:
        break;
    }
  }
  if (action.finalize_later) {
    absl::MutexLock lock(&mutex_);
    if (pending_records_.size() >= kMaxPendingRecords)
      pending_records_.pop_front();
    pending_records_.push_back({object, action.record});
  }
  if (action.reply == AtMostOnceReply::kReplay)
    timeline_->Record(absl::Now(),
                      TimelineEventKind::kIdempotentResponseReplayed,
                      request.attempt, {{"first", action.record.attempt}});
  return {.reply = action.reply, .result = action.record};
}

bool AtMostOnceRunner::TryFinalize(const PendingRecord& entry) {
  const auto read = Capture([&] { return store_->Read(entry.object); });
  uint64_t version = 0;
  if (read.ok) {
    const auto current = IdempotencyRecord::FromJson(read.value.value);
    // The record is final already, or belongs to another attempt by now.
    if (!current || current->attempt != entry.record.attempt ||
        current->state != IdempotencyRecordState::kStarted) {
      return true;
    }
    version = read.value.version;
  } else if (read.error.code != ErrorCode::kNotFound) {
    return false;
  }
  // A record that does not exist is created, so that a delayed write of this
  // attempt's claim cannot take effect afterwards.
  const auto written = Capture([&] {
    return store_->Write(entry.object, ToStoredJson(entry.record), version);
  });
  return written.ok;
}

void AtMostOnceRunner::RunFinalizer() {
  while (true) {
    const bool is_last_pass = is_stopping_;
    std::deque<PendingRecord> entries;
    {
      absl::MutexLock lock(&mutex_);
      entries.swap(pending_records_);
    }
    for (PendingRecord& entry : entries) {
      if (TryFinalize(entry))
        continue;
      absl::MutexLock lock(&mutex_);
      pending_records_.push_back(std::move(entry));
    }
    if (is_last_pass)
      return;
    const absl::Time until = absl::Now() + kFinalizeInterval;
    while (!is_stopping_ && absl::Now() < until)
      absl::SleepFor(kStopCheckInterval);
  }
}

}  // namespace chicory

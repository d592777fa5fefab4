#include "modules/serving/at_most_once_runner.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "modules/core/log.h"

namespace chicory {

namespace {

constexpr absl::Duration kWaitForFirstRun = absl::Milliseconds(100);
constexpr absl::Duration kSettlePause = absl::Seconds(1);
constexpr absl::Duration kStopPoll = absl::Milliseconds(50);

/** Records that may wait to be settled; past it the oldest are dropped, and
    their keys answer "outcome unknown". */
constexpr size_t kMaxUnsettled = 10000;

std::string ObjectOf(const std::string& key) {
  const std::string hash = Sha256Hex(key);
  return absl::StrCat("once/", hash.substr(0, 2), "/", hash);
}

std::optional<ErrorCode> CodeOf(bool ok, const Error& error) {
  if (ok)
    return std::nullopt;
  return error.code;
}

}  // namespace

AtMostOnceRunner::AtMostOnceRunner(const Options& options,
                                   ObjectStore* store,
                                   Timeline* time_line)
    : options_(options), store_(store), time_line_(time_line) {}

AtMostOnceRunner::~AtMostOnceRunner() {
  Stop();
}

void AtMostOnceRunner::Start() {
  thread_ = std::thread([this] { SettleLater(); });
}

void AtMostOnceRunner::Stop() {
  is_stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

size_t AtMostOnceRunner::unsettled() const {
  absl::MutexLock lock(&mutex_);
  return unsettled_.size();
}

std::string AtMostOnceRunner::TextToKeep(
    const IdempotencyRecord& record) const {
  if (record.body.size() <= options_.max_answer_bytes)
    return record.ToJson();
  IdempotencyRecord kept = record;
  kept.body.clear();
  kept.body_omitted = true;
  return kept.ToJson();
}

AtMostOnceRunner::Outcome AtMostOnceRunner::Run(const Request& request,
                                                const SendFunction& send) {
  const std::string object = ObjectOf(request.key);
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
          return store_->Write(object, TextToKeep(action.record),
                               action.expected_version);
        });
        action = call.OnWritten(CodeOf(written.ok, written.error),
                                written.value, absl::Now());
        break;
      }
      case AtMostOnceStep::kWaitThenRead:
        absl::SleepFor(kWaitForFirstRun);
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
        time_line_->Record(absl::Now(),
                           TimelineEventKind::kIdempotencyRecordWritten,
                           request.attempt, {});
        IdempotencyRecord result;
        const AtMostOnceSent sent = send(&result);
        action = call.OnCallFinished(sent, result, absl::Now());
        break;
      }
      case AtMostOnceStep::kReply:
        break;
    }
  }
  if (action.finalize_later) {
    absl::MutexLock lock(&mutex_);
    if (unsettled_.size() >= kMaxUnsettled)
      unsettled_.pop_front();
    unsettled_.push_back({object, action.record});
  }
  if (action.reply == AtMostOnceReply::kReplay)
    time_line_->Record(absl::Now(),
                       TimelineEventKind::kIdempotentResponseReplayed,
                       request.attempt, {{"first", action.record.attempt}});
  return {.reply = action.reply, .result = action.record};
}

bool AtMostOnceRunner::TrySettle(const Unsettled& entry) {
  const auto read = Capture([&] { return store_->Read(entry.object); });
  uint64_t version = 0;
  if (read.ok) {
    const auto present = IdempotencyRecord::FromJson(read.value.value);
    // Settled already, or another attempt's by now.
    if (!present || present->attempt != entry.record.attempt ||
        present->state != IdempotencyRecordState::kStarted) {
      return true;
    }
    version = read.value.version;
  } else if (read.error.code != ErrorCode::kNotFound) {
    return false;
  }
  // Created if nothing is there, so that a late claim of ours cannot land.
  const auto written = Capture([&] {
    return store_->Write(entry.object, TextToKeep(entry.record), version);
  });
  return written.ok;
}

void AtMostOnceRunner::SettleLater() {
  while (true) {
    const bool is_last_try = is_stopping_;
    std::deque<Unsettled> entries;
    {
      absl::MutexLock lock(&mutex_);
      entries.swap(unsettled_);
    }
    for (Unsettled& entry : entries) {
      if (TrySettle(entry))
        continue;
      absl::MutexLock lock(&mutex_);
      unsettled_.push_back(std::move(entry));
    }
    if (is_last_try)
      return;
    const absl::Time until = absl::Now() + kSettlePause;
    while (!is_stopping_ && absl::Now() < until)
      absl::SleepFor(kStopPoll);
  }
}

}  // namespace chicory

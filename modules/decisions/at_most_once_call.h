#ifndef MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_
#define MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** State of an idempotency record. */
enum class IdempotencyRecordState {
  /** The call may be in progress or may have run. Never taken over by another
      attempt. */
  kStarted,
  /** The call did not run, and the attempt will not send it again. Another
      attempt may take the record over. */
  kAbandoned,
  /** The call ran, and the record holds its response. */
  kDone,
  /** The call was sent and no response was received, so that it may have run.
      It is never sent again. */
  kUnknown,
};

/** Returns the name of a state as the stored record has it. */
const char* IdempotencyRecordStateName(IdempotencyRecordState state);

/** The idempotency record of a call, as the object API stores it. */
struct IdempotencyRecord {
  IdempotencyRecordState state = IdempotencyRecordState::kStarted;
  /** Id of the attempt that owns the record. */
  std::string attempt;
  /** Hash of the request body; distinguishes a repetition of the call from
      another call with the same idempotency key. */
  std::string body_hash;
  /** Unix time in seconds after which the record is no longer needed. */
  int64_t expires_unix_seconds = 0;
  /** The response; valid in kDone. */
  int status = 0;
  std::string content_type;
  std::string body;
  /** True if the response body was too large to store. */
  bool body_omitted = false;

  /** Returns the record in the form in which it is stored. */
  std::string ToJson() const;
  /** Returns nothing if `text` is not a valid record. */
  static std::optional<IdempotencyRecord> FromJson(std::string_view text);

  friend bool operator==(const IdempotencyRecord&,
                         const IdempotencyRecord&) = default;
};

/** Operation that AtMostOnceCall asks its owner for. */
enum class AtMostOnceStep {
  /** Write `record` if the object does not exist. */
  kCreate,
  /** Write `record` if the object has `expected_version`. */
  kUpdate,
  /** Read the record. */
  kRead,
  /** Wait briefly, then read the record. */
  kWaitThenRead,
  /** Send the call to the service. */
  kSend,
  /** Respond to the caller; the last step. */
  kReply,
};

/** Outcome of a call, as reported to the caller. */
enum class AtMostOnceReply {
  /** The response that the service gave to this attempt. */
  kServiceResponse,
  /** The stored response of an earlier attempt. */
  kReplay,
  /** The call did not run and will not. */
  kNotRun,
  /** The idempotency key belongs to another call; this one did not run. */
  kKeyReused,
  /** The call was sent once, and whether it ran is unknown. */
  kOutcomeUnknown,
  /** An earlier attempt is still in progress. */
  kStillRunning,
};

/** The next operation of an AtMostOnceCall. */
struct AtMostOnceAction {
  AtMostOnceStep step = AtMostOnceStep::kReply;
  IdempotencyRecord record;
  uint64_t expected_version = 0;
  /** The outcome to report; valid for kReply. */
  AtMostOnceReply reply = AtMostOnceReply::kNotRun;
  /** Set on kReply if `record` still has to be written once the store is
      available, over `expected_version` or as a new object. */
  bool finalize_later = false;
};

/** Result of sending the call: a response was received, the call was certainly
    not executed, or it is unknown whether it was. */
enum class AtMostOnceCallResult { kResponseReceived, kNotRun, kUnknown };

/** State machine that runs one non-idempotent call at most once over all
    instances.

    A record is created before the call is sent, and only the attempt that the
    record names sends the call. A record in kStarted is never taken over, so
    that an owner that was paused for any length of time remains the only
    sender. Lost responses of the store are resolved by reading the record back.

    The class does no I/O: its owner executes the actions and reports their
    results. Not thread-safe.
    @see AtMostOnceRunner */
class AtMostOnceCall {
 public:
  /** `own_record` is the record to create, in kStarted. After `deadline` the
      call is no longer sent. */
  AtMostOnceCall(IdempotencyRecord own_record, absl::Time deadline);

  /** Returns the first action. */
  AtMostOnceAction Begin();

  /** Called when a kCreate or kUpdate ended. On success `code` is empty and
      `version` is the new version of the record. Returns the next action, as do
      the other functions below. */
  AtMostOnceAction OnWritten(std::optional<ErrorCode> code,
                             uint64_t version,
                             absl::Time now);

  /** Called when a read returned a record, with its version. */
  AtMostOnceAction OnRead(const IdempotencyRecord& record,
                          uint64_t version,
                          absl::Time now);

  /** Called when a read returned no record: kNotFound or a failure. */
  AtMostOnceAction OnReadFailed(ErrorCode code, absl::Time now);

  /** Called when a kSend ended. `response` holds status, content type and body
      of the response, if there is one. */
  AtMostOnceAction OnCallFinished(AtMostOnceCallResult result,
                                  const IdempotencyRecord& response,
                                  absl::Time now);

 private:
  /** Purpose of the write in progress. */
  enum class WritePurpose { kClaim, kFinalize };

  /** Store failures and takeovers of abandoned records after which the call is
      abandoned. */
  static constexpr int kMaxStoreFailures = 5;

  AtMostOnceAction SendOrAbandon(uint64_t version, absl::Time now);
  AtMostOnceAction Claim();
  AtMostOnceAction Abandon();
  AtMostOnceAction Finalize(IdempotencyRecordState state,
                            AtMostOnceReply reply);
  AtMostOnceAction Reply(AtMostOnceReply reply, bool finalize_later) const;
  AtMostOnceAction WaitOrReply(AtMostOnceReply reply_at_deadline,
                               absl::Time now);

  IdempotencyRecord own_record_;
  absl::Time deadline_;
  WritePurpose write_purpose_ = WritePurpose::kClaim;
  AtMostOnceReply final_reply_ = AtMostOnceReply::kNotRun;
  /** Version of the record to take over; 0 to create one. */
  uint64_t claim_version_ = 0;
  /** Version of this attempt's own record. */
  uint64_t own_version_ = 0;
  /** True if a claim whose response was lost may have taken effect, or may
      still do so. */
  bool claim_may_have_succeeded_ = false;
  int store_failures_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_

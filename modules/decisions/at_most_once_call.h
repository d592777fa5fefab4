#ifndef MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_
#define MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** What the record of a call that may not be repeated says. */
enum class IdempotencyRecordState {
  /** An attempt may be on its way or may have run. Never taken over. */
  kStarted,
  /** The attempt gave up before it sent anything, and never will. */
  kAbandoned,
  /** The call ran and this is its answer. */
  kDone,
  /** The call was sent and no answer came. Never sent again. */
  kUnknown,
};

/** The stable name of a state. */
const char* OnceStateName(IdempotencyRecordState state);

/** The record that the platform keeps of a call that may not be repeated. */
struct IdempotencyRecord {
  IdempotencyRecordState state = IdempotencyRecordState::kStarted;
  /** The attempt that owns the record. */
  std::string attempt;
  /** Tells the same call from another one under the same key. */
  std::string body_hash;
  /** After this nobody needs the record. */
  int64_t expires_unix_seconds = 0;
  /** The answer; meaningful in kDone. */
  int status = 0;
  std::string content_type;
  std::string body;
  /** True when the answer was too large to keep. */
  bool body_omitted = false;

  std::string ToJson() const;
  static std::optional<IdempotencyRecord> FromJson(std::string_view text);

  friend bool operator==(const IdempotencyRecord&,
                         const IdempotencyRecord&) = default;
};

/** What the shell does next for a call. */
enum class AtMostOnceStep {
  /** Write `record` if the key does not exist. */
  kCreate,
  /** Write `record` if the object has `expected_version`. */
  kUpdate,
  /** Read the record. */
  kRead,
  /** Wait a little, then read the record. */
  kWaitThenRead,
  /** Send the call to the service. */
  kSend,
  /** Answer the caller; the last step. */
  kReply,
};

/** How the caller is answered. */
enum class AtMostOnceReply {
  /** The service's answer of this very attempt. */
  kServiceResponse,
  /** The recorded answer of the first run. */
  kReplay,
  /** It truly did not run and will not. */
  kNotRun,
  /** The key was used for another call; this one did not run. */
  kKeyReused,
  /** It was sent once and nobody knows what became of it. */
  kOutcomeUnknown,
  /** The first run is still under way. */
  kStillRunning,
};

/** One action of AtMostOnceCall. */
struct AtMostOnceAction {
  AtMostOnceStep step = AtMostOnceStep::kReply;
  IdempotencyRecord record;
  uint64_t expected_version = 0;
  AtMostOnceReply reply = AtMostOnceReply::kNotRun;
  /** On kReply: `record` still has to be written when the store allows it,
      with `expected_version`, or created if nothing is there. */
  bool finalize_later = false;
};

/** What came of sending the call. */
enum class AtMostOnceSent { kResponseReceived, kNotRun, kUnknown };

/** Runs one call that may not be repeated at most once over all instances.

    A record is created before the call is sent; only the attempt that the
    record names sends. A record in kStarted is never taken over, so a holder
    that was paused for any time still is the only one to send. Lost answers of
    the store are resolved by reading back. The class does no I/O: it says what
    to do and is told what came of it. Not thread-safe.
    @see AtMostOnceRunner */
class AtMostOnceCall {
 public:
  /** `mine` is the record to create, in kStarted. */
  AtMostOnceCall(IdempotencyRecord mine, absl::Time deadline);

  /** The first action. */
  AtMostOnceAction Begin();

  /** A kCreate or kUpdate ended; `code` is empty on success. */
  AtMostOnceAction OnWritten(std::optional<ErrorCode> code,
                             uint64_t version,
                             absl::Time now);

  /** A read ended with a record. */
  AtMostOnceAction OnRead(const IdempotencyRecord& record,
                          uint64_t version,
                          absl::Time now);

  /** A read ended without one: kNotFound or a failure. */
  AtMostOnceAction OnReadFailed(ErrorCode code, absl::Time now);

  /** The service was called. `answer` holds status, type and body. */
  AtMostOnceAction OnCallFinished(AtMostOnceSent sent,
                                  const IdempotencyRecord& answer,
                                  absl::Time now);

 private:
  /** What the write under way is for. */
  enum class Writing { kClaim, kSettle };

  /** Store failures that one call works through before it gives up. */
  static constexpr int kMaxStoreFailures = 5;

  AtMostOnceAction Send(uint64_t version, absl::Time now);
  AtMostOnceAction Claim();
  AtMostOnceAction GiveUp();
  AtMostOnceAction Settle(IdempotencyRecordState state, AtMostOnceReply reply);
  AtMostOnceAction Reply(AtMostOnceReply reply, bool finalize_later) const;
  AtMostOnceAction Wait(AtMostOnceReply at_deadline, absl::Time now);

  IdempotencyRecord mine_;
  absl::Time deadline_;
  Writing writing_ = Writing::kClaim;
  AtMostOnceReply settled_reply_ = AtMostOnceReply::kNotRun;
  /** Version to claim over; 0 to create. */
  uint64_t claim_version_ = 0;
  /** Version of our own record. */
  uint64_t version_ = 0;
  /** True when a claim of ours may have taken effect or still may. */
  bool maybe_claimed_ = false;
  int store_failures_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_AT_MOST_ONCE_CALL_H_

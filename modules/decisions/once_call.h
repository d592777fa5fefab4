#ifndef MODULES_DECISIONS_ONCE_CALL_H_
#define MODULES_DECISIONS_ONCE_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** What the record of a call that may not be repeated says. */
enum class OnceState {
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
const char* OnceStateName(OnceState state);

/** The record that the platform keeps of a call that may not be repeated. */
struct OnceRecord {
  OnceState state = OnceState::kStarted;
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
  static std::optional<OnceRecord> FromJson(std::string_view text);

  friend bool operator==(const OnceRecord&, const OnceRecord&) = default;
};

/** What the shell does next for a call. */
enum class OnceStep {
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
enum class OnceReply {
  /** The service's answer of this very attempt. */
  kAnswer,
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

/** One action of OnceCall. */
struct OnceAction {
  OnceStep step = OnceStep::kReply;
  OnceRecord record;
  uint64_t expected_version = 0;
  OnceReply reply = OnceReply::kNotRun;
  /** On kReply: `record` still has to be written when the store allows it,
      with `expected_version`, or created if nothing is there. */
  bool settle_later = false;
};

/** What came of sending the call. */
enum class OnceSent { kAnswered, kNotRun, kUnknown };

/** Runs one call that may not be repeated at most once over all instances.

    A record is created before the call is sent; only the attempt that the
    record names sends. A record in kStarted is never taken over, so a holder
    that was paused for any time still is the only one to send. Lost answers of
    the store are resolved by reading back. The class does no I/O: it says what
    to do and is told what came of it. Not thread-safe.
    @see OnceRunner */
class OnceCall {
 public:
  /** `mine` is the record to create, in kStarted. */
  OnceCall(OnceRecord mine, absl::Time deadline);

  /** The first action. */
  OnceAction Begin();

  /** A kCreate or kUpdate ended; `code` is empty on success. */
  OnceAction OnWritten(std::optional<ErrorCode> code,
                       uint64_t version,
                       absl::Time now);

  /** A read ended with a record. */
  OnceAction OnRead(const OnceRecord& record, uint64_t version, absl::Time now);

  /** A read ended without one: kNotFound or a failure. */
  OnceAction OnReadFailed(ErrorCode code, absl::Time now);

  /** The service was called. `answer` holds status, type and body. */
  OnceAction OnSent(OnceSent sent, const OnceRecord& answer, absl::Time now);

 private:
  /** What the write under way is for. */
  enum class Writing { kClaim, kSettle };

  /** Store failures that one call works through before it gives up. */
  static constexpr int kMaxStoreFailures = 5;

  OnceAction Send(uint64_t version, absl::Time now);
  OnceAction Claim();
  OnceAction GiveUp();
  OnceAction Settle(OnceState state, OnceReply reply);
  OnceAction Reply(OnceReply reply, bool settle_later) const;
  OnceAction Wait(OnceReply at_deadline, absl::Time now);

  OnceRecord mine_;
  absl::Time deadline_;
  Writing writing_ = Writing::kClaim;
  OnceReply settled_reply_ = OnceReply::kNotRun;
  /** Version to claim over; 0 to create. */
  uint64_t claim_version_ = 0;
  /** Version of our own record. */
  uint64_t version_ = 0;
  /** True when a claim of ours may have taken effect or still may. */
  bool maybe_claimed_ = false;
  int store_failures_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ONCE_CALL_H_

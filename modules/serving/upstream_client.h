#ifndef MODULES_SERVING_UPSTREAM_CLIENT_H_
#define MODULES_SERVING_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/error.h"
#include "modules/decisions/command.h"
#include "modules/decisions/response_assembler.h"
#include "modules/decisions/upstream_table.h"
#include "modules/serving/interrupt.h"

namespace chicory {

/** Arguments of UpstreamClient::Stream and UpstreamClient::ReservePromptPart.
 */
struct StreamCall {
  /** `host:port` of the engine. */
  std::string address;
  /** Id of the attempt, unique over all instances. */
  std::string attempt;
  std::string prompt;
  /** Maximum length of the response, in tokens. */
  int64_t max_tokens = 0;
  /** Priority level, from 0. */
  int level = 0;
  /** Index of the first token to stream; earlier ones were delivered by
      previous attempts. */
  int64_t resume_from = 0;
  /** Number of upstreams that share the prompt; 1 unless the attempt uses a
      group. */
  int64_t group_size = 1;
  /** Causal clock of this instance when the call was made. */
  uint64_t stamp = 0;
  /** Maximum time without data; a stream that is silent for longer ends. */
  absl::Duration first_stall = absl::Seconds(30);
  /** Once data has been received, a connection that fails counts as stalled
      rather than died if it was silent for 90 % of this time. Also the
      time-out for sending the request. */
  absl::Duration later_stall = absl::Seconds(5);
};

/** Arguments of UpstreamClient::Call. */
struct ServiceCall {
  /** `host:port` of the service. */
  std::string address;
  std::string method;
  /** Path and query. */
  std::string target;
  std::string body;
  std::string content_type;
  std::map<std::string, std::string> headers;
  /** Maximum time without data, when sending and when receiving. */
  absl::Duration timeout = absl::Seconds(30);
  /** Opens a connection for this call instead of reusing an idle one. A service
      may close an idle connection just as the call is sent on it, which leaves
      the outcome unknown; calls that must run at most once avoid that. */
  bool fresh_connection = false;
};

/** The HTTP response of a plain service. */
struct ServiceResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/** One event of a generation stream. */
struct StreamEvent {
  ResponseChunk chunk;
  /** Length of the prompt as counted by the engine, in tokens. Only set on the
      last event. */
  int64_t prompt_tokens = 0;
  /** Load of the engine, if the event carries it. */
  std::optional<LoadReport> load;
  /** Causal clock of the engine. */
  uint64_t stamp = 0;
};

/** The result of a blocking call to an upstream. */
struct UpstreamCallResult {
  AttemptOutcome outcome = AttemptOutcome::kDied;
  /** True if the upstream refused the call because it is leaving. */
  bool leaving = false;
  /** Human-readable reason for a failure. */
  std::string detail;
};

/** Client for the protocol of engines and plain services.

    Implementations are thread-safe. Stream(), ReservePromptPart() and Call()
    block the calling thread until the call ends; Interrupt::Raise aborts them.
    The other functions are short calls, which fail with kUnavailable if the
    upstream cannot be reached, does not respond in time or returns a malformed
    response. */
class UpstreamClient {
 public:
  /** Receives one event; returns false to abort the stream. */
  using EventSink = std::function<bool(StreamEvent)>;

  virtual ~UpstreamClient() = default;

  /** Runs a generation and passes its events to `sink` on the calling thread.

      The outcome is kCompleted only if the end of the response was received
      and `sink` accepted every event. */
  virtual UpstreamCallResult Stream(const StreamCall& call,
                                    const EventSink& sink,
                                    Interrupt* interrupt) = 0;

  /** Reserves memory for a prompt part of `tokens` tokens on a helper of a
      group, and blocks until it is granted. */
  virtual UpstreamCallResult ReservePromptPart(const StreamCall& call,
                                               int64_t tokens,
                                               Interrupt* interrupt) = 0;

  /** Returns whether the prompt part that `attempt` reserved is prefilled.
      Fails with kNotFound if the upstream has no such reservation, and with
      kUnavailable if it cannot be reached. */
  virtual Result<bool> IsPromptPartPrefilled(const std::string& address,
                                             const std::string& attempt) = 0;

  /** Calls a plain service. `service_response` is only valid if the outcome is
      kCompleted, which includes responses of any HTTP status. */
  virtual UpstreamCallResult Call(const ServiceCall& call,
                                  ServiceResponse* service_response,
                                  Interrupt* interrupt) = 0;

  /** Cancels an attempt and releases its memory. Succeeds once the upstream
      has confirmed the cancellation. */
  virtual Result<void> Cancel(const std::string& address,
                              const std::string& attempt) = 0;

  /** Returns the current load of an engine. */
  virtual Result<LoadReport> Load(const std::string& address) = 0;

  /** One change to the prefix cache of an engine. */
  struct CacheChange {
    uint64_t sequence = 0;
    /** Hash of the block of the prefix. */
    uint64_t block = 0;
    /** True if the block was stored, false if it was evicted. */
    bool is_stored = true;
  };

  /** Returns the changes to the prefix cache after `sequence`, oldest first. */
  virtual Result<std::vector<CacheChange>> CacheChanges(
      const std::string& address,
      uint64_t sequence) = 0;

  /** Returns the ids of all attempts that hold memory. */
  virtual Result<std::vector<std::string>> Attempts(
      const std::string& address) = 0;
};

}  // namespace chicory

#endif  // MODULES_SERVING_UPSTREAM_CLIENT_H_

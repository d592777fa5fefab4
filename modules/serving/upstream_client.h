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

/** A generation to start on an engine. */
struct StreamCall {
  std::string address;
  std::string attempt;
  std::string prompt;
  int64_t max_tokens = 0;
  int level = 0;
  int64_t resume_from = 0;
  /** Upstreams that share the prompt; 1 for the usual case. */
  int64_t group_size = 1;
  uint64_t stamp = 0;
  /** How long the first token, and each further one, may take. */
  absl::Duration first_stall = absl::Seconds(30);
  absl::Duration later_stall = absl::Seconds(5);
};

/** A call to a plain service. */
struct ServiceCall {
  std::string address;
  std::string method;
  /** Path with its query. */
  std::string target;
  std::string body;
  std::string content_type;
  std::map<std::string, std::string> headers;
  absl::Duration timeout = absl::Seconds(30);
  /** True: use a connection of its own, so that a connection which the service
      closed while it was idle cannot make the outcome unknown. */
  bool fresh_connection = false;
};

/** The answer of a plain service. */
struct ServiceResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/** What an engine says beside its pieces. */
struct StreamEvent {
  ResponseChunk chunk;
  /** On the end: the engine's own count of the prompt, in tokens. */
  int64_t prompt_tokens = 0;
  std::optional<LoadReport> load;
  uint64_t stamp = 0;
};

/** What came of a call. */
struct UpstreamCallResult {
  AttemptOutcome outcome = AttemptOutcome::kDied;
  bool leaving = false;
  std::string detail;
};

/** The published protocol of engines and services, as far as the entry uses
    it. Implementations are thread-safe. */
class UpstreamClient {
 public:
  /** Takes one event; false breaks the stream off. */
  using EventSink = std::function<bool(StreamEvent)>;

  virtual ~UpstreamClient() = default;

  /** Runs a generation to its end; blocks. */
  virtual UpstreamCallResult Stream(const StreamCall& call,
                                    const EventSink& sink,
                                    Interrupt* interrupt) = 0;

  /** Takes memory for a part of a prompt on a member of a group and waits
      until it is granted; blocks. */
  virtual UpstreamCallResult ReservePromptPart(const StreamCall& call,
                                               int64_t tokens,
                                               Interrupt* interrupt) = 0;

  /** Whether the part held by `attempt` is prefilled. */
  virtual Result<bool> IsPromptPartPrefilled(const std::string& address,
                                             const std::string& attempt) = 0;

  /** Calls a plain service; blocks. The answer is valid when the outcome is
      kCompleted. */
  virtual UpstreamCallResult Call(const ServiceCall& call,
                                  ServiceResponse* answer,
                                  Interrupt* interrupt) = 0;

  /** Gives up an attempt; succeeds once the upstream has confirmed. */
  virtual Result<void> Cancel(const std::string& address,
                              const std::string& attempt) = 0;

  /** The load report. */
  virtual Result<LoadReport> Load(const std::string& address) = 0;

  /** One change of an engine's prefix cache. */
  struct CacheChange {
    uint64_t sequence = 0;
    uint64_t block = 0;
    bool is_stored = true;
  };

  /** Changes of the prefix cache after `sequence`, oldest first. */
  virtual Result<std::vector<CacheChange>> CacheChanges(
      const std::string& address,
      uint64_t sequence) = 0;

  /** Every attempt that holds memory. */
  virtual Result<std::vector<std::string>> Attempts(
      const std::string& address) = 0;
};

}  // namespace chicory

#endif  // MODULES_SERVING_UPSTREAM_CLIENT_H_

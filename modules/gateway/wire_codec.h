#ifndef MODULES_GATEWAY_WIRE_CODEC_H_
#define MODULES_GATEWAY_WIRE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/time/time.h"
#include "modules/net/http_message.h"

namespace chicory {

/** What a caller's request says about itself, beside method, target and body.
 */
struct CallerRequest {
  /** The caller's id of this attempt; empty when none was sent. */
  std::string id;
  /** How long the caller waits; infinite when not told. */
  absl::Duration time_limit = absl::InfiniteDuration();
  /** The key of the client account; empty when none was sent. */
  std::string key;
  /** Prompt tokens; 0 when the request is no prompt. */
  int64_t prompt_tokens = 0;
  /** Most tokens that may be generated. */
  int64_t max_output_tokens = 0;
  /** The caller's estimate of the generated tokens; 0 when not told. */
  int64_t expected_output_tokens = 0;
};

/** An engine that reads a part of a prompt. */
struct PromptHelper {
  /** `ip:port`. */
  std::string address;
  /** The memory set aside there for the prompt; empty for none. */
  std::string memory_id;
};

/** A call to an upstream that is no caller's request. */
struct UpstreamCall {
  std::string method;
  std::string target;
  /** Further lines of the head, each with its line end. */
  std::string extra_head;
  std::string body;
};

/** What is added to a request for its upstream. */
struct UpstreamRequestFields {
  /** Only this upstream may run it. */
  std::string upstream_id;
  /** Name of the client account; empty for anonymous requests. */
  std::string account;
  /** Time that is left for the answer. */
  absl::Duration time_left = absl::InfiniteDuration();
  /** The last event that the caller has; unset unless a stream is resumed. */
  std::optional<std::string> resume_after;
  /** Engines that read parts of the prompt. */
  std::vector<PromptHelper> helpers;
};

/** What the head of an upstream's response says about the request. */
struct ResponseClassification {
  /** The upstream did not run the request and never will. */
  bool not_run = false;
  /** Whether the response answers the request that was sent. */
  bool matches = false;
  /** Whether a successful response is proved to be the upstream's own. */
  bool is_signed = false;
  /** `ip:port` of another upstream that is to blame; empty for none. */
  std::string faulty_address;
  /** How long the upstream keeps an idle connection; zero when not told. */
  absl::Duration keep_alive;
};

/** Reads and writes the header fields of one dialect of HTTP between callers,
    this project and upstreams. Implementations hold no state. */
class WireCodec {
 public:
  virtual ~WireCodec() = default;

  /** Reads a caller's request. */
  virtual CallerRequest ReadRequest(const HttpRequest& request) const = 0;

  /** The head of the request to an upstream, up to and with the blank line. */
  virtual std::string UpstreamHead(const HttpRequest& request,
                                   const UpstreamRequestFields& send) const = 0;

  /** Judges the head of an upstream's response to the request `request_id`. */
  virtual ResponseClassification ClassifyResponse(
      const HttpResponseHead& head,
      absl::string_view request_id) const = 0;

  /** Sets memory for `tokens` aside at the upstream `upstream_id` under the id
      `memory_id`, or renews that. Answered 200 when it is held; it lapses
      `hold` after the last call. */
  virtual UpstreamCall ReserveMemory(const std::string& upstream_id,
                                     const std::string& memory_id,
                                     int64_t tokens,
                                     absl::Duration hold) const = 0;
  /** Gives that memory back. */
  virtual UpstreamCall ReleaseMemory(const std::string& upstream_id,
                                     const std::string& memory_id) const = 0;

  /** Fields that name the caller's request in a response of this project. */
  virtual HttpHeaders OwnResponseHeaders(
      absl::string_view request_id) const = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_WIRE_CODEC_H_

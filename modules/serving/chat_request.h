#ifndef MODULES_SERVING_CHAT_REQUEST_H_
#define MODULES_SERVING_CHAT_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/error.h"

namespace chicory {

/** The parts of a chat completion request that this service evaluates. */
struct ChatRequest {
  std::string model;
  /** All messages joined into one text, each preceded by its role. */
  std::string prompt;
  /** Maximum number of tokens to generate. */
  int64_t max_tokens = kDefaultMaxTokens;
  bool is_streamed = false;
  /** True if the stream must end with an event that carries the usage. */
  bool include_usage = false;

  static constexpr int64_t kDefaultMaxTokens = 256;
  static constexpr int64_t kMaxTokensLimit = 32768;

  /** Parses a request body. Fails with kInvalid and a message that names the
      invalid field. */
  static Result<ChatRequest> FromJson(std::string_view body);
};

/** The result of a chat completion, and its serialisation as one JSON document
    or as server-sent events. Not thread-safe. */
struct ChatResponse {
  std::string id;
  std::string model;
  int64_t created_unix_seconds = 0;
  /** Generated text; empty for a streamed response. */
  std::string text;
  /** As counted by the engine. */
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  /** `stop` or `length`. */
  std::string finish_reason = "stop";

  /** Returns the response to a request that is not streamed. */
  std::string ToJson() const;
  /** Returns an event of a streamed response that carries `delta`. The first
      one also carries the role. */
  std::string ToDeltaEvent(std::string_view delta, bool is_first) const;
  /** Returns the events that end a streamed response: the finish reason, the
      usage if `with_usage`, and `[DONE]`. */
  std::string ToFinalEvents(bool with_usage) const;
};

/** Returns a hash of each prefix of `prompt` that is a multiple of
    kPrefixBlockBytes long, shortest first and at most 64 of them. Engines
    identify the blocks of their prefix caches by the same hashes. */
std::vector<uint64_t> PrefixBlocksOf(std::string_view prompt);

/** Size of one prefix block in bytes; about kPrefixBlockTokens. */
inline constexpr size_t kPrefixBlockBytes = 2048;

}  // namespace chicory

#endif  // MODULES_SERVING_CHAT_REQUEST_H_

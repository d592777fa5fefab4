#ifndef MODULES_SERVING_CHAT_REQUEST_H_
#define MODULES_SERVING_CHAT_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "modules/core/error.h"

namespace chicory {

/** A chat completion as a caller asked for it. */
struct ChatRequest {
  std::string model;
  /** All messages as one text. */
  std::string prompt;
  int64_t max_tokens = kDefaultMaxTokens;
  bool is_streamed = false;
  /** The caller wants the usage in the stream. */
  bool wants_usage = false;

  static constexpr int64_t kDefaultMaxTokens = 256;
  static constexpr int64_t kMaxMaxTokens = 32768;

  /** Reads a request body; kInvalid names the field that is wrong. */
  static Result<ChatRequest> FromJson(std::string_view body);
};

/** What a chat completion's answers have in common. */
struct ChatResponse {
  std::string id;
  std::string model;
  int64_t created_unix_seconds = 0;
  std::string text;
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
  /** `stop` or `length`. */
  std::string finish_reason = "stop";

  /** The whole answer. */
  std::string ToJson() const;
  /** One event of a stream that carries `delta`. */
  std::string ToDeltaEvent(std::string_view delta, bool is_first) const;
  /** The events that end a stream. */
  std::string ToFinalEvents(bool with_usage) const;
};

/** Hashes of a prompt's prefixes in blocks of kPrefixBlockBytes, as engines
   name them in their cache events. */
std::vector<uint64_t> PrefixBlocksOf(std::string_view prompt);

/** Bytes of one prefix block; about kPrefixBlockTokens. */
inline constexpr size_t kPrefixBlockBytes = 2048;

}  // namespace chicory

#endif  // MODULES_SERVING_CHAT_REQUEST_H_

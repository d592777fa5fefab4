#ifndef MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_
#define MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory {

/** One chunk of a response stream as sent by an upstream. */
struct ResponseChunk {
  /** The attempt that the chunk belongs to according to the upstream. */
  std::string attempt;
  /** Index of the token in the complete response, starting at 0. */
  int64_t index = 0;
  /** Text of the token. */
  std::string text;
  /** True for the chunk that ends the response; it contains no token. */
  bool is_end = false;
  /** With `is_end`: number of tokens of the complete response. */
  int64_t total = 0;
};

/** What to do with a chunk. */
enum class ChunkVerdict {
  /** It contains the next token: deliver it to the caller. */
  kDeliver,
  /** Late, duplicated or from another attempt: ignore it. */
  kDrop,
  /** The response is complete. */
  kComplete,
  /** Tokens are missing, or the stated total is wrong: the attempt has
      failed. */
  kBroken,
};

/** Assembles the response to one request from the streams of its attempts.

    Checks the attempt and the index of each chunk, so that the caller receives
    each token exactly once and in order. The response is complete only when its
    end chunk was received and states the number of tokens delivered.
    Not thread-safe. */
class ResponseAssembler {
 public:
  /** Accepts chunks of `attempt` only from now on. */
  void BeginAttempt(std::string attempt);

  /** Decides what to do with a chunk, and counts it as delivered when the
      result is kDeliver. */
  ChunkVerdict Classify(const ResponseChunk& chunk);

  /** Returns the number of tokens delivered so far. The next attempt resumes
      after them. */
  int64_t delivered() const { return delivered_; }

 private:
  std::string attempt_;
  int64_t delivered_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_

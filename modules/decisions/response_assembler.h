#ifndef MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_
#define MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory {

/** One piece of an answer as an upstream sent it. */
struct ResponseChunk {
  /** The attempt that the upstream says it belongs to. */
  std::string attempt;
  /** Index of the token within the whole answer. */
  int64_t index = 0;
  std::string text;
  /** True on the piece that ends the answer; it carries no token. */
  bool is_end = false;
  /** On the end: number of tokens of the whole answer. */
  int64_t total = 0;
};

/** What to do with a piece. */
enum class ChunkVerdict {
  /** The next token: hand it on. */
  kDeliver,
  /** Late, repeated or another attempt's: drop it. */
  kDrop,
  /** The whole answer has been seen. */
  kComplete,
  /** Something is missing: the attempt has failed. */
  kBroken,
};

/** Puts one request's answer together over all its attempts.

    Checks attempt and index of every piece, so that the caller gets each token
    once and in order, and the answer counts as whole only if its end was seen
    with the right count. Not thread-safe. */
class ResponseAssembler {
 public:
  /** Pieces of `attempt` count from now on, those of others no more. */
  void BeginAttempt(std::string attempt);

  /** Judges one piece. */
  ChunkVerdict Classify(const ResponseChunk& piece);

  /** Tokens handed on so far; where the next attempt resumes. */
  int64_t delivered() const { return delivered_; }

 private:
  std::string attempt_;
  int64_t delivered_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RESPONSE_ASSEMBLER_H_

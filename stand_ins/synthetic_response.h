#ifndef STAND_INS_SYNTHETIC_RESPONSE_H_
#define STAND_INS_SYNTHETIC_RESPONSE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory {

/** Returns the number of tokens that the stand-in engine counts in `prompt`, at
    least 1. As with a real tokenizer, the count differs from the estimate that
    an entry instance makes. */
int64_t EngineTokenCount(std::string_view prompt);

/** Returns the length in tokens of the full response to `prompt`. A prompt that
    contains `[[answer N]]`, N above 0, gets N tokens; the length for any other
    prompt is derived from its hash. */
int64_t FullResponseLength(std::string_view prompt);

/** Returns token `index` of the response to `prompt`. Every token depends on
    the whole prompt, so that tests detect wrong, truncated and mixed-up
    responses. */
std::string ResponseToken(std::string_view prompt, int64_t index);

/** Returns the text of the response to `prompt`, limited to its first
    `max_tokens` tokens. Clients compare what they received with it. */
std::string ExpectedResponseText(std::string_view prompt, int64_t max_tokens);

}  // namespace chicory

#endif  // STAND_INS_SYNTHETIC_RESPONSE_H_

#ifndef STAND_INS_SYNTHETIC_RESPONSE_H_
#define STAND_INS_SYNTHETIC_RESPONSE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory {

/** Tokens that the engine stand-in counts in a prompt; not quite what the entry
    estimates. */
int64_t TrueTokens(std::string_view prompt);

/** Length of the whole answer to `prompt`, in tokens. A prompt that holds
    `[[answer N]]` gets N. */
int64_t AnswerLength(std::string_view prompt);

/** Token `index` of the answer to `prompt`: each depends on the whole prompt,
    so that a wrong, cut or mixed answer is seen. */
std::string AnswerToken(std::string_view prompt, int64_t index);

/** The first `max_tokens` tokens of the answer. */
std::string ExpectedResponseText(std::string_view prompt, int64_t max_tokens);

}  // namespace chicory

#endif  // STAND_INS_SYNTHETIC_RESPONSE_H_

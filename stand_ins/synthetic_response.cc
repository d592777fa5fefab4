#include "stand_ins/synthetic_response.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"

namespace chicory {

namespace {

constexpr double kTrueBytesPerToken = 3.8;
constexpr std::string_view kAnswerMark = "[[answer ";
constexpr uint64_t kWords = 9973;

}  // namespace

int64_t TrueTokens(std::string_view prompt) {
  return std::max<int64_t>(
      1, static_cast<int64_t>(std::ceil(static_cast<double>(prompt.size()) /
                                        kTrueBytesPerToken)));
}

int64_t AnswerLength(std::string_view prompt) {
  const size_t mark = prompt.find(kAnswerMark);
  if (mark != std::string_view::npos) {
    const size_t begin = mark + kAnswerMark.size();
    const size_t end = prompt.find("]]", begin);
    int64_t length = 0;
    if (end != std::string_view::npos &&
        absl::SimpleAtoi(absl::string_view(prompt.data() + begin, end - begin),
                         &length) &&
        length > 0) {
      return length;
    }
  }
  return 8 + static_cast<int64_t>(StableHash(prompt) % 56);
}

std::string AnswerToken(std::string_view prompt, int64_t index) {
  const uint64_t word =
      StableHash(absl::StrCat(index), StableHash(prompt)) % kWords;
  return absl::StrCat(" w", word);
}

std::string ExpectedResponseText(std::string_view prompt, int64_t max_tokens) {
  std::string answer;
  const int64_t length = std::min(max_tokens, AnswerLength(prompt));
  for (int64_t i = 0; i < length; ++i)
    answer += AnswerToken(prompt, i);
  return answer;
}

}  // namespace chicory

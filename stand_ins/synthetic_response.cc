#include "stand_ins/synthetic_response.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"

namespace chicory {

namespace {

constexpr double kEngineBytesPerToken = 3.8;
constexpr std::string_view kLengthMarker = "[[answer ";
constexpr uint64_t kVocabularySize = 9973;

}  // namespace

int64_t EngineTokenCount(std::string_view prompt) {
  return std::max<int64_t>(
      1, static_cast<int64_t>(std::ceil(static_cast<double>(prompt.size()) /
                                        kEngineBytesPerToken)));
}

int64_t FullResponseLength(std::string_view prompt) {
  const size_t marker = prompt.find(kLengthMarker);
  if (marker != std::string_view::npos) {
    const size_t begin = marker + kLengthMarker.size();
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

std::string ResponseToken(std::string_view prompt, int64_t index) {
  const uint64_t word =
      StableHash(absl::StrCat(index), StableHash(prompt)) % kVocabularySize;
  return absl::StrCat(" w", word);
}

std::string ExpectedResponseText(std::string_view prompt, int64_t max_tokens) {
  std::string response;
  const int64_t length = std::min(max_tokens, FullResponseLength(prompt));
  for (int64_t i = 0; i < length; ++i)
    response += ResponseToken(prompt, i);
  return response;
}

}  // namespace chicory

#include "modules/core/attempt_id.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace chicory {

std::string AttemptId::ToString() const {
  return absl::StrCat(instance, "~", incarnation, "~", sequence);
}

std::optional<AttemptId> AttemptId::Parse(std::string_view text) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '~');
  AttemptId id;
  if (parts.size() != 3 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &id.incarnation) ||
      !absl::SimpleAtoi(parts[2], &id.sequence)) {
    return std::nullopt;
  }
  id.instance = parts[0];
  return id;
}

}  // namespace chicory

#include "modules/core/json_split.h"

#include "absl/strings/ascii.h"

namespace chicory {

namespace {

/** Reads a text from its begin to its end, value by value. */
class Cursor {
 public:
  explicit Cursor(absl::string_view text) : text_(text) {}

  bool is_at_end() const { return at_ >= text_.size(); }

  void SkipSpace() {
    while (!is_at_end() && absl::ascii_isspace(text_[at_]))
      ++at_;
  }

  /** Skips white space and `expected`; returns false if something else
      follows. */
  bool Take(char expected) {
    SkipSpace();
    if (is_at_end() || text_[at_] != expected)
      return false;
    ++at_;
    return true;
  }

  /** Returns the value that begins here, or nullopt if there is none or it has
      no end. */
  std::optional<absl::string_view> TakeValue() {
    SkipSpace();
    const size_t begin = at_;
    if (is_at_end())
      return std::nullopt;
    const char first = text_[at_];
    if (first == '"') {
      if (!SkipString())
        return std::nullopt;
    } else if (first == '{' || first == '[') {
      if (!SkipBrackets())
        return std::nullopt;
    } else {
      SkipScalar();
    }
    if (at_ == begin)
      return std::nullopt;
    return text_.substr(begin, at_ - begin);
  }

 private:
  /** Skips a string; the cursor is at its opening quote. */
  bool SkipString() {
    for (++at_; !is_at_end(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
        continue;
      }
      if (text_[at_] != '"')
        continue;
      ++at_;
      return true;
    }
    return false;
  }

  /** Skips an object or array; the cursor is at its opening bracket. */
  bool SkipBrackets() {
    size_t depth = 0;
    while (!is_at_end()) {
      switch (text_[at_]) {
        case '"':
          if (!SkipString())
            return false;
          continue;
        case '{':
        case '[':
          ++depth;
          break;
        case '}':
        case ']':
          --depth;
          break;
        default:
          break;
      }
      ++at_;
      if (depth == 0)
        return true;
    }
    return false;
  }

  /** Skips a number, `true`, `false`, `null` or anything else up to the end of
      the member. */
  void SkipScalar() {
    while (!is_at_end() && text_[at_] != ',' && text_[at_] != '}' &&
           text_[at_] != ']' && !absl::ascii_isspace(text_[at_]))
      ++at_;
  }

  const absl::string_view text_;
  size_t at_ = 0;
};

/** Takes the comma before another element, or `close`, the end of the list.
    Returns true for a comma; sets `is_valid` to false for anything else. */
bool TakeSeparator(Cursor* cursor, char close, bool* is_valid) {
  if (cursor->Take(','))
    return true;
  *is_valid = cursor->Take(close);
  return false;
}

}  // namespace

std::optional<std::vector<JsonMember>> SplitJsonObject(absl::string_view text) {
  Cursor cursor(text);
  std::vector<JsonMember> members;
  if (!cursor.Take('{'))
    return std::nullopt;
  if (cursor.Take('}'))
    return members;
  bool is_valid = true;
  do {
    const auto name = cursor.TakeValue();
    if (!name || name->size() < 2 || name->front() != '"' || !cursor.Take(':'))
      return std::nullopt;
    const auto value = cursor.TakeValue();
    if (!value)
      return std::nullopt;
    members.push_back(
        {.name = name->substr(1, name->size() - 2), .value = *value});
  } while (TakeSeparator(&cursor, '}', &is_valid));
  if (!is_valid)
    return std::nullopt;
  return members;
}

std::optional<std::vector<absl::string_view>> SplitJsonArray(
    absl::string_view text) {
  Cursor cursor(text);
  std::vector<absl::string_view> elements;
  if (!cursor.Take('['))
    return std::nullopt;
  if (cursor.Take(']'))
    return elements;
  bool is_valid = true;
  do {
    const auto element = cursor.TakeValue();
    if (!element)
      return std::nullopt;
    elements.push_back(*element);
  } while (TakeSeparator(&cursor, ']', &is_valid));
  if (!is_valid)
    return std::nullopt;
  return elements;
}

absl::string_view FindJsonMember(const std::vector<JsonMember>& members,
                                 absl::string_view name) {
  for (const JsonMember& member : members) {
    if (member.name == name)
      return member.value;
  }
  return "";
}

}  // namespace chicory

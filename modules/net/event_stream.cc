#include "modules/net/event_stream.h"

#include <algorithm>
#include <cstdint>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace chicory {

namespace {

/** Returns the offset after the blank line that ends the event starting at
    `from`, or npos if the event is incomplete. */
size_t FindEventEnd(absl::string_view text, size_t from) {
  size_t line = from;
  while (true) {
    size_t newline = text.find('\n', line);
    if (newline == absl::string_view::npos)
      return newline;
    size_t length = newline - line;
    if (length > 0 && text[newline - 1] == '\r')
      --length;
    if (length == 0)
      return newline + 1;
    line = newline + 1;
  }
}

/** Returns whether `line` is a field of an event, `name: value`. */
bool IsField(absl::string_view line) {
  const absl::string_view name = line.substr(0, line.find(':'));
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char byte) {
           return absl::ascii_isalnum(byte) || byte == '-' || byte == '_';
         });
}

/** Returns whether an event with the id `id` may follow one with `last`. */
bool IsLater(absl::string_view id, absl::string_view last) {
  if (last.empty())
    return true;
  int64_t number = 0;
  int64_t last_number = 0;
  const bool are_numbers =
      absl::SimpleAtoi(id, &number) && absl::SimpleAtoi(last, &last_number);
  return are_numbers ? number > last_number : !id.empty();
}

}  // namespace

std::string EventStreamSplitter::TakeEvents() {
  size_t end = 0;
  while (!has_foreign_bytes_) {
    size_t next = FindEventEnd(pending_, end);
    if (next == absl::string_view::npos)
      break;
    if (RecordBlock(absl::string_view(pending_).substr(end, next - end)))
      end = next;
    else
      has_foreign_bytes_ = true;
  }
  std::string complete_events = pending_.substr(0, end);
  pending_.erase(0, end);
  return complete_events;
}

bool EventStreamSplitter::RecordBlock(absl::string_view block) {
  constexpr absl::string_view kId = "id:";
  bool has_fields = false;
  absl::string_view id;
  for (absl::string_view line : absl::StrSplit(block, '\n')) {
    absl::ConsumeSuffix(&line, "\r");
    if (line.empty() || line.front() == ':')
      continue;
    if (!IsField(line))
      return false;
    has_fields = true;
    if (absl::ConsumePrefix(&line, kId))
      id = absl::StripAsciiWhitespace(line);
  }
  if (!has_fields)
    return true;
  if (!IsLater(id, last_event_id_))
    return false;
  ++events_;
  if (!id.empty())
    last_event_id_ = std::string(id);
  return true;
}

}  // namespace chicory

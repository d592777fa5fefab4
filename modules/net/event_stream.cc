#include "modules/net/event_stream.h"

#include "absl/strings/match.h"
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

}  // namespace

std::string EventStreamSplitter::TakeEvents() {
  size_t end = 0;
  while (true) {
    size_t next = FindEventEnd(pending_, end);
    if (next == absl::string_view::npos)
      break;
    RecordEvent(absl::string_view(pending_).substr(end, next - end));
    end = next;
  }
  std::string complete_events = pending_.substr(0, end);
  pending_.erase(0, end);
  return complete_events;
}

void EventStreamSplitter::RecordEvent(absl::string_view event) {
  ++events_;
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    if (!absl::StartsWith(line, "id:"))
      continue;
    line.remove_prefix(3);
    last_event_id_ = std::string(absl::StripAsciiWhitespace(line));
  }
}

}  // namespace chicory

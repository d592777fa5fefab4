#include "modules/core/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

#include "absl/strings/escaping.h"

namespace chicory {

namespace {

/** Returns the wall-clock time in milliseconds since the Unix epoch. */
int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool NeedsQuotes(absl::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != absl::string_view::npos;
}

}  // namespace

EventLog::EventLog(Options options) : options_(options) {
  if (options_.descriptor < 0)
    return;
  const int flags = ::fcntl(options_.descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::WriteToDescriptor(const std::string& line) {
  const ssize_t written =
      ::write(options_.descriptor, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size()))
    ++dropped_;
}

void EventLog::Write(absl::string_view event,
                     std::initializer_list<LogField> fields) {
  if (options_.descriptor < 0)
    return;
  const int64_t now_ms = UnixMilliseconds();
  const int64_t second = now_ms / 1000;
  Quota& quota = quotas_[event];
  if (quota.second != second) {
    if (quota.suppressed > 0) {
      WriteToDescriptor(absl::StrCat("time_ms=", now_ms,
                                     " event=log_lines_left_out of=", event,
                                     " lines=", quota.suppressed, "\n"));
    }
    quota = {.second = second};
  }
  if (++quota.written > kMaxLinesPerSecond) {
    ++quota.suppressed;
    ++dropped_;
    return;
  }
  std::string line = absl::StrCat("time_ms=", now_ms, " event=", event);
  for (const LogField& field : fields) {
    const absl::string_view value = field.value.Piece();
    if (NeedsQuotes(value))
      absl::StrAppend(&line, " ", field.key, "=\"", absl::CEscape(value), "\"");
    else
      absl::StrAppend(&line, " ", field.key, "=", value);
  }
  line.push_back('\n');
  if (dropped_ != dropped_reported_) {
    absl::StrAppend(&line, "time_ms=", now_ms,
                    " event=log_lines_dropped total=", dropped_, "\n");
    dropped_reported_ = dropped_;
  }
  WriteToDescriptor(line);
}

void EventLog::WriteDetail(absl::string_view event,
                           std::initializer_list<LogField> fields) {
  if (options_.detail)
    Write(event, fields);
}

}  // namespace chicory

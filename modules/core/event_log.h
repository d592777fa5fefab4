#ifndef MODULES_CORE_EVENT_LOG_H_
#define MODULES_CORE_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>
#include "absl/strings/string_view.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace chicory {

/** One key=value pair of a log line. Refers to the caller's storage; meant only
    for the argument list of EventLog::Write(). */
struct LogField {
  absl::string_view key;
  /** Text, or a number that is formatted on construction. */
  absl::AlphaNum value;
};

/** Structured log for a process that runs on a single event loop.

    Writes each event as one line of key=value pairs to a non-blocking file
    descriptor, so that a slow reader of the log never stalls the event loop.

    Each event name is limited to kMaxLinesPerSecond lines per second. Lines
    above the limit are reported by a `log_lines_left_out` line when the event
    is next written in a later second. Those lines and the lines that the
    descriptor did not accept in full are totalled in a `log_lines_dropped`
    line, which follows the next line that is written.

    Prompt text, keys and bodies must not be logged. Not thread-safe.

        log.Write("request_refused", {{"request", id}, {"status", 503}});
*/
class EventLog {
 public:
  /** Maximum number of lines per second for one event name. */
  static constexpr int kMaxLinesPerSecond = 200;

  struct Options {
    /** File descriptor to write to, which is switched to non-blocking mode. A
        negative value disables the log. */
    int descriptor = 1;
    /** Whether WriteDetail() writes its lines. */
    bool detail = true;
  };

  explicit EventLog(Options options);

  /** Writes one line, which begins with the wall-clock time in milliseconds
      since the Unix epoch and the event name. Values that contain white space,
      quotes or `=` are quoted and escaped. */
  void Write(absl::string_view event, std::initializer_list<LogField> fields);
  /** Like Write(), for events that are only needed to trace individual
      requests. Does nothing unless Options::detail is set. */
  void WriteDetail(absl::string_view event,
                   std::initializer_list<LogField> fields);

  /** Returns how many lines were suppressed by the rate limit or not accepted
      in full by the descriptor since construction. */
  int64_t dropped() const { return dropped_; }

 private:
  /** The use of one event name's limit within one second. */
  struct Quota {
    /** The second that is counted, since the Unix epoch. */
    int64_t second = 0;
    int written = 0;
    int64_t suppressed = 0;
  };

  void WriteToDescriptor(const std::string& line);

  Options options_;
  absl::flat_hash_map<std::string, Quota> quotas_;
  int64_t dropped_ = 0;
  int64_t dropped_reported_ = 0;
};

}  // namespace chicory

#endif  // MODULES_CORE_EVENT_LOG_H_

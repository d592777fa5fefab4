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

/** One key=value pair of a line. */
struct LogField {
  absl::string_view key;
  /** Text or number, formatted at once. */
  absl::AlphaNum value;
};

/** Structured log of a process that serves from one event loop: one line of
    key=value pairs per event on a file descriptor, never blocking.

    Each event name may write kMaxLinesPerSecond lines a second; what is beyond
    that, and what the descriptor does not take at once, is counted and told in
    a line of its own. No prompt text, key or body may be passed. Not
    thread-safe.

        log.Write("request_refused", {{"request", id}, {"status", 503}});
*/
class EventLog {
 public:
  /** Lines of one event name that are written in a second. */
  static constexpr int kMaxLinesPerSecond = 200;

  struct Options {
    /** Where lines go; set to non-blocking mode. Negative: nowhere. */
    int descriptor = 1;
    /** Whether lines of WriteDetail are written. */
    bool detail = true;
  };

  explicit EventLog(Options options);

  /** Writes a line. `time` is the time of day. */
  void Write(absl::string_view event, std::initializer_list<LogField> fields);
  /** Writes a line that only matters when single requests are traced. */
  void WriteDetail(absl::string_view event,
                   std::initializer_list<LogField> fields);

  /** Lines that were not written so far. */
  int64_t dropped() const { return dropped_; }

 private:
  struct Quota {
    int64_t second = 0;
    int written = 0;
    int64_t left_out = 0;
  };

  void Emit(const std::string& line);

  Options options_;
  absl::flat_hash_map<std::string, Quota> quotas_;
  int64_t dropped_ = 0;
  int64_t dropped_told_ = 0;
};

}  // namespace chicory

#endif  // MODULES_CORE_EVENT_LOG_H_

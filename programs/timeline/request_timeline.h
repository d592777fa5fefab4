#ifndef PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_
#define PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_

#include <cstdint>
#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory {

/** A line of a gateway's log. */
struct LogLine {
  /** Unix time in milliseconds, by the clock of the instance that wrote the
      line. */
  int64_t time_ms = 0;
  /** Name of the log that contains the line. */
  std::string source;
  std::string event;
  /** The complete line. */
  std::string text;
};

/** Builds the timeline of one request from the logs of several gateways. It
    contains the lines of the request itself and, from the logs that mention
    the request, the state changes around that time: of the upstreams that it
    was sent to, of the configuration and its source, and of the membership.
    Not thread-safe. */
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request)
      : request_(std::move(request)) {}

  /** Reads one log, which `source` names. Skips lines that are not in the log
      format. */
  void Read(const std::string& source, std::istream& lines);

  /** Returns the lines of the timeline, sorted by time. */
  std::vector<LogLine> Lines() const;

 private:
  std::string request_;
  std::vector<LogLine> request_lines_;
  std::vector<LogLine> state_change_lines_;
};

/** Returns the value of `key` in a line of key=value pairs, or nullopt if the
    line does not contain the key. */
std::optional<std::string> LogValue(const std::string& line,
                                    const std::string& key);

}  // namespace chicory

#endif  // PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_

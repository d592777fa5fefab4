#ifndef PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_
#define PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_

#include <cstdint>
#include <istream>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory {

/** One line of a gateway's log. */
struct LogLine {
  /** Unix milliseconds by the clock of the instance that wrote it. */
  int64_t time_ms = 0;
  /** The log that it was read from. */
  std::string source;
  std::string event;
  /** The whole line. */
  std::string text;
};

/** Reads the logs of several gateways and collects what became of one request:
   its own lines, and what each instance that wrote them learned meanwhile of
   the request's upstreams, of its store and of the others. */
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request)
      : request_(std::move(request)) {}

  /** Takes in one log; lines that are none are passed over. */
  void Read(const std::string& source, std::istream& lines);
  /** The lines in the order of time. */
  std::vector<LogLine> Lines() const;

 private:
  std::string request_;
  std::vector<LogLine> own_;
  std::vector<LogLine> others_;
};

/** The value of `key` in a line of key=value pairs; nothing when it has none.
 */
std::optional<std::string> LogValue(const std::string& line,
                                    const std::string& key);

}  // namespace chicory

#endif  // PROGRAMS_TIMELINE_REQUEST_TIMELINE_H_

#ifndef MODULES_CORE_LOG_H_
#define MODULES_CORE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chicory {

/** Configures the log of the process, which is written to standard error.

    `level` is one of `debug`, `info`, `warn` and `error`; any other value is
    treated as `info`. Call once, at startup. */
void StartLog(std::string_view level);

/** The severity of a log event. */
enum class Severity { kDebug, kInfo, kWarning, kError };

/** Writes one log line of key=value pairs that starts with the event name.

    Values that contain white space, quotes or `=` are quoted and escaped.
    Prompt text, keys and bodies must not be logged. Thread-safe. */
void LogEvent(
    Severity severity,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> pairs);

}  // namespace chicory

#endif  // MODULES_CORE_LOG_H_

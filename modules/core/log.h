#ifndef MODULES_CORE_LOG_H_
#define MODULES_CORE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chicory {

/** Sets up the process's log on standard error. `level` is one of `debug`,
    `info`, `warn`, `error`; anything else means `info`. Call once. */
void StartLog(std::string_view level);

/** How much an event matters to an operator. */
enum class Severity { kDebug, kInfo, kWarning, kError };

/** Writes one line of key=value pairs, the event's name first. Values are
    quoted where needed. No prompt text, key or body may be passed. */
void LogEvent(
    Severity severity,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> pairs);

}  // namespace chicory

#endif  // MODULES_CORE_LOG_H_

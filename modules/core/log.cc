#include "modules/core/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

log4cxx::LoggerPtr ProcessLogger() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("chicory");
  return logger;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

}  // namespace

void StartLog(std::string_view level) {
  auto layout = std::make_shared<log4cxx::PatternLayout>(
      "time=%d{ISO8601} level=%p %m%n");
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  ProcessLogger()->setLevel(
      log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

void LogEvent(
    Severity severity,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> pairs) {
  std::string line = absl::StrCat("event=", std::string(event));
  for (const auto& [key, value] : pairs) {
    absl::StrAppend(&line, " ", std::string(key), "=");
    if (NeedsQuotes(value))
      absl::StrAppend(&line, "\"", absl::CEscape(value), "\"");
    else
      absl::StrAppend(&line, value);
  }
  switch (severity) {
    case Severity::kDebug:
      LOG4CXX_DEBUG(ProcessLogger(), line);
      break;
    case Severity::kInfo:
      LOG4CXX_INFO(ProcessLogger(), line);
      break;
    case Severity::kWarning:
      LOG4CXX_WARN(ProcessLogger(), line);
      break;
    case Severity::kError:
      LOG4CXX_ERROR(ProcessLogger(), line);
      break;
  }
}

}  // namespace chicory

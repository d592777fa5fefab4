#include "programs/timeline/request_timeline.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

/** State changes up to this long before the first and after the last line of a
    request belong to its timeline. */
constexpr int64_t kStateChangeWindowMs = 3000;

/** Returns true for events that change what an instance knows of its upstreams,
    its sources, its configuration or the membership, or its own state. */
bool IsStateChange(const std::string& event) {
  for (const char* name : {"upstream_changed", "source_lost", "source_regained",
                           "configuration_in_force", "membership_changed",
                           "started", "stopping"}) {
    if (event == name)
      return true;
  }
  return false;
}

}  // namespace

std::optional<std::string> LogValue(const std::string& line,
                                    const std::string& key) {
  const std::string prefix = absl::StrCat(key, "=");
  for (size_t position = line.find(prefix); position != std::string::npos;
       position = line.find(prefix, position + 1)) {
    if (position > 0 && line[position - 1] != ' ')
      continue;
    const size_t begin = position + prefix.size();
    return line.substr(begin, line.find(' ', begin) - begin);
  }
  return std::nullopt;
}

void RequestTimeline::Read(const std::string& source, std::istream& lines) {
  for (std::string text; std::getline(lines, text);) {
    const auto time = LogValue(text, "time_ms");
    const auto event = LogValue(text, "event");
    LogLine line{.source = source, .text = text};
    if (!time || !event || !absl::SimpleAtoi(*time, &line.time_ms))
      continue;
    line.event = *event;
    if (LogValue(text, "request") == request_)
      request_lines_.push_back(std::move(line));
    else if (IsStateChange(line.event))
      state_change_lines_.push_back(std::move(line));
  }
}

std::vector<LogLine> RequestTimeline::Lines() const {
  std::vector<LogLine> lines = request_lines_;
  std::set<std::string> upstreams;
  std::set<std::string> sources;
  for (const LogLine& line : request_lines_) {
    sources.insert(line.source);
    if (const auto upstream = LogValue(line.text, "upstream"))
      upstreams.insert(*upstream);
  }
  const auto [first, last] = std::minmax_element(
      request_lines_.begin(), request_lines_.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
  for (const LogLine& line : state_change_lines_) {
    if (request_lines_.empty() || sources.count(line.source) == 0 ||
        line.time_ms < first->time_ms - kStateChangeWindowMs ||
        line.time_ms > last->time_ms + kStateChangeWindowMs)
      continue;
    const auto upstream = LogValue(line.text, "upstream");
    if (!upstream || upstreams.count(*upstream) != 0)
      lines.push_back(line);
  }
  std::stable_sort(
      lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) {
        return std::tie(a.time_ms, a.source) < std::tie(b.time_ms, b.source);
      });
  return lines;
}

}  // namespace chicory

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

/** How long before and after a request's lines others may explain them. */
constexpr int64_t kAroundMs = 3000;

/** Events that change what an instance believes. */
bool IsBelief(const std::string& event) {
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
  const std::string sought = absl::StrCat(key, "=");
  for (size_t at = line.find(sought); at != std::string::npos;
       at = line.find(sought, at + 1)) {
    if (at > 0 && line[at - 1] != ' ')
      continue;
    const size_t begin = at + sought.size();
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
      own_.push_back(std::move(line));
    else if (IsBelief(line.event))
      others_.push_back(std::move(line));
  }
}

std::vector<LogLine> RequestTimeline::Lines() const {
  std::vector<LogLine> lines = own_;
  std::set<std::string> upstreams;
  std::set<std::string> sources;
  for (const LogLine& line : own_) {
    sources.insert(line.source);
    if (const auto upstream = LogValue(line.text, "upstream"))
      upstreams.insert(*upstream);
  }
  const auto [first, last] = std::minmax_element(
      own_.begin(), own_.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
  for (const LogLine& line : others_) {
    if (own_.empty() || sources.count(line.source) == 0 ||
        line.time_ms < first->time_ms - kAroundMs ||
        line.time_ms > last->time_ms + kAroundMs)
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

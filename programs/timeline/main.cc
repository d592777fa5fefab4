#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "modules/calls/calls.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"
#include "programs/timeline/request_timeline.h"

namespace chicory {
namespace {

constexpr char kPurpose[] =
    "Merges the events of several processes into one timeline in causal "
    "order.\n\n"
    "  chicory_timeline --from ip:port ... [--file FILE ...] [--request NAME]\n"
    "                   [--json]\n"
    "  chicory_timeline --log FILE ... --request ID\n\n"
    "The second form reads gateway logs and prints the lines that concern one\n"
    "request.\n"
    "Exit codes: 0 success, 2 invalid command line, 3 a source cannot be read\n"
    "(the others are still printed).";

using Json = nlohmann::ordered_json;

/** A timeline event: the fields that it is sorted and labelled by, and the JSON
    object that it was read from. */
struct Event {
  /** Logical clock value; causes have smaller stamps than their effects. */
  uint64_t stamp = 0;
  std::string process;
  int64_t time_us = 0;
  Json json;
};

/** Appends the events of a stream of JSON lines. Malformed lines are skipped;
    returns false if there were any. */
bool ReadJsonLines(std::istream& lines, std::vector<Event>* events) {
  bool all_valid = true;
  for (std::string line; std::getline(lines, line);) {
    const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) {
      all_valid = false;
      continue;
    }
    events->push_back({.stamp = json.value("stamp", uint64_t{0}),
                       .process = json.value("process", ""),
                       .time_us = json.value("time_us", int64_t{0}),
                       .json = json});
  }
  return all_valid;
}

/** Appends the events that a process serves on its operators' port. Returns
    false if they cannot be read or contain malformed lines. */
bool FetchTimeline(const std::string& address, std::vector<Event>* events) {
  CheckedHttpClient client(address);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(std::chrono::seconds(5));
  const auto result = client.Get("/timeline");
  if (!result || result->status != 200)
    return false;
  std::istringstream lines(result->body);
  return ReadJsonLines(lines, events);
}

/** Returns true if a text field of `event` contains `request`, or if `request`
    is empty. */
bool Mentions(const Event& event, const std::string& request) {
  if (request.empty())
    return true;
  for (const auto& [key, value] : event.json.items()) {
    if (value.is_string() &&
        absl::StrContains(value.get<std::string>(), request)) {
      return true;
    }
  }
  return false;
}

void PrintAsText(const Event& event) {
  std::cout << absl::FormatTime("%H:%M:%E6S",
                                absl::FromUnixMicros(event.time_us),
                                absl::UTCTimeZone())
            << " stamp=" << event.stamp << " process=" << event.process;
  for (const auto& [key, value] : event.json.items()) {
    if (key == "stamp" || key == "time_us" || key == "process")
      continue;
    const std::string text =
        value.is_string() ? value.get<std::string>() : value.dump();
    if (!text.empty())
      std::cout << " " << key << "=" << text;
  }
  std::cout << "\n";
}

/** Prints the timeline of `request` from the gateway log files `logs`. Returns
    the exit code. */
int PrintRequestTimeline(const std::vector<std::string>& logs,
                         const std::string& request) {
  int exit_code = 0;
  RequestTimeline timeline(request);
  for (const std::string& name : logs) {
    std::ifstream file(name);
    if (file) {
      timeline.Read(name, file);
      continue;
    }
    std::cerr << "chicory_timeline: cannot read " << name << "\n";
    exit_code = static_cast<int>(ExitCode::kUnavailable);
  }
  const std::vector<LogLine> lines = timeline.Lines();
  for (const LogLine& line : lines)
    std::cout << line.source << " " << line.text << "\n";
  if (lines.empty())
    std::cerr << "chicory_timeline: no log line for request " << request
              << "\n";
  return exit_code;
}

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_timeline", kPurpose);
  std::vector<std::string> addresses;
  std::vector<std::string> files;
  std::vector<std::string> logs;
  std::string request;
  bool print_json = false;
  options.add_options()("from",
                        "Operators' address of a process; may be "
                        "repeated",
                        cxxopts::value(addresses))(
      "file", "File of events as JSON lines; may be repeated",
      cxxopts::value(files))("log", "Log file of a gateway; may be repeated",
                             cxxopts::value(logs))(
      "request", "Print only events that mention this request or attempt",
      cxxopts::value(request))("json", "Print events as JSON lines",
                               cxxopts::value(print_json));
  if (const auto code =
          ParseCommandLine(&options, "chicory_timeline", argc, argv))
    return *code;
  if (!logs.empty()) {
    if (request.empty()) {
      std::cerr << "chicory_timeline: --log needs --request\n";
      return static_cast<int>(ExitCode::kUsage);
    }
    return PrintRequestTimeline(logs, request);
  }
  int exit_code = 0;
  std::vector<Event> events;
  for (const std::string& address : addresses) {
    if (FetchTimeline(address, &events))
      continue;
    std::cerr << "chicory_timeline: cannot read " << address << "\n";
    exit_code = static_cast<int>(ExitCode::kUnavailable);
  }
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (file && ReadJsonLines(file, &events))
      continue;
    std::cerr << "chicory_timeline: cannot read " << name << "\n";
    exit_code = static_cast<int>(ExitCode::kUnavailable);
  }
  std::stable_sort(
      events.begin(), events.end(), [](const Event& a, const Event& b) {
        return std::tie(a.stamp, a.process) < std::tie(b.stamp, b.process);
      });
  for (const Event& event : events) {
    if (!Mentions(event, request))
      continue;
    if (print_json)
      std::cout << event.json.dump() << "\n";
    else
      PrintAsText(event);
  }
  return exit_code;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}

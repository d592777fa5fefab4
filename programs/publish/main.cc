#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/random/random.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "modules/calls/calls.h"
#include "modules/core/hashing.h"
#include "modules/store/store.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"

namespace chicory {
namespace {

constexpr char kPurpose[] =
    "Validates *.chicory.yaml files and publishes them as configuration.\n\n"
    "  chicory_publish check   --files DIR [--store ip:port]\n"
    "  chicory_publish diff    --files DIR --store ip:port\n"
    "  chicory_publish publish --files DIR --store ip:port [--base N]\n"
    "  chicory_publish status  --store ip:port [--entry ip:port ...]\n"
    "  chicory_publish history --store ip:port\n"
    "  chicory_publish keys\n"
    "  chicory_publish hash    --name NAME   (the secret on standard input)\n\n"
    "Exit codes: 0 success, 2 invalid command line, 3 object API unavailable,\n"
    "4 conflict with another publish, 5 the files are invalid.";

constexpr char kFileExtension[] = ".chicory.yaml";

/** The command line. */
struct Arguments {
  std::string command;
  /** Folder that is searched for configuration files. */
  std::string files;
  /** Address of the object API. */
  std::string store;
  /** Account or team that a secret belongs to. */
  std::string name;
  /** Operators' addresses of instances. */
  std::vector<std::string> entries;
  /** Revision that the change is based on; 0 for the current one. */
  uint64_t base = 0;
};

int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

/** Prints `error` and returns the exit code for it. */
int PrintError(const Error& error) {
  std::cerr << "chicory_publish: " << ErrorCodeName(error.code) << ": "
            << error.message << "\n";
  switch (error.code) {
    case ErrorCode::kInvalid:
      return ToInt(ExitCode::kFindings);
    case ErrorCode::kConflict:
      return ToInt(ExitCode::kConflict);
    default:
      return ToInt(ExitCode::kUnavailable);
  }
}

/** Reads all configuration files below `directory`, sorted by name. Adds a
    finding if there are none or the folder cannot be read. */
std::vector<SourceFile> CollectFiles(const std::string& directory,
                                     Findings* findings) {
  namespace fs = std::filesystem;
  std::vector<SourceFile> files;
  std::error_code problem;
  for (fs::recursive_directory_iterator entry(directory, problem), end;
       !problem && entry != end; entry.increment(problem)) {
    const std::string path = entry->path().string();
    if (!entry->is_regular_file() || !absl::EndsWith(path, kFileExtension))
      continue;
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    files.push_back({.name = fs::relative(entry->path(), directory).string(),
                     .text = text.str()});
  }
  if (problem) {
    findings->Add({.file = directory,
                   .code = "unreadable",
                   .problem = problem.message()});
  } else if (files.empty()) {
    findings->Add(
        {.file = directory,
         .code = "no-files",
         .problem = "no file to publish",
         .expected = absl::StrCat("files that end in ", kFileExtension)});
  }
  std::sort(
      files.begin(), files.end(),
      [](const SourceFile& a, const SourceFile& b) { return a.name < b.name; });
  return files;
}

std::string MakeChangeId() {
  absl::BitGen random;
  return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(random)),
                      absl::Hex(absl::Uniform<uint64_t>(random)));
}

/** Reads the files of `arguments` into `files` and validates them, together
    with the published files of other teams if `publisher` is set. Prints the
    findings and returns the exit code. */
int Check(const Arguments& arguments,
          ConfigurationPublisher* publisher,
          ConfigurationPublisher::FilesByTeam* files) {
  Findings findings;
  *files = ConfigurationPublisher::GroupByTeam(
      CollectFiles(arguments.files, &findings), &findings);
  if (findings.empty() && publisher == nullptr) {
    ConfigurationReader::Read(*files, &findings);
  } else if (findings.empty()) {
    const auto checked =
        Capture([&] { return publisher->Check(*files, &findings); });
    if (!checked.ok)
      return PrintError(checked.error);
  }
  std::cerr << findings.ToText();
  return ToInt(findings.empty() ? ExitCode::kOk : ExitCode::kFindings);
}

int Publish(const Arguments& arguments, ConfigurationPublisher* publisher) {
  ConfigurationPublisher::Request request;
  const int checked = Check(arguments, publisher, &request.files);
  if (checked != 0)
    return checked;
  const char* user = std::getenv("USER");
  request.published_by = user == nullptr ? "unknown" : user;
  request.change_id = MakeChangeId();
  request.base_revision = arguments.base;
  request.now = absl::Now();
  const auto revision = Capture([&] { return publisher->Publish(request); });
  if (!revision.ok)
    return PrintError(revision.error);
  std::cout << "published revision=" << revision.value
            << " change_id=" << request.change_id << "\n";
  return 0;
}

int Diff(const Arguments& arguments, ConfigurationPublisher* publisher) {
  ConfigurationPublisher::FilesByTeam files;
  const int checked = Check(arguments, publisher, &files);
  if (checked != 0)
    return checked;
  const auto lines = Capture([&] { return publisher->Diff(files); });
  if (!lines.ok)
    return PrintError(lines.error);
  for (const std::string& line : lines.value)
    std::cout << line << "\n";
  return 0;
}

/** Returns the configuration revision that an instance reports in the metrics
    of its operators' port, "none" if it reports none, or "unreachable". */
std::string FetchRevision(const std::string& address) {
  CheckedHttpClient client(address);
  client.set_connection_timeout(std::chrono::seconds(1));
  client.set_read_timeout(std::chrono::seconds(1));
  const auto result = client.Get("/metrics");
  if (!result || result->status != 200)
    return "unreachable";
  std::istringstream lines(result->body);
  std::string series;
  std::string value;
  while (lines >> series >> value) {
    if (series == "chicory_configuration_revision")
      return value;
  }
  return "none";
}

int Status(const Arguments& arguments, ConfigurationPublisher* publisher) {
  const auto current = Capture([&] { return publisher->Current(); });
  if (!current.ok)
    return PrintError(current.error);
  std::cout << "published revision=" << current.value->index.revision << "\n";
  for (const std::string& entry : arguments.entries)
    std::cout << "entry=" << entry << " revision=" << FetchRevision(entry)
              << "\n";
  return 0;
}

int History(ConfigurationPublisher* publisher) {
  const auto current = Capture([&] { return publisher->Current(); });
  if (!current.ok)
    return PrintError(current.error);
  for (const HistoryEntry& entry : current.value->index.history) {
    std::cout << "revision=" << entry.revision << " team=" << entry.team
              << " by=" << entry.published_by << " time="
              << absl::FormatTime(
                     absl::FromUnixSeconds(entry.time_unix_seconds),
                     absl::UTCTimeZone())
              << " change_id=" << entry.change_id << "\n";
  }
  return 0;
}

int HashSecret(const Arguments& arguments) {
  std::string secret;
  std::getline(std::cin, secret);
  if (arguments.name.empty() || secret.empty()) {
    std::cerr << "chicory_publish: hash needs --name and a secret on standard "
                 "input\n";
    return ToInt(ExitCode::kUsage);
  }
  const std::string salt = MakeChangeId();
  std::cout << "salt=" << salt << " sha256="
            << Sha256Hex(absl::StrCat(salt, arguments.name, ".", secret))
            << "\n";
  return 0;
}

int RunCommand(const Arguments& arguments) {
  if (arguments.command == "keys") {
    std::cout << SchemaChecker::ToMarkdown(ConfigurationSections());
    return 0;
  }
  if (arguments.command == "hash")
    return HashSecret(arguments);
  const bool needs_files = arguments.command == "check" ||
                           arguments.command == "diff" ||
                           arguments.command == "publish";
  if (needs_files && arguments.files.empty()) {
    std::cerr << "chicory_publish: --files is missing; see --help\n";
    return ToInt(ExitCode::kUsage);
  }
  if (arguments.command == "check" && arguments.store.empty()) {
    ConfigurationPublisher::FilesByTeam files;
    return Check(arguments, nullptr, &files);
  }
  if (arguments.store.empty()) {
    std::cerr << "chicory_publish: --store is missing; see --help\n";
    return ToInt(ExitCode::kUsage);
  }
  HttpObjectStore store({.address = arguments.store});
  ConfigurationPublisher publisher(&store);
  if (arguments.command == "check") {
    ConfigurationPublisher::FilesByTeam files;
    return Check(arguments, &publisher, &files);
  }
  if (arguments.command == "diff")
    return Diff(arguments, &publisher);
  if (arguments.command == "publish")
    return Publish(arguments, &publisher);
  if (arguments.command == "status")
    return Status(arguments, &publisher);
  if (arguments.command == "history")
    return History(&publisher);
  std::cerr << "chicory_publish: unknown command `" << arguments.command
            << "`; see --help\n";
  return ToInt(ExitCode::kUsage);
}

int Run(int argc, char** argv) {
  cxxopts::Options options("chicory_publish", kPurpose);
  Arguments arguments;
  options.add_options()("command", "Command to run",
                        cxxopts::value(arguments.command))(
      "files", "Folder that is searched for files",
      cxxopts::value(arguments.files))("store", "Address of the object API",
                                       cxxopts::value(arguments.store))(
      "entry", "Operators' address of an instance; may be repeated",
      cxxopts::value(arguments.entries))("base",
                                         "Revision that the change is based on",
                                         cxxopts::value(arguments.base))(
      "name", "Account or team that the secret belongs to",
      cxxopts::value(arguments.name));
  options.parse_positional({"command"});
  if (const auto code =
          ParseCommandLine(&options, "chicory_publish", argc, argv))
    return *code;
  return RunCommand(arguments);
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}

#include "programs/program.h"

#include <malloc.h>
#include <signal.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

#include "modules/config/settings.h"
#include "modules/core/log.h"

namespace chicory {

void ReturnLargeBlocks() {
  constexpr int kLargeBlockBytes = 256 << 10;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

std::optional<int> ParseCommandLine(cxxopts::Options* options,
                                    const std::string& name,
                                    int argc,
                                    char** argv) {
  options->add_options()("help", "Print this help")("version",
                                                    "Print the version");
  try {
    const auto parsed = options->parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options->help();
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.unmatched().empty())
      return std::nullopt;
    std::cerr << name << ": unknown argument `" << parsed.unmatched().front()
              << "`; see --help\n";
  } catch (const std::exception& exception) {
    std::cerr << name << ": " << exception.what() << "; see --help\n";
  }
  return static_cast<int>(ExitCode::kUsage);
}

std::optional<CheckedRow> StartProgram(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       const SectionRule& settings,
                                       int* exit_code) {
  cxxopts::Options options(name, purpose);
  std::string config;
  std::vector<std::string> overrides;
  bool print_keys = false;
  options.add_options()("keys", "Print the settings reference as Markdown",
                        cxxopts::value(print_keys))("config", "Settings file",
                                                    cxxopts::value(config))(
      "set", "Override of a setting, key=value; may be repeated",
      cxxopts::value(overrides));
  if (const auto code = ParseCommandLine(&options, name, argc, argv)) {
    *exit_code = *code;
    return std::nullopt;
  }
  *exit_code = static_cast<int>(ExitCode::kOk);
  if (print_keys) {
    std::cout << SchemaChecker::ToMarkdown({settings});
    return std::nullopt;
  }
  *exit_code = static_cast<int>(ExitCode::kUsage);
  Findings findings;
  auto checked_settings =
      Settings::Load(settings, config, overrides, &findings);
  if (!checked_settings) {
    std::cerr << findings.ToText();
    return std::nullopt;
  }
  StartLog(checked_settings->text("log_level"));
  *exit_code = static_cast<int>(ExitCode::kOk);
  return checked_settings;
}

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

void PrintListening(
    const std::vector<std::pair<std::string, std::string>>& addresses) {
  std::cout << "listening";
  for (const auto& [name, address] : addresses)
    std::cout << " " << name << "=" << address;
  std::cout << std::endl;
}

std::vector<KeyRule> CommonSettings() {
  return {{"log_level", ValueType::kText, "", false, "info", 1, 16,
           "debug|info|warn|error", "Lowest severity that is logged."}};
}

}  // namespace chicory

#ifndef PROGRAMS_PROGRAM_H_
#define PROGRAMS_PROGRAM_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/config/schema.h"

namespace cxxopts {
class Options;
}  // namespace cxxopts

namespace chicory {

/** Exit codes of every program. */
enum class ExitCode {
  kOk = 0,
  /** The command line or the settings are wrong; findings are on standard
      error. */
  kUsage = 2,
  /** Something the program needs cannot be had, such as its address. */
  kUnavailable = 3,
  /** The change conflicts with another one. */
  kConflict = 4,
  /** The files have findings. */
  kFindings = 5,
};

/** Version that `--version` prints. */
inline constexpr char kVersion[] = "0.1.0";

/** Reads `--help`, `--version`, `--config FILE` and `--set key=value` of a
    process that serves, checks its settings and starts its log. Returns
    nothing when the program is to end with `exit_code`. */
std::optional<CheckedRow> StartProgram(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       const SectionRule& settings,
                                       int* exit_code);

/** Parses the command line of a tool. `--help` and `--version`, which are added
    here, and mistakes end the program: its exit code is returned. */
std::optional<int> ParseCommandLine(cxxopts::Options* options,
                                    const std::string& name,
                                    int argc,
                                    char** argv);

/** Waits for SIGTERM or SIGINT. Call BlockStopSignals first, before any thread
    starts. */
void WaitForStopSignal();

/** Keeps the stop signals from ending the process. */
void BlockStopSignals();

/** Prints `listening NAME=ADDRESS ...` for scripts that started the process. */
void PrintListening(
    const std::vector<std::pair<std::string, std::string>>& addresses);

/** The keys that every process has. */
std::vector<KeyRule> CommonSettings();

}  // namespace chicory

#endif  // PROGRAMS_PROGRAM_H_

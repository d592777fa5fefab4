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

/** Exit codes that all programs share. */
enum class ExitCode {
  kOk = 0,
  /** The command line or the settings are invalid. The errors are printed on
      standard error. */
  kUsage = 2,
  /** A resource that the program needs is unavailable: a listening address
      that is in use, a server that cannot be reached, an unreadable file. */
  kUnavailable = 3,
  /** The publish conflicts with another publish. */
  kConflict = 4,
  /** The configuration files are invalid. */
  kFindings = 5,
};

/** Version number that `--version` prints. */
inline constexpr char kVersion[] = "0.1.0";

/** Starts a server process: parses `--help`, `--version`, `--keys`,
    `--config FILE` and `--set key=value`, validates the settings against
    `settings` and starts the log. Call it once from main().

    Returns the validated settings, or nullopt when the program must exit at
    once with `*exit_code`. Errors have then been printed on standard error. */
std::optional<CheckedRow> StartProgram(int argc,
                                       char** argv,
                                       const std::string& name,
                                       const std::string& purpose,
                                       const SectionRule& settings,
                                       int* exit_code);

/** Parses a command line into the variables that `options` is bound to. Adds
    `--help` and `--version` to `options`.

    Returns nullopt when the program should continue, or the exit code when it
    must exit: after `--help` or `--version`, or when the command line is
    invalid and the error has been printed on standard error. */
std::optional<int> ParseCommandLine(cxxopts::Options* options,
                                    const std::string& name,
                                    int argc,
                                    char** argv);

/** Makes the allocator return blocks of 256 KiB and more to the system when
   they are released. By default it keeps them after the first few, and blocks
   of other sizes then do not fit into what it keeps. To be called at the begin
   of main(). */
void ReturnLargeBlocks();

/** Blocks the calling thread until SIGTERM or SIGINT arrives.
    BlockStopSignals() must have been called before any thread was started. */
void WaitForStopSignal();

/** Blocks SIGTERM and SIGINT in the calling thread and in the threads that it
    starts afterwards, so that they do not terminate the process. Also ignores
    SIGPIPE. */
void BlockStopSignals();

/** Prints `listening NAME=ADDRESS ...` on standard output, which scripts wait
    for to learn the addresses of the process. */
void PrintListening(
    const std::vector<std::pair<std::string, std::string>>& addresses);

/** Returns the settings keys that all server processes have in common. */
std::vector<KeyRule> CommonSettings();

}  // namespace chicory

#endif  // PROGRAMS_PROGRAM_H_

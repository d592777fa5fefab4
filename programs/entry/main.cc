#include <iostream>

#include "programs/entry/entry.h"
#include "programs/program.h"

namespace chicory {
namespace {

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings =
      StartProgram(argc, argv, "chicory_entry",
                   "Entry instance: forwards callers' requests to upstreams.",
                   Entry::SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  ReturnLargeBlocks();
  Entry entry(*settings);
  const auto started = Capture([&] { return entry.Start(); });
  if (!started.ok) {
    std::cerr << "chicory_entry: " << started.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening(entry.addresses());
  WaitForStopSignal();
  entry.Stop();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}

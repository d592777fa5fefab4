#ifndef STAND_INS_SCENARIO_H_
#define STAND_INS_SCENARIO_H_

#include <string>
#include <string_view>
#include <vector>

namespace chicory {

/** What came of a scenario. */
struct ScenarioResult {
  /** One text per line that failed: `file:line: seed N: ...`. */
  std::vector<std::string> failures;
  /** Runs made, one per seed. */
  int runs = 0;
  /** Calls made over all runs. */
  int64_t calls = 0;
  /** Expectations checked over all runs. */
  int checks = 0;
};

/** Runs a scenario written in the small test language; docs/SCENARIOS.md lists
    its sentences. Each sentence is one line. A line that is not understood is
    a failure with its place. */
ScenarioResult RunScenario(std::string_view name, std::string_view text);

}  // namespace chicory

#endif  // STAND_INS_SCENARIO_H_

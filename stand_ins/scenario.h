#ifndef STAND_INS_SCENARIO_H_
#define STAND_INS_SCENARIO_H_

#include <string>
#include <string_view>
#include <vector>

namespace chicory {

/** The outcome of running a scenario. */
struct ScenarioResult {
  /** One message for each unknown statement (`file:line: ...`), or for each
      failed expectation and seed (`file:line: seed N: ...`). */
  std::vector<std::string> failures;
  /** Number of runs, one per seed. */
  int runs = 0;
  /** Number of calls over all runs. */
  int64_t calls = 0;
  /** Number of expectations checked over all runs. */
  int checks = 0;
};

/** Parses a scenario and runs it once per seed in a VirtualFleet.

    `text` holds one statement per line; empty lines and lines that start with
    `#` are ignored. docs/SCENARIOS.md lists the statements. `name` identifies
    the scenario in failure messages. Nothing is run if a statement is unknown
    or no expectation is given; both are reported as failures. */
ScenarioResult RunScenario(std::string_view name, std::string_view text);

}  // namespace chicory

#endif  // STAND_INS_SCENARIO_H_

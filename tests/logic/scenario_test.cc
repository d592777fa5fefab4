#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "stand_ins/scenario.h"

namespace chicory {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void RequirePassing(const std::string& name) {
  const auto path = std::filesystem::path(CHICORY_SCENARIOS) / name;
  const ScenarioResult result = RunScenario(name, ReadFile(path));
  for (const std::string& failure : result.failures)
    UNSCOPED_INFO(failure);
  REQUIRE(result.failures.empty());
  REQUIRE(result.checks > 0);
}

TEST_CASE("scenario calm") {
  RequirePassing("calm.scenario");
}
TEST_CASE("scenario engine-dies") {
  RequirePassing("engine-dies.scenario");
}
TEST_CASE("scenario engine-freezes") {
  RequirePassing("engine-freezes.scenario");
}
TEST_CASE("scenario entry-dies") {
  RequirePassing("entry-dies.scenario");
}
TEST_CASE("scenario entry-freezes") {
  RequirePassing("entry-freezes.scenario");
}
TEST_CASE("scenario engine-leaves") {
  RequirePassing("engine-leaves.scenario");
}
TEST_CASE("scenario crashing-call") {
  RequirePassing("crashing-call.scenario");
}
TEST_CASE("scenario archive-read") {
  RequirePassing("archive-read.scenario");
}
TEST_CASE("scenario together-and-twice") {
  RequirePassing("together-and-twice.scenario");
}

TEST_CASE("a line that is not understood is reported with its place") {
  const ScenarioResult result =
      RunScenario("x.scenario", "fleet of 1 entries and 1 engines\nsing\n");
  REQUIRE(result.failures.front() == "x.scenario:2: not understood: sing");
}

TEST_CASE("an expectation that fails names its line and seed") {
  const ScenarioResult result =
      RunScenario("x.scenario",
                  "fleet of 1 entries and 1 engines\n"
                  "call of 1000 tokens at 1s\nrun until 30s\n"
                  "expect 50% of short first tokens within 1ms\n");
  REQUIRE(result.failures.size() == 1);
  REQUIRE(result.failures.front().rfind("x.scenario:4: seed 1: ", 0) == 0);
}

TEST_CASE("the same seed gives the same run") {
  const std::string text =
      ReadFile(std::filesystem::path(CHICORY_SCENARIOS) / "calm.scenario") +
      "expect 50% of all first tokens within 1ms\n";
  REQUIRE(RunScenario("a", text).failures == RunScenario("a", text).failures);
}

}  // namespace
}  // namespace chicory

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

void RequireScenarioPasses(const std::string& name) {
  const auto path = std::filesystem::path(CHICORY_SCENARIOS) / name;
  const ScenarioResult result = RunScenario(name, ReadFile(path));
  for (const std::string& failure : result.failures)
    UNSCOPED_INFO(failure);
  REQUIRE(result.failures.empty());
  REQUIRE(result.checks > 0);
}

TEST_CASE("scenario calm") {
  RequireScenarioPasses("calm.scenario");
}
TEST_CASE("scenario engine-dies") {
  RequireScenarioPasses("engine-dies.scenario");
}
TEST_CASE("scenario engine-freezes") {
  RequireScenarioPasses("engine-freezes.scenario");
}
TEST_CASE("scenario entry-dies") {
  RequireScenarioPasses("entry-dies.scenario");
}
TEST_CASE("scenario entry-freezes") {
  RequireScenarioPasses("entry-freezes.scenario");
}
TEST_CASE("scenario engine-leaves") {
  RequireScenarioPasses("engine-leaves.scenario");
}
TEST_CASE("scenario crashing-call") {
  RequireScenarioPasses("crashing-call.scenario");
}
TEST_CASE("scenario archive-read") {
  RequireScenarioPasses("archive-read.scenario");
}
TEST_CASE("scenario together-and-twice") {
  RequireScenarioPasses("together-and-twice.scenario");
}

TEST_CASE("an unknown scenario statement is reported with its line number") {
  const ScenarioResult result =
      RunScenario("x.scenario", "fleet of 1 entries and 1 engines\nsing\n");
  REQUIRE(result.failures.front() == "x.scenario:2: unknown statement: sing");
}

TEST_CASE("a failed expectation is reported with its line number and seed") {
  const ScenarioResult result =
      RunScenario("x.scenario",
                  "fleet of 1 entries and 1 engines\n"
                  "call of 1000 tokens at 1s\nrun until 30s\n"
                  "expect 50% of short first tokens within 1ms\n");
  REQUIRE(result.failures.size() == 1);
  REQUIRE(result.failures.front().rfind("x.scenario:4: seed 1: ", 0) == 0);
}

TEST_CASE("a scenario run depends only on its seed") {
  const std::string text =
      ReadFile(std::filesystem::path(CHICORY_SCENARIOS) / "calm.scenario") +
      "expect 50% of all first tokens within 1ms\n";
  REQUIRE(RunScenario("a", text).failures == RunScenario("a", text).failures);
}

}  // namespace
}  // namespace chicory

#include <catch2/catch.hpp>

#include <string>

#include "modules/config/config.h"
#include "modules/store/configuration_publisher.h"
#include "stand_ins/memory_object_store.h"

namespace chicory {
namespace {

constexpr char kPlatformFile[] =
    "owner: {team: platform}\n"
    "priorities: [{name: interactive, rank: 0}]\n"
    "length_classes: [{name: short, up_to_tokens: 4000, "
    "first_token_within: 480ms}]\n";

constexpr char kTeamFile[] =
    "owner: {team: haddad}\n"
    "routes:\n"
    "  - {name: desk, path: /desk, kind: service, pool: desk, repeat: never}\n";

struct BadFile {
  const char* name;
  const char* text;
  const char* code;
  int line;
};

TEST_CASE("each mistake in a file is reported with its location") {
  const auto bad_file = GENERATE(values<BadFile>({
      {"unknown section", "owner: {team: a}\nroads: []\n", "unknown-key", 2},
      {"unknown key", "owner: {team: a}\nroutes:\n  - {name: x, colour: red}\n",
       "unknown-key", 3},
      {"wrong type", "owner: {team: a}\nroutes: 7\n", "wrong-type", 2},
      {"missing key", "owner: {team: a}\nroutes:\n  - {name: x}\n",
       "missing-key", 3},
      {"duplicate name",
       "owner: {team: a}\nroutes:\n"
       "  - {name: x, path: /x, kind: service, pool: p}\n"
       "  - {name: x, path: /y, kind: service, pool: p}\n",
       "duplicate-name", 4},
      {"value not allowed",
       "owner: {team: a}\nroutes:\n"
       "  - {name: x, path: /x, kind: ship, pool: p}\n",
       "unknown-word", 3},
      {"out of bounds",
       "owner: {team: a}\nroutes:\n"
       "  - {name: x, path: /x, kind: service, pool: p, timeout: 9000s}\n",
       "out-of-bounds", 3},
      {"malformed", "owner: {team: a\nroutes: [", "malformed-yaml", 2},
      {"section reserved for the platform team",
       "owner: {team: a}\npriorities: [{name: x, rank: 1}]\n", "not-allowed",
       2},
      {"unknown priority",
       "owner: {team: a}\nroutes:\n"
       "  - {name: x, path: /x, kind: service, pool: p, priority: none}\n",
       "unknown-priority", 3},
  }));
  INFO(bad_file.name);
  Findings findings;
  ConfigurationReader::Read({{"a", {{"a.chicory.yaml", bad_file.text}}}},
                            &findings);
  bool is_reported = false;
  for (const Finding& finding : findings.Sorted())
    is_reported |=
        finding.code == bad_file.code && finding.line == bad_file.line;
  INFO(findings.ToText());
  REQUIRE(is_reported);
}

TEST_CASE("all findings of all files are reported together") {
  Findings findings;
  ConfigurationReader::Read(
      {{"a", {{"1.yaml", "owner: {team: a}\nx: 1\ny: 2\n"}}},
       {"b", {{"2.yaml", "owner: {team: b}\nz: 3\n"}}}},
      &findings);
  REQUIRE(findings.Sorted().size() == 3);
}

TEST_CASE("a path is routed by its longest prefix of whole segments") {
  Findings findings;
  const Configuration configuration = ConfigurationReader::Read(
      {{"a",
        {{"a.yaml",
          "owner: {team: a}\nroutes:\n"
          "  - {name: desk, path: /desk, kind: service, pool: p}\n"
          "  - {name: jobs, path: /desk/jobs, kind: service, pool: p}\n"}}}},
      &findings);
  REQUIRE(findings.empty());
  REQUIRE(configuration.RouteFor("/desk/jobs/7")->name == "jobs");
  REQUIRE(configuration.RouteFor("/desk/jobsite")->name == "desk");
  REQUIRE(configuration.RouteFor("/desks") == nullptr);
}

ConfigurationPublisher::Request MakeRequest(const std::string& id,
                                            const std::string& team,
                                            const std::string& text,
                                            uint64_t base = 0) {
  return {.files = {{team, {{team + ".chicory.yaml", text}}}},
          .published_by = "test",
          .change_id = id,
          .base_revision = base,
          .now = absl::UnixEpoch()};
}

TEST_CASE("disjoint publishes merge, concurrent ones of one team conflict") {
  MemoryObjectStore store;
  ConfigurationPublisher publisher(&store);
  REQUIRE(
      publisher.Publish(MakeRequest("1", "platform", kPlatformFile)).value() ==
      1);
  REQUIRE(publisher.Publish(MakeRequest("2", "haddad", kTeamFile, 1)).value() ==
          2);
  // Only other teams have published since revision 1, so the change is merged.
  REQUIRE(
      publisher
          .Publish(MakeRequest("3", "kaartwerk", "owner: {team: kaartwerk}", 1))
          .value() == 3);
  // The same team has published since revision 1, so the change conflicts.
  const auto conflicting = Capture([&] {
    return publisher.Publish(MakeRequest("4", "haddad", kTeamFile, 1));
  });
  REQUIRE(!conflicting.ok);
  REQUIRE(conflicting.error.code == ErrorCode::kConflict);
  const auto current = publisher.Current().value();
  REQUIRE(current->index.revision == 3);
  REQUIRE(current->configuration.routes.count("desk") == 1);
}

TEST_CASE("a lost response to a publish is resolved by reading back") {
  MemoryObjectStore store;
  ConfigurationPublisher publisher(&store);
  const int lost_responses = GENERATE(1, 2, 3);
  store.SetFaults({.lose_responses = lost_responses});
  REQUIRE(
      publisher.Publish(MakeRequest("1", "platform", kPlatformFile)).value() ==
      1);
  // Publishing the same change again returns its revision and creates none.
  REQUIRE(
      publisher.Publish(MakeRequest("1", "platform", kPlatformFile)).value() ==
      1);
}

TEST_CASE("a publish with findings leaves the configuration unchanged") {
  MemoryObjectStore store;
  ConfigurationPublisher publisher(&store);
  const auto published = Capture([&] {
    return publisher.Publish(MakeRequest("1", "haddad", "owner: {team: x}\n"));
  });
  REQUIRE(!published.ok);
  REQUIRE(published.error.code == ErrorCode::kInvalid);
  REQUIRE(publisher.Current().value()->index.revision == 0);
}

TEST_CASE("a corrupt blob is not accepted") {
  const std::string blob = FilesToBlob({{"a.yaml", "owner: {team: a}"}});
  ConfigurationIndex index{.revision = 1, .blobs = {{"a", BlobName(blob)}}};
  REQUIRE(Capture([&] {
            return ConfigurationSnapshot::Build(index.ToJson(),
                                                {{BlobName(blob), blob}});
          }).ok);
  REQUIRE(!Capture([&] {
             return ConfigurationSnapshot::Build(
                 index.ToJson(), {{BlobName(blob), blob + " "}});
           }).ok);
}

}  // namespace
}  // namespace chicory

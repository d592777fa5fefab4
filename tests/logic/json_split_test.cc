#include "modules/core/json_split.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace chicory {
namespace {

TEST_CASE("a JSON object is split into its members") {
  struct Case {
    const char* name;
    std::string text;
    /** `name=value` of each member, separated by `|`; `none` for no object. */
    std::string members;
  };
  const std::string deep(100000, '[');
  const std::vector<Case> cases = {
      {"empty", " { } ", ""},
      {"scalars", R"({"a":1,"b":true , "c":null})", "a=1|b=true|c=null"},
      {"numbers that no parser takes", R"({"a":1e999999,"b":--7})",
       "a=1e999999|b=--7"},
      {"brackets and quotes in strings", R"({"a":"}\"]{","b":"\\"})",
       R"(a="}\"]{"|b="\\")"},
      {"nested", R"({"a":{"b":[{}, "]"]},"c":[[1],[2]]})",
       R"(a={"b":[{}, "]"]}|c=[[1],[2]])"},
      {"bytes that are not UTF-8", "{\"a\":\"\xff\",\"b\":1}",
       "a=\"\xff\"|b=1"},
      {"a level of nesting without end", "{\"a\":" + deep + "}", "none"},
      {"text", R"("a")", "none"},
      {"array", "[1]", "none"},
      {"nothing", "", "none"},
      {"no end", R"({"a":1)", "none"},
      {"a string without end", R"({"a":"b)", "none"},
      {"an escape without end", "{\"a\":\"\\", "none"},
      {"no value", R"({"a":})", "none"},
      {"no name", R"({1:2})", "none"},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const auto members = SplitJsonObject(c.text);
    const std::string found =
        members ? absl::StrJoin(*members, "|",
                                [](std::string* out, const JsonMember& member) {
                                  absl::StrAppend(out, member.name, "=",
                                                  member.value);
                                })
                : "none";
    CHECK(found == c.members);
  }
}

TEST_CASE("a JSON array is split into its elements") {
  struct Case {
    std::string text;
    std::string elements;
  };
  const std::vector<Case> cases = {
      {"[]", ""},
      {" [ 1 , {\"a\":[2]}, \"],\" ] ", "1|{\"a\":[2]}|\"],\""},
      {"[1", "none"},
      {"{}", "none"},
      {"[1,]", "none"},
  };
  for (const Case& c : cases) {
    INFO(c.text);
    const auto elements = SplitJsonArray(c.text);
    CHECK((elements ? absl::StrJoin(*elements, "|") : "none") == c.elements);
  }
}

TEST_CASE("splitting JSON withstands corrupted input, seeds 1 to 500") {
  const std::string text = R"({"a":[1,{"b":"c\"d"}],"e":{"f":[[]]},"g":"h"})";
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    std::string corrupted = text;
    for (unsigned i = 1 + random() % 6; i > 0; --i)
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    corrupted.resize(random() % (corrupted.size() + 1));
    const auto members = SplitJsonObject(corrupted);
    if (!members)
      continue;
    for (const JsonMember& member : *members)
      CHECK(member.value.size() <= corrupted.size());
  }
}

}  // namespace
}  // namespace chicory

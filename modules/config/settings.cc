#include "modules/config/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace chicory {

namespace {

/** Returns `text` with the overrides applied to its `settings` section. Returns
    it unchanged if it is not valid YAML, so that the subsequent validation
    reports the error with its location. */
std::string ApplyOverrides(const std::string& text,
                           const std::vector<std::string>& overrides,
                           Findings* findings) {
  try {
    YAML::Node root = YAML::Load(text);
    for (const std::string& override_text : overrides) {
      const size_t equals = override_text.find('=');
      if (equals == std::string::npos || equals == 0) {
        findings->Add({.file = "--set",
                       .path = override_text,
                       .code = "malformed-override",
                       .problem = "no `=`",
                       .expected = "key=value"});
        continue;
      }
      root["settings"][override_text.substr(0, equals)] =
          override_text.substr(equals + 1);
    }
    std::stringstream out;
    out << root;
    return out.str();
  } catch (const YAML::Exception&) {
    return text;
  }
}

}  // namespace

std::optional<CheckedRow> Settings::Load(
    const SectionRule& rule,
    const std::string& path,
    const std::vector<std::string>& overrides,
    Findings* findings) {
  std::string text = "settings: {}\n";
  if (!path.empty()) {
    std::ifstream file(path);
    if (!file) {
      findings->Add({.file = path,
                     .code = "unreadable",
                     .problem = "the file cannot be read"});
      return std::nullopt;
    }
    std::stringstream content;
    content << file.rdbuf();
    text = content.str();
  }
  const std::string name = path.empty() ? "--set" : path;
  // The text is only rewritten if there are overrides, so that otherwise the
  // findings carry the locations in the file itself.
  if (!overrides.empty())
    text = ApplyOverrides(text, overrides, findings);
  const CheckedFile checked =
      SchemaChecker::Check(name, text, {rule}, findings);
  auto rows = checked.sections.find(rule.name);
  if (!findings->empty())
    return std::nullopt;
  if (rows == checked.sections.end() || rows->second.empty()) {
    findings->Add({.file = name,
                   .code = "missing-key",
                   .problem = "no `settings` section",
                   .expected = "settings: {...}"});
    return std::nullopt;
  }
  return rows->second.front();
}

}  // namespace chicory

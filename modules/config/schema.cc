#include "modules/config/schema.h"

#include <yaml-cpp/yaml.h>

#include <cassert>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace chicory {

namespace {

/** Reports findings about one file. */
struct FindingReporter {
  std::string file;
  Findings* findings;

  void Report(const YAML::Mark& mark,
              std::string path,
              std::string code,
              std::string problem,
              std::string expected) const {
    findings->Add({.file = file,
                   .line = mark.line + 1,
                   .column = mark.column + 1,
                   .path = std::move(path),
                   .code = std::move(code),
                   .problem = std::move(problem),
                   .expected = std::move(expected)});
  }
};

/** Formats the bounds of a rule for findings and documentation. */
std::string FormatBounds(const KeyRule& rule) {
  return absl::StrCat(rule.minimum, " to ", rule.maximum);
}

/** Returns whether the rule allows `text`. */
bool IsAllowedValue(const KeyRule& rule, const std::string& text) {
  if (*rule.allowed_values == '\0')
    return true;
  for (absl::string_view allowed_value :
       absl::StrSplit(rule.allowed_values, '|')) {
    if (allowed_value == text)
      return true;
  }
  return false;
}

/** Parses a scalar of a numeric type into `number`: durations in seconds,
    booleans as 0 or 1. Returns false if the text is not a value of the type. */
bool ParseNumber(ValueType type, const std::string& text, double* number) {
  switch (type) {
    case ValueType::kInteger: {
      int64_t value = 0;
      if (!absl::SimpleAtoi(text, &value))
        return false;
      *number = static_cast<double>(value);
      return true;
    }
    case ValueType::kNumber:
      return absl::SimpleAtod(text, number) && std::isfinite(*number);
    case ValueType::kDuration: {
      absl::Duration duration;
      if (!absl::ParseDuration(text, &duration))
        return false;
      *number = absl::ToDoubleSeconds(duration);
      return std::isfinite(*number);
    }
    case ValueType::kBoolean:
      if (text != "true" && text != "false")
        return false;
      *number = text == "true" ? 1 : 0;
      return true;
    case ValueType::kText:
    case ValueType::kTextList:
      return false;
  }
  return false;
}

/** Returns the rule of `key`, or null if the section has no such key. */
const KeyRule* FindRule(const SectionRule& section, const std::string& key) {
  for (const KeyRule& rule : section.keys) {
    if (key == rule.key)
      return &rule;
  }
  return nullptr;
}

/** Lists the keys of a section for a finding. */
std::string KnownKeys(const SectionRule& section) {
  std::string known = "one of";
  for (const KeyRule& rule : section.keys)
    absl::StrAppend(&known, " ", rule.key);
  return known;
}

}  // namespace

const char* ValueTypeName(ValueType type) {
  static constexpr const char* kNames[] = {"text",     "integer", "number",
                                           "duration", "boolean", "list"};
  return kNames[static_cast<int>(type)];
}

const CheckedRow::Cell& CheckedRow::cell(const char* key) const {
  auto found = cells_.find(key);
  assert(found != cells_.end() && "the section has no rule for this key");
  return found->second;
}

const std::string& CheckedRow::text(const char* key) const {
  return cell(key).text;
}

int64_t CheckedRow::integer(const char* key) const {
  return static_cast<int64_t>(cell(key).number);
}

double CheckedRow::number(const char* key) const {
  return cell(key).number;
}

absl::Duration CheckedRow::duration(const char* key) const {
  return absl::Seconds(cell(key).number);
}

bool CheckedRow::boolean(const char* key) const {
  return cell(key).number != 0;
}

const std::vector<std::string>& CheckedRow::text_list(const char* key) const {
  return cell(key).list;
}

CheckedRow::Location CheckedRow::location(const char* key) const {
  auto found = cells_.find(key);
  if (found == cells_.end() || found->second.location.line == 0)
    return location_;
  return found->second.location;
}

namespace {

/** Validates a list value and appends its items to `list`. Returns false if
    there are findings. */
bool CheckTextList(const FindingReporter& reporter,
                   const KeyRule& rule,
                   const std::string& path,
                   const YAML::Node& node,
                   std::vector<std::string>* list) {
  if (!node.IsSequence()) {
    reporter.Report(node.Mark(), path, "wrong-type", "not a list",
                    "a list of texts");
    return false;
  }
  for (const YAML::Node& item : node) {
    if (!item.IsScalar()) {
      reporter.Report(item.Mark(), path, "wrong-type",
                      "an item is not a scalar", "a list of texts");
      return false;
    }
    list->push_back(item.Scalar());
  }
  if (list->size() < rule.minimum || list->size() > rule.maximum) {
    reporter.Report(node.Mark(), path, "out-of-bounds",
                    absl::StrCat(list->size(), " items"), FormatBounds(rule));
    return false;
  }
  return true;
}

/** Validates a scalar value and stores numeric types in `number`. Returns false
    if there are findings. */
bool CheckScalar(const FindingReporter& reporter,
                 const KeyRule& rule,
                 const std::string& path,
                 const YAML::Mark& mark,
                 const std::string& text,
                 double* number) {
  if (rule.type == ValueType::kText) {
    if (!IsAllowedValue(rule, text)) {
      reporter.Report(mark, path, "unknown-word",
                      absl::StrCat("`", text, "` is not allowed"),
                      rule.allowed_values);
      return false;
    }
    if (text.size() < rule.minimum || text.size() > rule.maximum) {
      reporter.Report(mark, path, "out-of-bounds",
                      absl::StrCat("a text of ", text.size(), " bytes"),
                      absl::StrCat(FormatBounds(rule), " bytes"));
      return false;
    }
    return true;
  }
  if (!ParseNumber(rule.type, text, number)) {
    reporter.Report(mark, path, "wrong-type",
                    absl::StrCat("`", text, "` is not a value of this type"),
                    ValueTypeName(rule.type));
    return false;
  }
  if (rule.type != ValueType::kBoolean &&
      (*number < rule.minimum || *number > rule.maximum)) {
    reporter.Report(mark, path, "out-of-bounds", absl::StrCat("`", text, "`"),
                    absl::StrCat(FormatBounds(rule), " ", rule.unit));
    return false;
  }
  return true;
}

}  // namespace

CheckedFile SchemaChecker::Check(std::string_view file,
                                 std::string_view text,
                                 const std::vector<SectionRule>& sections,
                                 Findings* findings) {
  CheckedFile checked;
  const FindingReporter reporter{std::string(file), findings};
  if (text.size() > kMaxFileBytes) {
    reporter.Report(YAML::Mark(), "", "too-large",
                    absl::StrCat(text.size(), " bytes"),
                    absl::StrCat("at most ", kMaxFileBytes, " bytes"));
    return checked;
  }
  YAML::Node root;
  try {
    root = YAML::Load(std::string(text));
  } catch (const YAML::Exception& exception) {
    reporter.Report(exception.mark, "", "malformed-yaml", exception.msg,
                    "well-formed YAML");
    return checked;
  }
  if (!root.IsMap()) {
    reporter.Report(root.Mark(), "", "wrong-type", "not a mapping of sections",
                    "a mapping");
    return checked;
  }

  // Parses one mapping into `row`. Returns false if there are findings.
  auto parse_row = [&](const SectionRule& section, const std::string& path,
                       const YAML::Node& node, CheckedRow* row) {
    if (!node.IsMap()) {
      reporter.Report(node.Mark(), path, "wrong-type", "not a mapping",
                      "a mapping");
      return false;
    }
    bool is_valid = true;
    row->location_ = {node.Mark().line + 1, node.Mark().column + 1};
    for (const auto& pair : node) {
      const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "";
      const std::string key_path = absl::StrCat(path, ".", key);
      const KeyRule* rule = FindRule(section, key);
      if (rule == nullptr) {
        reporter.Report(
            pair.first.Mark(), key_path, "unknown-key",
            absl::StrCat("`", key, "` is not a key of this section"),
            KnownKeys(section));
        is_valid = false;
        continue;
      }
      if (row->cells_.count(key) != 0) {
        reporter.Report(pair.first.Mark(), key_path, "duplicate-key",
                        "the key appears more than once", "each key once");
        is_valid = false;
        continue;
      }
      CheckedRow::Cell& cell = row->cells_[key];
      cell.location = {pair.second.Mark().line + 1,
                       pair.second.Mark().column + 1};
      if (rule->type == ValueType::kTextList) {
        is_valid &=
            CheckTextList(reporter, *rule, key_path, pair.second, &cell.list);
        continue;
      }
      if (!pair.second.IsScalar()) {
        reporter.Report(pair.second.Mark(), key_path, "wrong-type",
                        "not a scalar", ValueTypeName(rule->type));
        is_valid = false;
        continue;
      }
      cell.text = pair.second.Scalar();
      is_valid &= CheckScalar(reporter, *rule, key_path, pair.second.Mark(),
                              cell.text, &cell.number);
    }
    for (const KeyRule& rule : section.keys) {
      if (row->cells_.count(rule.key) != 0)
        continue;
      if (rule.required) {
        reporter.Report(node.Mark(), absl::StrCat(path, ".", rule.key),
                        "missing-key", "a required key is missing",
                        ValueTypeName(rule.type));
        is_valid = false;
        continue;
      }
      CheckedRow::Cell& cell = row->cells_[rule.key];
      cell.text = rule.default_value;
      if (rule.type == ValueType::kTextList && *rule.default_value != '\0')
        cell.list = absl::StrSplit(rule.default_value, ',');
      ParseNumber(rule.type, cell.text, &cell.number);
    }
    return is_valid;
  };

  std::set<std::string> seen_sections;
  for (const auto& pair : root) {
    const std::string name = pair.first.IsScalar() ? pair.first.Scalar() : "";
    const SectionRule* section = nullptr;
    std::string known = "one of";
    for (const SectionRule& candidate : sections) {
      absl::StrAppend(&known, " ", candidate.name);
      if (name == candidate.name)
        section = &candidate;
    }
    if (section == nullptr) {
      reporter.Report(pair.first.Mark(), name, "unknown-key",
                      absl::StrCat("`", name, "` is not a section"), known);
      continue;
    }
    if (!seen_sections.insert(name).second) {
      reporter.Report(pair.first.Mark(), name, "duplicate-key",
                      "the section appears more than once",
                      "each section once");
      continue;
    }
    std::vector<CheckedRow>& rows = checked.sections[name];
    if (!section->is_list) {
      CheckedRow row;
      if (parse_row(*section, name, pair.second, &row))
        rows.push_back(std::move(row));
      continue;
    }
    if (!pair.second.IsSequence()) {
      reporter.Report(pair.second.Mark(), name, "wrong-type", "not a list",
                      "a list of mappings");
      continue;
    }
    std::set<std::string> names;
    int index = 0;
    for (const YAML::Node& node : pair.second) {
      CheckedRow row;
      const std::string path = absl::StrCat(name, "[", index++, "]");
      if (!parse_row(*section, path, node, &row))
        continue;
      if (!names.insert(row.text("name")).second) {
        reporter.Report(
            node.Mark(), path + ".name", "duplicate-name",
            absl::StrCat("`", row.text("name"), "` appears more than once"),
            "a unique name");
        continue;
      }
      rows.push_back(std::move(row));
    }
  }
  return checked;
}

std::string SchemaChecker::ToMarkdown(
    const std::vector<SectionRule>& sections) {
  std::string text;
  for (const SectionRule& section : sections) {
    absl::StrAppend(&text, "### `", section.name, "`",
                    section.is_list ? " (a list)" : "", "\n\n",
                    section.description,
                    "\n\n| key | type | unit | default | bounds | meaning |\n"
                    "| --- | --- | --- | --- | --- | --- |\n");
    for (const KeyRule& rule : section.keys) {
      std::string bounds =
          *rule.allowed_values != '\0'
              ? absl::StrJoin(absl::StrSplit(rule.allowed_values, '|'), ", ")
          : rule.type == ValueType::kBoolean ? ""
                                             : FormatBounds(rule);
      absl::StrAppend(&text, "| `", rule.key, "` | ", ValueTypeName(rule.type),
                      " | ", rule.unit, " | ",
                      rule.required                 ? "required"
                      : *rule.default_value == '\0' ? "none"
                                                    : rule.default_value,
                      " | ", bounds, " | ", rule.description, " |\n");
    }
    absl::StrAppend(&text, "\n");
  }
  return text;
}

}  // namespace chicory

#ifndef MODULES_CONFIG_SCHEMA_H_
#define MODULES_CONFIG_SCHEMA_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/findings.h"

namespace chicory {

/** The type of one key of a settings or configuration file. */
enum class ValueType {
  kText,
  kInteger,
  kNumber,
  kDuration,
  kBoolean,
  kTextList,
};

/** The name of a type, as it stands in docs and findings. */
const char* ValueTypeName(ValueType type);

/** What one key may hold. Tables of these drive the checks and the docs. */
struct KeyRule {
  const char* key;
  ValueType type;
  /** Unit of the value, or an empty string. */
  const char* unit;
  bool required;
  /** The value when the key is absent, written as in YAML. */
  const char* fallback;
  /** Inclusive bounds: numbers as they are, durations in seconds, texts and
      lists by their length. */
  double minimum;
  double maximum;
  /** Allowed words, separated by `|`; empty when any text will do. */
  const char* choices;
  const char* doc;
};

/** One section of a file: a list of mappings, or a single mapping. */
struct SectionRule {
  const char* name;
  /** True when the section is a list whose rows have unique `name`s. */
  bool is_list;
  const char* doc;
  std::vector<KeyRule> keys;
};

/** One checked mapping with its typed values and places. */
class CheckedRow {
 public:
  /** Where a key stands; one-based. */
  struct Location {
    int line = 0;
    int column = 0;
  };

  /** The text of `key`; the key must be a rule of the section. */
  const std::string& text(const char* key) const;
  /** The value of an integer key. */
  int64_t integer(const char* key) const;
  /** The value of a number key. */
  double number(const char* key) const;
  /** The value of a duration key. */
  absl::Duration duration(const char* key) const;
  /** The value of a boolean key. */
  bool boolean(const char* key) const;
  /** The value of a list key. */
  const std::vector<std::string>& text_list(const char* key) const;
  /** The place of `key`, or of the row when the key is absent. */
  Location location(const char* key) const;

 private:
  friend class SchemaChecker;
  struct Cell {
    std::string text;
    double number = 0;
    std::vector<std::string> list;
    Location location;
  };
  const Cell& cell(const char* key) const;

  std::map<std::string, Cell, std::less<>> cells_;
  Location place_;
};

/** A checked file: the rows of each section. */
struct CheckedFile {
  std::map<std::string, std::vector<CheckedRow>> sections;
};

/** Checks YAML text against section rules and collects every finding.
    Stateless; any thread. */
class SchemaChecker {
 public:
  /** The largest file that is read, in bytes. */
  static constexpr size_t kMaxFileBytes = 1 << 20;

  /** Reads `text`, named `file` in findings. Top-level keys other than the
      sections are findings. Rows with findings are left out. */
  static CheckedFile Check(std::string_view file,
                           std::string_view text,
                           const std::vector<SectionRule>& sections,
                           Findings* findings);

  /** A Markdown table of all keys of `sections`. */
  static std::string ToMarkdown(const std::vector<SectionRule>& sections);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_SCHEMA_H_

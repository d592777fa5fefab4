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

/** The value type of a key in a settings or configuration file. */
enum class ValueType {
  kText,
  kInteger,
  kNumber,
  kDuration,
  kBoolean,
  kTextList,
};

/** Returns the name of a type that is used in documentation and findings. */
const char* ValueTypeName(ValueType type);

/** Describes the values that a key accepts. Tables of rules define both the
    validation and the reference documentation. */
struct KeyRule {
  const char* key;
  ValueType type;
  /** The unit of the value; may be empty. */
  const char* unit;
  bool required;
  /** The value if the key is absent, written as in YAML; list items are
      separated by commas. */
  const char* default_value;
  /** Inclusive bounds: the value of a number, the seconds of a duration, the
      length of a text in bytes or the number of items of a list. Not used for
      booleans. */
  double minimum;
  double maximum;
  /** The allowed values of a text, separated by `|`; empty if any text is
      allowed. */
  const char* allowed_values;
  const char* description;
};

/** Describes a section of a file, which is either a list of mappings or a
    single mapping. */
struct SectionRule {
  const char* name;
  /** Whether the section is a list. Its mappings need a unique `name` each. */
  bool is_list;
  const char* description;
  std::vector<KeyRule> keys;
};

/** A validated mapping of a section, with typed values and their locations.

    The accessors require a key that has a rule in the section, and the one that
    fits the type of that rule. A key that is absent from the file has its
    default value. */
class CheckedRow {
 public:
  /** A position in the file; line and column are one-based. */
  struct Location {
    int line = 0;
    int column = 0;
  };

  /** Returns the value of a text key, or the source text of another scalar. */
  const std::string& text(const char* key) const;
  /** Returns the value of an integer key. */
  int64_t integer(const char* key) const;
  /** Returns the value of a number key. */
  double number(const char* key) const;
  /** Returns the value of a duration key. */
  absl::Duration duration(const char* key) const;
  /** Returns the value of a boolean key. */
  bool boolean(const char* key) const;
  /** Returns the items of a list key. */
  const std::vector<std::string>& text_list(const char* key) const;
  /** Returns the location of the value of `key`, or of the mapping if the key
      is absent. */
  Location location(const char* key) const;

 private:
  friend class SchemaChecker;
  /** The value of one key. */
  struct Cell {
    std::string text;
    double number = 0;
    std::vector<std::string> list;
    Location location;
  };
  const Cell& cell(const char* key) const;

  std::map<std::string, Cell, std::less<>> cells_;
  Location location_;
};

/** The validated mappings of a file, by section name. */
struct CheckedFile {
  std::map<std::string, std::vector<CheckedRow>> sections;
};

/** Validates YAML text against section rules and collects all findings instead
    of stopping at the first one. Stateless; may be used on any thread. */
class SchemaChecker {
 public:
  /** Maximum size of a file in bytes; a larger one is a finding. */
  static constexpr size_t kMaxFileBytes = 1 << 20;

  /** Parses and validates `text`, which findings refer to as `file`. Top-level
      keys that name no section are findings. Mappings with findings are left
      out of the result. */
  static CheckedFile Check(std::string_view file,
                           std::string_view text,
                           const std::vector<SectionRule>& sections,
                           Findings* findings);

  /** Returns reference documentation in Markdown, with a table of the keys of
      each section. */
  static std::string ToMarkdown(const std::vector<SectionRule>& sections);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_SCHEMA_H_

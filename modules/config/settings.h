#ifndef MODULES_CONFIG_SETTINGS_H_
#define MODULES_CONFIG_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "modules/config/schema.h"
#include "modules/core/findings.h"

namespace chicory {

/** Loads the settings of a process from the `settings` section of a YAML file,
    with overrides from the command line. */
class Settings {
 public:
  /** Reads the file at `path`, or none if it is empty, applies `overrides` of
      the form `key=value` and validates the result against `rule`. Returns
      nullopt if there are findings, which are all collected. */
  static std::optional<CheckedRow> Load(
      const SectionRule& rule,
      const std::string& path,
      const std::vector<std::string>& overrides,
      Findings* findings);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_SETTINGS_H_

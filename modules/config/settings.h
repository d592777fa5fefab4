#ifndef MODULES_CONFIG_SETTINGS_H_
#define MODULES_CONFIG_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "modules/config/schema.h"
#include "modules/core/findings.h"

namespace chicory {

/** The settings of one process: a checked `settings` section, of which single
    keys may be set on the command line. */
class Settings {
 public:
  /** Reads `path` (empty: no file) and applies `overrides` of the form
      `key=value`. All findings are collected. */
  static std::optional<CheckedRow> Load(
      const SectionRule& rule,
      const std::string& path,
      const std::vector<std::string>& overrides,
      Findings* findings);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_SETTINGS_H_

#ifndef MODULES_CONFIG_CONFIG_H_
#define MODULES_CONFIG_CONFIG_H_

/** Public header of the config module: the YAML schema and its validation, the
    merging of the teams' files, and the published form. Depends on core.

    Classes: SchemaChecker, CheckedRow, Configuration, ConfigurationReader,
    ConfigurationIndex, ConfigurationSnapshot. settings.h, with the class
    Settings, is included separately. */

#include "modules/config/configuration.h"
#include "modules/config/published.h"
#include "modules/config/schema.h"

#endif  // MODULES_CONFIG_CONFIG_H_

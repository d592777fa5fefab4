#ifndef MODULES_CONFIG_CONFIG_H_
#define MODULES_CONFIG_CONFIG_H_

/** Face of the config module: the YAML schema and its checks, the merge of the
    teams' files, and the published form. May include core.

    Classes: SchemaChecker, CheckedRow, Configuration, ConfigurationReader,
    ConfigurationIndex, ConfigurationSnapshot. */

#include "modules/config/configuration.h"
#include "modules/config/published.h"
#include "modules/config/schema.h"

#endif  // MODULES_CONFIG_CONFIG_H_

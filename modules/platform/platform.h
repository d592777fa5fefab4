#ifndef MODULES_PLATFORM_PLATFORM_H_
#define MODULES_PLATFORM_PLATFORM_H_

/** Face of the platform module: the platform's object API and instance list,
    and what is built on them. May include core and config.

    Classes: ObjectStore, HttpObjectStore, ConfigurationPublisher. */

#include "modules/platform/configuration_publisher.h"
#include "modules/platform/http_object_store.h"
#include "modules/platform/object_store.h"

#endif  // MODULES_PLATFORM_PLATFORM_H_

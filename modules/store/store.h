#ifndef MODULES_STORE_STORE_H_
#define MODULES_STORE_STORE_H_

/** Public header of the store module: access to the platform's object API and
    instance list, and the publishing of configuration. Depends on core, config
    and calls.

    Classes: ObjectStore, HttpObjectStore, ConfigurationPublisher. */

#include "modules/store/configuration_publisher.h"
#include "modules/store/http_object_store.h"
#include "modules/store/object_store.h"

#endif  // MODULES_STORE_STORE_H_

#ifndef MODULES_STORE_STORE_H_
#define MODULES_STORE_STORE_H_

/** Face of the store module: the object API and the instance list,
    and what is built on them. May include core and config.

    Classes: ObjectStore, HttpObjectStore, ConfigurationPublisher. */

#include "modules/store/configuration_publisher.h"
#include "modules/store/http_object_store.h"
#include "modules/store/object_store.h"

#endif  // MODULES_STORE_STORE_H_

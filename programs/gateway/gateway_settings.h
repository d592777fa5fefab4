#ifndef PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
#define PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "modules/config/schema.h"
#include "modules/core/findings.h"
#include "modules/gateway/gateway.h"

namespace chicory {

/** Validated settings of a gateway process. */
struct GatewaySettings {
  Gateway::Options gateway;
  /** Address of the platform's store. */
  Endpoint store;
  std::string data_centre;
  /** Maximum time until a changed configuration is in force. */
  absl::Duration apply_within;
  /** Maximum time for which a draining upstream still receives requests. */
  absl::Duration drain_within;
  /** Whether each step of each request is logged. */
  bool log_detail = true;
};

/** Returns the schema of the settings file. */
SectionRule GatewaySettingsRule();

/** Converts checked values to settings. Invalid addresses are added to
    `findings` as findings of `file`; returns nullopt if `findings` is not
    empty. */
std::optional<GatewaySettings> ReadGatewaySettings(const CheckedRow& row,
                                                   const std::string& file,
                                                   Findings* findings);

}  // namespace chicory

#endif  // PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

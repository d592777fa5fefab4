#ifndef PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_
#define PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "modules/config/schema.h"
#include "modules/core/findings.h"
#include "modules/gateway/gateway.h"

namespace chicory {

/** The checked settings of a gateway. */
struct GatewaySettings {
  Gateway::Options gateway;
  Endpoint store;
  std::string data_centre;
  /** Longest time until a changed configuration is in force. */
  absl::Duration apply_within;
  /** Longest time that a leaving upstream still gets requests. */
  absl::Duration drain_within;
  bool log_detail = true;
};

/** The keys of the settings file. */
SectionRule GatewaySettingsRule();

/** Turns checked keys into settings; addresses that are none are findings of
    `file`. */
std::optional<GatewaySettings> ReadGatewaySettings(const CheckedRow& row,
                                                   const std::string& file,
                                                   Findings* findings);

}  // namespace chicory

#endif  // PROGRAMS_GATEWAY_GATEWAY_SETTINGS_H_

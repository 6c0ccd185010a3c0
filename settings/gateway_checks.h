#pragma once

#include <string>

#include "schema/gateway.pb.h"
#include "settings/settings_fault.h"

namespace fuchsiadrum::settings {

/// Reads and checks the settings of fuchsiadrum-gateway; false: see `faults`.
bool ReadGatewaySettings(const std::string& file, pb::GatewaySettings& settings,
                         SettingsFaults& faults);

}  // namespace fuchsiadrum::settings

#pragma once

#include <string>

#include "schema/settings.pb.h"
#include "settings/settings_fault.h"

namespace fuchsiadrum::settings {

/// Checks what the schema cannot express: addresses, keys and names of
/// presets, policies and log levels. Appends the faults found.
void CheckDaemonSettings(const std::string& file,
                         const pb::DaemonSettings& settings,
                         SettingsFaults& faults);

/// Reads and checks the daemon's file; false if there is any fault.
bool ReadDaemonSettings(const std::string& file, pb::DaemonSettings& settings,
                        SettingsFaults& faults);

}  // namespace fuchsiadrum::settings

#pragma once

#include <google/protobuf/message.h>

#include <functional>
#include <optional>
#include <string>

#include "settings/settings_fault.h"

namespace fuchsiadrum::settings {

/// A program whose command line names a settings file.
struct SettingsCommand {
  std::string program;
  std::string about;
  /// Reads and checks the file; false: see the faults.
  std::function<bool(const std::string& file, SettingsFaults& faults)> read;
};

/// Reads the command line and the settings file that it names. `type` is an
/// empty message, for the description of every setting. Returns the exit code
/// if the program has no more to do, nullopt if it is to run.
std::optional<int> RunSettingsCommand(int argc, char** argv,
                                      const SettingsCommand& command,
                                      const google::protobuf::Message& type);

}  // namespace fuchsiadrum::settings

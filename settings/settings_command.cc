#include "settings/settings_command.h"

#include <CLI/CLI.hpp>
#include <iostream>

#include "settings/settings_reader.h"

namespace fuchsiadrum::settings {
namespace {

constexpr int kBadSettings = 2;

}  // namespace

std::optional<int> RunSettingsCommand(int argc, char** argv,
                                      const SettingsCommand& command,
                                      const google::protobuf::Message& type) {
  CLI::App app(command.about);
  std::string file;
  bool check = false;
  bool help_settings = false;
  app.add_option("--config", file, "settings file");
  app.add_flag("--check", check, "check the settings file and exit");
  app.add_flag("--help-settings", help_settings, "describe every setting");
  CLI11_PARSE(app, argc, argv);

  if (help_settings) {
    std::cout << SettingsReader::Describe(type);
    return 0;
  }
  if (file.empty()) {
    std::cerr << command.program << ": --config is needed\n";
    return kBadSettings;
  }
  SettingsFaults faults;
  if (!command.read(file, faults)) {
    for (const auto& fault : faults) std::cerr << fault.ToString() << "\n";
    return kBadSettings;
  }
  if (check) {
    std::cout << file << ": no fault\n";
    return 0;
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::settings

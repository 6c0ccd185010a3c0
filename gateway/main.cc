#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "gateway/gateway.h"
#include "settings/gateway_checks.h"
#include "settings/settings_reader.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr int kBadSettings = 2;

int Main(int argc, char** argv) {
  CLI::App app(
      "Stands between callers and the platform's upstreams, within prepaid "
      "budgets.");
  std::string file;
  bool check = false;
  bool help_settings = false;
  app.add_option("--config", file, "settings file");
  app.add_flag("--check", check, "check the settings file and exit");
  app.add_flag("--help-settings", help_settings, "describe every setting");
  CLI11_PARSE(app, argc, argv);

  if (help_settings) {
    std::cout << settings::SettingsReader::Describe(pb::GatewaySettings());
    return 0;
  }
  if (file.empty()) {
    std::cerr << "fuchsiadrum-gateway: --config is needed\n";
    return kBadSettings;
  }
  pb::GatewaySettings settings;
  settings::SettingsFaults faults;
  if (!settings::ReadGatewaySettings(file, settings, faults)) {
    for (const auto& fault : faults) std::cerr << fault.ToString() << "\n";
    return kBadSettings;
  }
  if (check) {
    std::cout << file << ": no fault\n";
    return 0;
  }

  std::signal(SIGPIPE, SIG_IGN);
  // Never destroyed: connections that are still open refer to it.
  static Gateway& gateway = *new Gateway(settings);
  const std::string reason = gateway.Open();
  if (!reason.empty()) {
    std::cerr << "fuchsiadrum-gateway: " << reason << "\n";
    return 1;
  }
  gateway.Run();
  return 0;
}

}  // namespace
}  // namespace fuchsiadrum::gateway

int main(int argc, char** argv) {
  try {
    return fuchsiadrum::gateway::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fuchsiadrum-gateway: " << error.what() << "\n";
    return 1;
  }
}

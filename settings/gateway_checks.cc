#include "settings/gateway_checks.h"

#include "settings/endpoint.h"
#include "settings/settings_reader.h"

namespace fuchsiadrum::settings {
namespace {

void CheckAddress(const std::string& file, const std::string& section,
                  const std::string& key, const std::string& text,
                  SettingsFaults& faults) {
  if (text.empty() || Endpoint::Parse(text)) return;
  faults.push_back({.file = file,
                    .section = section,
                    .key = key,
                    .reason = "\"" + text + "\" is not of the form IP:port"});
}

}  // namespace

bool ReadGatewaySettings(const std::string& file, pb::GatewaySettings& settings,
                         SettingsFaults& faults) {
  SettingsReader reader;
  reader.Read(file, settings);
  faults = reader.Faults();
  const auto& listen = settings.listen();
  CheckAddress(file, "listen", "callers", listen.callers(), faults);
  CheckAddress(file, "listen", "readiness", listen.readiness(), faults);
  CheckAddress(file, "listen", "metrics", listen.metrics(), faults);
  CheckAddress(file, "store", "address", settings.store().address(), faults);
  return faults.empty();
}

}  // namespace fuchsiadrum::settings

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "gateway/gateway.h"
#include "settings/gateway_checks.h"
#include "settings/settings_command.h"

namespace fuchsiadrum::gateway {
namespace {

/// Bodies of this size and more are mapped, so that their memory is given back
/// when they end. Without a fixed value, glibc raises its own to the largest
/// body, and bodies of which little has arrived would keep the memory of
/// earlier ones.
constexpr int kMapBytes = 131072;
/// Free memory at the end of the heap above which it is given back. Less would
/// cost system calls on every request.
constexpr int kTrimBytes = 2097152;

int Main(int argc, char** argv) {
  pb::GatewaySettings settings;
  const std::optional<int> ended = settings::RunSettingsCommand(
      argc, argv,
      {.program = "fuchsiadrum-gateway",
       .about = "Routes callers' requests to the platform's upstreams within "
                "prepaid budgets.",
       .read =
           [&](const std::string& file, settings::SettingsFaults& faults) {
             return settings::ReadGatewaySettings(file, settings, faults);
           }},
      pb::GatewaySettings());
  if (ended) return *ended;

  mallopt(M_MMAP_THRESHOLD, kMapBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  std::signal(SIGPIPE, SIG_IGN);
  // Never destroyed, because connections that are still open refer to it.
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

#include <pthread.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <thread>

#include "daemon/clock.h"
#include "daemon/daemon.h"
#include "daemon/logging.h"
#include "daemon/node_core.h"
#include "fuchsiadrum/core/hash.h"
#include "settings/daemon_checks.h"
#include "settings/settings_reader.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr int kBadSettings = 2;

node::NodeOptions OptionsOf(const pb::DaemonSettings& settings) {
  node::NodeOptions out;
  out.self = {.ref = {settings.vm().name(), StartIncarnation()},
              .availability_zone = settings.vm().availability_zone()};
  for (const std::string& text : settings.vm().peers()) {
    const auto peer = settings::PeerAddress::Parse(text);
    if (peer) out.configured_peers.push_back(peer->vm);
  }
  out.fleet_key = FromHex(settings.peer().fleet_key());
  out.settings = settings;
  out.seed = Hash64(out.self.ref.ToString());
  return out;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// The first SIGTERM begins a planned stop; SIGINT, or a second signal, ends
// the process at once.
void WatchSignals(Daemon& daemon) {
  std::thread([&daemon] {
    const sigset_t signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal == SIGTERM) {
      daemon.BeginStop();
      sigwait(&signals, &signal);
    }
    LogLine("warning", "stop: immediate stop");
    std::_Exit(1);
  }).detach();
}

int Run(const pb::DaemonSettings& settings) {
  // Blocked before any thread starts, so that all threads inherit it.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  StartLogging(settings.vm().name(), settings.log());
  node::NodeOptions options = OptionsOf(settings);
  const VmRef self = options.self.ref;
  const auto daemon = std::make_unique<Daemon>(
      settings, self, std::make_unique<NodeCore>(std::move(options)));
  const std::string reason = daemon->Start();
  if (!reason.empty()) {
    LogLine("fatal", "daemon: " + reason);
    return 1;
  }
  LogLine("info", "daemon: " + self.ToString() + " started");

  WatchSignals(*daemon);
  daemon->WaitStopped();
  // The signal watcher still refers to the daemon, so nothing is torn down.
  LogLine("info", "daemon: " + self.ToString() + " stopped");
  std::_Exit(0);
}

int Main(int argc, char** argv) {
  CLI::App app("Routes requests of prepaid organisations to model upstreams.");
  std::string file;
  bool check = false;
  bool help_settings = false;
  app.add_option("--config", file, "settings file");
  app.add_flag("--check", check, "check the settings file and exit");
  app.add_flag("--help-settings", help_settings, "describe every setting");
  CLI11_PARSE(app, argc, argv);

  if (help_settings) {
    std::cout << settings::SettingsReader::Describe(pb::DaemonSettings());
    return 0;
  }
  if (file.empty()) {
    std::cerr << "fuchsiadrumd: --config is needed\n";
    return kBadSettings;
  }

  pb::DaemonSettings settings;
  settings::SettingsFaults faults;
  if (!settings::ReadDaemonSettings(file, settings, faults)) {
    for (const auto& fault : faults) std::cerr << fault.ToString() << "\n";
    return kBadSettings;
  }
  if (check) {
    std::cout << file << ": no fault\n";
    return 0;
  }
  return Run(settings);
}

}  // namespace
}  // namespace fuchsiadrum::daemon

int main(int argc, char** argv) {
  try {
    return fuchsiadrum::daemon::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fuchsiadrumd: " << error.what() << "\n";
    return 1;
  }
}

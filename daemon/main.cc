#include <pthread.h>

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
#include "settings/settings_command.h"

namespace fuchsiadrum::daemon {
namespace {

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
  pb::DaemonSettings settings;
  const std::optional<int> ended = settings::RunSettingsCommand(
      argc, argv,
      {.program = "fuchsiadrumd",
       .about = "Routes requests of prepaid organisations to model upstreams.",
       .read =
           [&](const std::string& file, settings::SettingsFaults& faults) {
             return settings::ReadDaemonSettings(file, settings, faults);
           }},
      pb::DaemonSettings());
  if (ended) return *ended;
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

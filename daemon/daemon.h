#pragma once

#include <future>
#include <memory>
#include <string>

#include "daemon/admin_server.h"
#include "daemon/control.h"
#include "daemon/decision_core.h"
#include "daemon/front_server.h"
#include "daemon/io_thread.h"
#include "daemon/peer_links.h"
#include "daemon/planned_stop.h"
#include "daemon/platform_client.h"
#include "daemon/rings.h"
#include "daemon/upstream_client.h"

namespace fuchsiadrum::daemon {

/// The whole daemon: one thread for each duty around one decision core.
class Daemon {
 public:
  Daemon(const pb::DaemonSettings& daemon_settings, VmRef self,
         std::unique_ptr<DecisionCore> decision_core);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens all addresses and starts the threads; otherwise the reason.
  std::string Start();
  /// Begins a planned stop. Any thread.
  void BeginStop() { this->stop.Begin(); }
  /// Blocks until the planned stop has ended.
  void WaitStopped() { this->stop.Wait(); }

  /// Addresses in use.
  settings::Endpoint FrontAddress() const { return this->front.Address(); }
  settings::Endpoint AdminAddress() const { return this->admin.Address(); }
  const DaemonMetrics& Metrics() const { return this->metrics; }

 private:
  void StopThreads();

  pb::DaemonSettings settings;
  std::unique_ptr<DecisionCore> core;
  DaemonMetrics metrics;
  IoThread front_thread{"front"};
  IoThread control_thread{"control"};
  IoThread upstream_thread{"upstream"};
  IoThread peers_thread{"peers"};
  IoThread log_thread{"log"};
  IoThread admin_thread{"admin"};
  Rings rings;
  Control control;
  FrontServer front;
  UpstreamClient upstream;
  PeerLinks peers;
  PlatformClient platform;
  AdminServer admin;
  PlannedStop stop;
};

}  // namespace fuchsiadrum::daemon

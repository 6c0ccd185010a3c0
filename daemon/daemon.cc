#include "daemon/daemon.h"

#include <utility>

#include "daemon/logging.h"
#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::daemon {
namespace {

PeerLinksOptions LinksOptions(const pb::DaemonSettings& settings,
                              const VmRef& self) {
  PeerLinksOptions out{.self = self,
                       .fleet_key = FromHex(settings.peer().fleet_key()),
                       .listen = settings.peer().listen(),
                       .redial_after = std::chrono::milliseconds(
                           settings.peer().suspect_after_ms())};
  for (const std::string& text : settings.vm().peers()) {
    if (auto peer = settings::PeerAddress::Parse(text)) {
      out.peers.push_back(std::move(*peer));
    }
  }
  return out;
}

}  // namespace

Daemon::Daemon(const pb::DaemonSettings& daemon_settings, const VmRef& self,
               std::unique_ptr<DecisionCore> decision_core)
    : settings(daemon_settings),
      core(std::move(decision_core)),
      rings({.front = this->front_thread.Context(),
             .control = this->control_thread.Context(),
             .upstream = this->upstream_thread.Context(),
             .peers = this->peers_thread.Context(),
             .log = this->log_thread.Context(),
             .admin = this->admin_thread.Context()},
            this->metrics),
      control(
          *this->core,
          std::chrono::milliseconds(this->settings.upstream().load_poll_ms()),
          this->control_thread.Context(), this->rings),
      front({.settings = this->settings.front(), .self = self},
            this->front_thread.Context(), this->rings.from_front,
            this->metrics),
      upstream(
          this->settings.upstream(),
          {.max_bytes = this->settings.front().max_body_bytes(),
           .max_total_bytes = this->settings.request().answer_memory_bytes()},
          this->upstream_thread.Context(), this->rings.to_upstream,
          this->rings.from_upstream, this->metrics),
      peers(LinksOptions(this->settings, self), this->peers_thread.Context(),
            this->rings.to_peers, this->rings.from_peers, this->metrics),
      platform(this->settings.platform(), this->log_thread.Context(),
               this->rings.to_log, this->rings.from_log, this->metrics),
      admin(this->settings.admin(), this->admin_thread.Context(),
            this->rings.from_admin, this->control, this->metrics),
      stop(this->settings.stop(), this->control_thread.Context(), this->control,
           this->front) {
  this->rings.to_front.SetHandler(
      [this](ToFront& action) { this->front.OnReply(std::move(action)); });
}

Daemon::~Daemon() { this->StopThreads(); }

std::string Daemon::Start() {
  std::string reason = this->front.Open();
  if (reason.empty()) {
    reason = this->admin.Open(this->settings.admin().listen());
  }
  if (reason.empty()) reason = this->peers.Open();
  if (!reason.empty()) return reason;

  asio::post(this->control_thread.Context(), [this] { this->control.Start(); });
  asio::post(this->log_thread.Context(), [this] { this->platform.Start(); });
  this->control_thread.Start();
  this->upstream_thread.Start();
  this->peers_thread.Start();
  this->log_thread.Start();
  this->admin_thread.Start();
  this->front_thread.Start();
  LogLine("info", "front: listening on " + this->FrontAddress().ToString());
  LogLine("info", "admin: listening on " + this->AdminAddress().ToString());
  return {};
}

void Daemon::StopThreads() {
  this->front_thread.Stop();
  this->admin_thread.Stop();
  this->upstream_thread.Stop();
  this->log_thread.Stop();
  this->peers_thread.Stop();
  this->control_thread.Stop();
}

}  // namespace fuchsiadrum::daemon

#include "bench/fleet/faults.h"

#include <stdexcept>

namespace fuchsiadrum::bench {
namespace {

constexpr std::array<std::string_view, kFaultCount> kNames = {
    "zone-cut",
    "zone-cut-one-way",
    "platform-cut",
    "kill",
    "pause",
    "log-down",
    "log-slow",
    "append-answer-lost",
    "vm-list-wrong",
    "connection-silent",
    "upstream-dies",
    "upstream-slow",
    "upstream-rejects",
    "upstream-leaves",
    "answer-doubled",
    "clock-forward",
    "clock-back",
    "retry-elsewhere",
    "operator-race",
    "planned-stop"};

constexpr Duration kClockStep = std::chrono::minutes(10);
constexpr Duration kSlowLog = std::chrono::milliseconds(1500);
constexpr Duration kNormalLog = std::chrono::milliseconds(3);

const std::array<std::string, 3>& Zones() {
  static const std::array<std::string, 3> kZones = {"zone-a", "zone-b",
                                                    "zone-c"};
  return kZones;
}

}  // namespace

std::string_view FaultName(Fault fault) {
  return kNames.at(static_cast<size_t>(fault));
}

FakeUpstream& FaultInjector::HitUpstreamNear(size_t daemon) {
  // The first engine of the daemon's zone, which it prefers.
  for (const auto& upstream : this->fleet.Upstreams()) {
    if (upstream->Zone() != this->fleet.ZoneOf(daemon)) continue;
    this->hit.insert(upstream.get());
    return *upstream;
  }
  throw std::logic_error("faults: a zone without upstreams");
}

void FaultInjector::Inject(Fault fault, size_t daemon) {
  const std::string& zone = this->fleet.ZoneOf(daemon);
  FakeNetwork& network = this->fleet.Network();
  switch (fault) {
    case Fault::kZoneCut:
    case Fault::kZoneCutOneWay:
      for (const std::string& other : Zones()) {
        if (other == zone) continue;
        network.Cut(zone, other);
        if (fault == Fault::kZoneCut) network.Cut(other, zone);
      }
      if (fault == Fault::kZoneCut) this->fleet.CutFromPlatform(zone, true);
      break;
    case Fault::kPlatformCut:
      this->fleet.CutFromPlatform(zone, true);
      break;
    case Fault::kKill:
      this->fleet.Kill(daemon);
      break;
    case Fault::kPause:
      this->fleet.Pause(daemon);
      break;
    case Fault::kLogDown:
      this->fleet.log_down = true;
      break;
    case Fault::kLogSlow:
      this->fleet.log_delay = kSlowLog;
      break;
    case Fault::kAppendAnswerLost:
      this->fleet.lose_append_answers = 0.5;
      break;
    case Fault::kVmListWrong:
      this->fleet.hidden_vms.insert("vm-b0");
      this->fleet.wrongly_leaving.insert("vm-a1");
      break;
    case Fault::kConnectionSilent:
      this->HitUpstreamNear(daemon).silent = true;
      break;
    case Fault::kUpstreamDies:
      this->HitUpstreamNear(daemon).Die();
      break;
    case Fault::kUpstreamSlow:
      this->HitUpstreamNear(daemon).slowness = 20;
      break;
    case Fault::kUpstreamRejects:
      this->HitUpstreamNear(daemon).rejecting = true;
      break;
    case Fault::kUpstreamLeaves:
      this->HitUpstreamNear(daemon).leaving = true;
      break;
    case Fault::kAnswerDoubled:
      for (const auto& upstream : this->fleet.Upstreams()) {
        upstream->doubled = true;
      }
      break;
    case Fault::kClockForward:
      this->fleet.JumpClock(daemon, kClockStep);
      break;
    case Fault::kClockBack:
      this->fleet.JumpClock(daemon, -kClockStep);
      break;
    case Fault::kRetryElsewhere:
      this->callers.faults.retry_elsewhere = true;
      break;
    case Fault::kOperatorRace:
      this->callers.Edit(daemon);
      this->callers.Edit((daemon + 1) % this->fleet.Size());
      break;
    case Fault::kPlannedStop:
      if (this->fleet.IsRunning(daemon)) this->fleet.BeginDrain(daemon);
      break;
  }
}

void FaultInjector::Heal(Fault fault, size_t daemon) {
  const std::string& zone = this->fleet.ZoneOf(daemon);
  switch (fault) {
    case Fault::kZoneCut:
    case Fault::kZoneCutOneWay:
      this->fleet.Network().HealAll();
      this->fleet.CutFromPlatform(zone, false);
      break;
    case Fault::kPlatformCut:
      this->fleet.CutFromPlatform(zone, false);
      break;
    case Fault::kKill:
      this->fleet.Restart(daemon);
      break;
    case Fault::kPause:
      this->fleet.Resume(daemon);
      break;
    case Fault::kLogDown:
      this->fleet.log_down = false;
      break;
    case Fault::kLogSlow:
      this->fleet.log_delay = kNormalLog;
      break;
    case Fault::kAppendAnswerLost:
      this->fleet.lose_append_answers = 0.0;
      break;
    case Fault::kVmListWrong:
      this->fleet.hidden_vms.clear();
      this->fleet.wrongly_leaving.clear();
      break;
    case Fault::kConnectionSilent:
    case Fault::kUpstreamDies:
    case Fault::kUpstreamSlow:
    case Fault::kUpstreamRejects:
    case Fault::kUpstreamLeaves:
      for (FakeUpstream* upstream : this->hit) {
        upstream->silent = false;
        upstream->slowness = 1.0;
        upstream->rejecting = false;
        upstream->leaving = false;
        upstream->Revive();
      }
      this->hit.clear();
      break;
    case Fault::kAnswerDoubled:
      for (const auto& upstream : this->fleet.Upstreams()) {
        upstream->doubled = false;
      }
      break;
    case Fault::kClockForward:
      this->fleet.JumpClock(daemon, -kClockStep);
      break;
    case Fault::kClockBack:
      this->fleet.JumpClock(daemon, kClockStep);
      break;
    case Fault::kRetryElsewhere:
      this->callers.faults.retry_elsewhere = false;
      break;
    case Fault::kOperatorRace:
      break;
    case Fault::kPlannedStop:
      this->fleet.Stop(daemon);
      this->fleet.Restart(daemon);
      break;
  }
}

}  // namespace fuchsiadrum::bench

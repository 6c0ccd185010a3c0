#include "bench/catalogue_faults.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int kKinds = 9;

}  // namespace

void CatalogueFaults::Schedule(int count, TimePoint from, TimePoint to,
                               Duration retention) {
  for (int i = 0; i < count; ++i) {
    const TimePoint at{this->rng.Between(from.us, to.us - 1)};
    const Duration span(this->rng.Between(1'000'000, 15'000'000));
    switch (this->rng.Below(kKinds)) {
      case 0:
        this->CutPair(at, span);
        break;
      case 1:
        this->CutPlatform(at, span);
        break;
      case 2:
        this->CutZone(at, span, this->AnyZone());
        break;
      case 3:
        // Every other outage is longer than the log keeps records.
        this->StopLog(at, this->rng.Chance(0.5) ? span : retention + span);
        break;
      case 4:
        this->LoseAnswers(at, span);
        break;
      case 5:
        this->KillOne(at, span);
        break;
      case 6:
        this->PauseOne(at, span);
        break;
      case 7:
        this->KillSnapshotWriter(at, span);
        break;
      default:
        this->KillAll(at, span);
        break;
    }
  }
}

void CatalogueFaults::CutZone(TimePoint at, Duration span,
                              const std::string& zone) {
  for (const FleetSlot& slot : this->fleet.Slots()) {
    const std::string& other = slot.info.availability_zone;
    if (other == zone) continue;
    this->Cut(at, span, zone, other);
    this->Cut(at, span, other, zone);
  }
  this->Cut(at, span, zone, kPlatformZone);
  this->Cut(at, span, kPlatformZone, zone);
}

void CatalogueFaults::StopLog(TimePoint at, Duration span) {
  this->queue.At(at, [this] {
    this->trace("log down");
    this->platform.SetDown(true);
  });
  this->queue.At(at + span, [this] {
    this->trace("log up");
    this->platform.SetDown(false);
    this->platform.Trim();
  });
}

void CatalogueFaults::HealAll() {
  this->trace("heal all");
  this->healed = true;
  this->network.HealAll();
  this->platform.SetDown(false);
  this->platform.SetLostAnswers(0);
  this->platform.Trim();
  for (size_t i = 0; i < this->fleet.Slots().size(); ++i) {
    this->fleet.Resume(i);
    this->fleet.Restart(i);
  }
}

void CatalogueFaults::CutPair(TimePoint at, Duration span) {
  const std::string from = this->AnyZone();
  const std::string to = this->AnyZone();
  this->Cut(at, span, from, to);
  if (this->rng.Chance(0.5)) this->Cut(at, span, to, from);
}

void CatalogueFaults::CutPlatform(TimePoint at, Duration span) {
  const std::string zone = this->AnyZone();
  const uint64_t way = this->rng.Below(3);
  if (way != 0) this->Cut(at, span, zone, kPlatformZone);
  if (way != 1) this->Cut(at, span, kPlatformZone, zone);
}

void CatalogueFaults::LoseAnswers(TimePoint at, Duration span) {
  this->queue.At(at, [this] {
    this->trace("append answers lost");
    this->platform.SetLostAnswers(0.5);
  });
  this->queue.At(at + span, [this] { this->platform.SetLostAnswers(0); });
}

void CatalogueFaults::KillOne(TimePoint at, Duration span) {
  const size_t slot = this->AnySlot();
  this->queue.At(at, [this, slot] {
    this->trace("kill " + this->fleet.Slots()[slot].info.ref.vm);
    this->fleet.Kill(slot);
  });
  this->queue.At(at + span, [this, slot] { this->fleet.Restart(slot); });
}

void CatalogueFaults::KillAll(TimePoint at, Duration span) {
  this->queue.At(at, [this] {
    this->trace("kill all");
    for (size_t i = 0; i < this->fleet.Slots().size(); ++i) {
      this->fleet.Kill(i);
    }
  });
  this->queue.At(at + span / 8, [this] {
    for (size_t i = 0; i < this->fleet.Slots().size(); ++i) {
      this->fleet.Restart(i);
    }
  });
}

void CatalogueFaults::PauseOne(TimePoint at, Duration span) {
  const size_t slot = this->AnySlot();
  this->queue.At(at, [this, slot] {
    this->trace("pause " + this->fleet.Slots()[slot].info.ref.vm);
    this->fleet.Pause(slot);
  });
  this->queue.At(at + span, [this, slot] { this->fleet.Resume(slot); });
}

void CatalogueFaults::KillSnapshotWriter(TimePoint at, Duration span) {
  this->queue.At(
      at, [this, at, span] { this->WatchSnapshotWriter(at + 2 * span); });
}

void CatalogueFaults::WatchSnapshotWriter(TimePoint end) {
  constexpr Duration kLook(50'000);
  if (this->queue.Now() >= end || this->healed) return;

  for (size_t i = 0; i < this->fleet.Slots().size(); ++i) {
    const auto& daemon = this->fleet.Slots()[i].daemon;
    if (!daemon || daemon->log.GetAppender().ChunkBytes() == 0) continue;
    this->trace("kill snapshot writer " + this->fleet.Slots()[i].info.ref.vm);
    // Some chunks are on the log by then, the others never will be.
    this->queue.After(Duration(this->rng.Between(0, 400'000)), [this, i] {
      if (!this->healed) this->fleet.Kill(i);
    });
    this->queue.After(Duration(3'000'000),
                      [this, i] { this->fleet.Restart(i); });
    return;
  }
  this->queue.After(kLook, [this, end] { this->WatchSnapshotWriter(end); });
}

void CatalogueFaults::Cut(TimePoint at, Duration span, const std::string& from,
                          const std::string& to) {
  if (from == to) return;
  this->queue.At(at, [this, from, to] {
    this->trace("cut " + from + " to " + to);
    this->network.Cut(from, to);
  });
  this->queue.At(at + span, [this, from, to] { this->network.Heal(from, to); });
}

std::string CatalogueFaults::AnyZone() {
  return this->fleet.Slots()[this->AnySlot()].info.availability_zone;
}

}  // namespace fuchsiadrum::bench

#include "bench/budget_faults.h"

#include <array>
#include <vector>

namespace fuchsiadrum::bench {
namespace {

constexpr std::array<const char*, 4> kPlaces = {"zone-a", "zone-b", "zone-c",
                                                kLogZone};

void CutZone(BudgetWorld& world, Duration length) {
  const std::string zone = kZones[world.rng.Below(kZones.size())];
  // Now and then only from the platform, or only from the other zones.
  const uint64_t kind = world.rng.Below(4);
  for (const char* place : kPlaces) {
    const bool is_log = std::string(place) == kLogZone;
    if (zone == place || (kind == 1 && !is_log) || (kind == 2 && is_log)) {
      continue;
    }
    world.network.Cut(zone, place);
    world.network.Cut(place, zone);
    world.queue.After(length, [&world, zone, place] {
      world.network.Heal(zone, place);
      world.network.Heal(place, zone);
    });
  }
}

void CutOneWay(BudgetWorld& world, Duration length) {
  const std::string from = kPlaces[world.rng.Below(kPlaces.size())];
  const std::string to = kPlaces[world.rng.Below(kPlaces.size())];
  world.network.Cut(from, to);
  world.queue.After(length,
                    [&world, from, to] { world.network.Heal(from, to); });
}

template <typename T>
void SetFor(BudgetWorld& world, T WorldFaults::*field, T value,
            Duration length) {
  world.faults.*field = value;
  world.queue.After(length, [&world, field] { world.faults.*field = T{}; });
}

void PauseOne(BudgetWorld& world, int index, Duration length) {
  const bool clock_stands_still = world.rng.Chance(0.5);
  world.Pause(index);
  world.queue.After(length, [&world, index, clock_stands_still] {
    world.Resume(index, clock_stands_still);
  });
}

void StallAppends(BudgetWorld& world, int index, Duration length) {
  world.At(index).append_stalled_until = world.queue.Now() + length;
}

/// A witness seals on a wrong clock while its appends are stuck. Meanwhile its
/// holders replace it, and appoint it again when its successor stops: the seal
/// that arrives in the end is of an earlier term.
void MakeStaleSeal(BudgetWorld& world, int index) {
  StallAppends(world, index, std::chrono::seconds(12));
  world.queue.After(std::chrono::milliseconds(200), [&world, index] {
    world.At(index).clock_offset += std::chrono::seconds(40);
  });
  const int neighbour = (index / 3) * 3 + (index + 1) % 3;
  const Duration later(world.rng.Between(1'500'000, 4'000'000));
  world.queue.After(later, [&world, neighbour] {
    PauseOne(world, neighbour, std::chrono::seconds(5));
  });
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  static constexpr std::array<std::string_view, kFaultKinds> kNames = {
      "zone-cut",     "one-way-cut",
      "log-down",     "log-slow",
      "answers-lost", "kill",
      "pause",        "clock-jump",
      "message-loss", "message-duplicate",
      "drain",        "stalled-append",
      "stale-seal"};
  return kNames.at(static_cast<size_t>(kind));
}

void StartFault(BudgetWorld& world, FaultKind kind, Duration length) {
  world.Trace("fault " + std::string(FaultName(kind)) + " for " +
              std::to_string(length.count() / 1000) + " ms");
  const int index = static_cast<int>(world.rng.Below(kDaemons));
  switch (kind) {
    case FaultKind::kZoneCut:
      return CutZone(world, length);
    case FaultKind::kOneWayCut:
      return CutOneWay(world, length);
    case FaultKind::kLogDown:
      return SetFor(world, &WorldFaults::log_down, true, length);
    case FaultKind::kLogSlow:
      return SetFor(world, &WorldFaults::log_slow, true, length);
    case FaultKind::kAnswersLost:
      return SetFor(world, &WorldFaults::answer_loss, 0.5, length);
    case FaultKind::kMessageLoss:
      return SetFor(world, &WorldFaults::message_loss, 0.3, length);
    case FaultKind::kMessageDuplicate:
      return SetFor(world, &WorldFaults::message_duplicate, 0.5, length);
    case FaultKind::kPause:
      return PauseOne(world, index, length);
    case FaultKind::kClockJump:
      world.At(index).clock_offset +=
          Duration(world.rng.Between(-60'000'000, 60'000'000));
      return;
    case FaultKind::kKill:
      world.Kill(index);
      world.queue.After(length, [&world, index] { world.Restart(index); });
      return;
    case FaultKind::kStalledAppend:
      return StallAppends(world, index, length);
    case FaultKind::kStaleSeal:
      return MakeStaleSeal(world, index);
    case FaultKind::kDrain:
      world.BeginDrain(index);
      // The process ends after its planned stop, or is killed in it.
      world.queue.After(length, [&world, index] {
        world.Kill(index);
        world.Restart(index);
      });
      return;
  }
}

std::string ScheduleFaults(BudgetWorld& world, uint64_t run, TimePoint end) {
  const Duration span = end - world.queue.Now();
  const auto single = static_cast<FaultKind>((run / 3) % kFaultKinds);
  std::vector<FaultKind> kinds;
  if (run % 3 == 0) {
    kinds = {single};
  } else if (run % 3 == 1) {
    kinds = {single, static_cast<FaultKind>(world.rng.Below(kFaultKinds))};
  } else {
    const int64_t count = world.rng.Between(3, 9);
    for (int64_t i = 0; i < count; ++i) {
      kinds.push_back(static_cast<FaultKind>(world.rng.Below(kFaultKinds)));
    }
  }

  // Pairs start close to each other; a mix is spread over the run.
  std::string plan;
  const Duration first(world.rng.Between(0, span.count() / 2));
  for (const FaultKind kind : kinds) {
    const Duration start =
        run % 3 == 2 ? Duration(world.rng.Between(0, span.count() - 1))
                     : first + Duration(world.rng.Between(0, 4'000'000));
    const Duration length(world.rng.Chance(0.4)
                              ? world.rng.Between(300'000, 4'000'000)
                              : world.rng.Between(4'000'000, 40'000'000));
    world.queue.After(
        start, [&world, kind, length] { StartFault(world, kind, length); });
    plan += (plan.empty() ? "" : "+") + std::string(FaultName(kind));
  }
  return plan;
}

}  // namespace fuchsiadrum::bench

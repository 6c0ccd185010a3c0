#include "bench/requests_faults.h"

#include <array>
#include <utility>

namespace fuchsiadrum::bench::requests {
namespace {

constexpr const char* kPlatform = "platform";

}  // namespace

size_t Faults::Kinds() { return 17; }

void Faults::Cause(size_t kind, Duration length) {
  using Action = void (Faults::*)(Duration);
  static constexpr std::array<Action, 17> kActions = {
      &Faults::KillOne,        &Faults::KillPair,    &Faults::PauseOne,
      &Faults::PauseHome,      &Faults::DrainOne,    &Faults::CutZones,
      &Faults::CutZonesOneWay, &Faults::CutVmOneWay, &Faults::CutPlatform,
      &Faults::LogDown,        &Faults::LogSlow,     &Faults::LoseAppendAnswers,
      &Faults::BreakUpstream,  &Faults::BreakHalf,   &Faults::JumpClock,
      &Faults::BelieveDead,    &Faults::ReloadOne};
  (this->*kActions[kind])(length);
}

void Faults::Schedule(TimePoint from, TimePoint to, int count) {
  for (int i = 0; i < count; ++i) {
    const TimePoint at{this->rng.Between(from.us, to.us)};
    const int faults = this->rng.Chance(0.5) ? 2 : 1;
    for (int j = 0; j < faults; ++j) {
      const size_t kind = this->rng.Below(Kinds());
      const Duration length(this->rng.Between(300'000, 12'000'000));
      const Duration delay(j == 0 ? 0 : this->rng.Between(0, 3'000'000));
      this->world.Queue().At(
          at + delay, [this, kind, length] { this->Cause(kind, length); });
    }
  }
}

void Faults::After(Duration length, std::function<void()> heal) {
  this->world.Queue().After(length, std::move(heal));
}

std::vector<size_t> Faults::AnyPair() {
  const World::Slot& reader = this->world.Slots()[this->world.MostAdvanced()];
  if (reader.daemon == nullptr) return {};
  const request::ShardTable& table = reader.daemon->Table();
  const request::Shard& shard =
      table.At(static_cast<uint32_t>(this->rng.Below(table.Size())));
  std::vector<size_t> pair;
  for (size_t i = 0; i < World::kDaemons; ++i) {
    const VmRef& ref = this->world.Slots()[i].info.ref;
    if (ref == shard.home) pair.insert(pair.begin(), i);
    if (ref == shard.witness) pair.push_back(i);
  }
  return pair;
}

void Faults::KillOne(Duration length) {
  const size_t i = this->AnyDaemon();
  const bool from_peer = this->rng.Chance(0.5);
  this->world.Kill(i);
  this->After(length,
              [this, i, from_peer] { this->world.Start(i, from_peer); });
}

void Faults::KillPair(Duration length) {
  for (const size_t i : this->AnyPair()) {
    this->world.Kill(i);
    this->After(length, [this, i] { this->world.Start(i, false); });
  }
}

void Faults::PauseOne(Duration length) {
  const size_t i = this->AnyDaemon();
  this->world.Pause(i);
  this->After(length, [this, i] { this->world.Resume(i); });
}

void Faults::PauseHome(Duration length) {
  const std::vector<size_t> pair = this->AnyPair();
  if (pair.empty()) return;
  const size_t i = pair.front();
  this->world.Pause(i);
  this->After(length, [this, i] { this->world.Resume(i); });
}

void Faults::DrainOne(Duration length) {
  const size_t i = this->AnyDaemon();
  this->world.Drain(i);
  this->After(length, [this, i] {
    this->world.Kill(i);
    this->world.Start(i, false);
  });
}

void Faults::CutZone(const std::string& zone, bool platform_too) {
  this->world.Note("cut off zone " + zone);
  for (size_t i = 0; i < World::kZones; ++i) {
    const std::string other = this->world.ZoneName(i);
    if (other == zone) continue;
    this->world.Network().Cut(zone, other);
    this->world.Network().Cut(other, zone);
  }
  if (platform_too) this->world.Network().Cut(zone, kPlatform);
}

void Faults::CutZones(Duration length) {
  this->CutZone(this->AnyZone(), this->rng.Chance(0.5));
  this->After(length, [this] {
    this->world.Note("heal zones");
    this->world.Network().HealAll();
  });
}

void Faults::CutZonesOneWay(Duration length) {
  const std::string from = this->AnyZone();
  const std::string to = this->AnyZone();
  if (from == to) return;
  this->world.Note("cut " + from + " -> " + to);
  this->world.Network().Cut(from, to);
  this->After(length,
              [this, from, to] { this->world.Network().Heal(from, to); });
}

void Faults::CutVmOneWay(Duration length) {
  const size_t from = this->AnyDaemon();
  const size_t to = this->AnyDaemon();
  if (from == to) return;
  const std::string name = this->world.Slots()[to].info.ref.vm;
  this->world.Note("cut " + this->world.Slots()[from].info.ref.vm + " -> " +
                   name);
  this->world.Slots()[from].cut_to.insert(name);
  this->After(length, [this, from, name] {
    this->world.Slots()[from].cut_to.erase(name);
  });
}

void Faults::CutPlatform(Duration length) {
  const std::string zone = this->AnyZone();
  this->world.Note("cut " + zone + " from the log");
  this->world.Network().Cut(zone, kPlatform);
  this->After(length,
              [this, zone] { this->world.Network().Heal(zone, kPlatform); });
}

void Faults::LogDown(Duration length) {
  this->world.Note("log down");
  this->world.log_up = false;
  this->After(length, [this] { this->world.log_up = true; });
}

void Faults::LogSlow(Duration length) {
  this->world.Note("log slow");
  this->world.log_delay = Duration(this->rng.Between(100'000, 1'500'000));
  this->After(length,
              [this] { this->world.log_delay = std::chrono::milliseconds(5); });
}

void Faults::LoseAppendAnswers(Duration length) {
  this->world.append_answer_loss = 0.5;
  this->After(length, [this] { this->world.append_answer_loss = 0.0; });
}

void Faults::BreakUpstreams(size_t count, UpstreamMode mode) {
  for (size_t i = 0; i < count; ++i) {
    this->world.Note("upstream " + std::to_string(i) + " mode " +
                     std::to_string(static_cast<int>(mode)));
    this->world.Upstreams()[i].SetMode(mode);
  }
}

void Faults::BreakUpstream(Duration length) {
  const size_t i = this->rng.Below(World::kUpstreams);
  const auto mode = static_cast<UpstreamMode>(
      this->rng.Between(static_cast<int>(UpstreamMode::kDead),
                        static_cast<int>(UpstreamMode::kLate)));
  this->world.Note("upstream " + std::to_string(i) + " mode " +
                   std::to_string(static_cast<int>(mode)));
  this->world.Upstreams()[i].SetMode(mode);
  this->After(length, [this, i] {
    this->world.Upstreams()[i].SetMode(UpstreamMode::kGood);
  });
}

void Faults::BreakHalf(Duration length) {
  const auto mode = static_cast<UpstreamMode>(
      this->rng.Between(static_cast<int>(UpstreamMode::kDead),
                        static_cast<int>(UpstreamMode::kLate)));
  this->BreakUpstreams(World::kUpstreams / 2, mode);
  this->After(length, [this] {
    for (FakeUpstream& upstream : this->world.Upstreams()) {
      upstream.SetMode(UpstreamMode::kGood);
    }
  });
}

void Faults::JumpClock(Duration /*length*/) {
  const size_t i = this->AnyDaemon();
  const Duration jump(this->rng.Chance(0.3)
                          ? this->rng.Between(0, 3'600'000'000)
                          : this->rng.Between(-3'000'000, 8'000'000));
  this->world.Note("clock of " + this->world.Slots()[i].info.ref.vm + " by " +
                   std::to_string(jump.count() / 1000) + " ms");
  this->world.Slots()[i].clock_offset += jump;
}

void Faults::BelieveDead(Duration length) {
  const size_t i = this->AnyDaemon();
  World::Slot& slot = this->world.Slots()[i];
  if (!slot.up) return;
  const uint64_t life = slot.info.ref.incarnation;
  for (int n = 0; n < 3; ++n) {
    const std::string name = this->world.Slots()[this->AnyDaemon()].info.ref.vm;
    if (name == slot.info.ref.vm) continue;
    this->world.Note(slot.info.ref.vm + " believes " + name + " dead");
    slot.daemon->Peers().believed_dead[name] = true;
  }
  this->After(length, [this, i, life] {
    World::Slot& later = this->world.Slots()[i];
    if (!later.up || later.info.ref.incarnation != life) return;
    later.daemon->Peers().believed_dead.clear();
  });
}

void Faults::ReloadOne(Duration /*length*/) {
  this->world.Reload(this->AnyDaemon());
}

void Faults::HealAll() {
  this->world.Note("heal all");
  this->world.Network().HealAll();
  this->world.log_up = true;
  this->world.log_delay = std::chrono::milliseconds(5);
  this->world.append_answer_loss = 0.0;
  for (FakeUpstream& upstream : this->world.Upstreams()) {
    upstream.SetMode(UpstreamMode::kGood);
  }
  for (size_t i = 0; i < World::kDaemons; ++i) {
    World::Slot& slot = this->world.Slots()[i];
    slot.cut_to.clear();
    if (slot.draining) this->world.Kill(i);
    this->world.Resume(i);
    this->world.Start(i, false);
    slot.daemon->Peers().believed_dead.clear();
  }
}

}  // namespace fuchsiadrum::bench::requests

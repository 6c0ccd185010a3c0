#include "bench/catalogue_fleet.h"

#include <utility>

namespace fuchsiadrum::bench {

CatalogueFleet::CatalogueFleet(EventQueue& queue, FakeNetwork& network,
                               CataloguePlatform& platform,
                               CatalogueFleetOptions options, Observer observer)
    : queue(queue),
      network(network),
      platform(platform),
      options(options),
      observer(std::move(observer)) {
  for (int zone = 0; zone < options.zones; ++zone) {
    const std::string name(1, static_cast<char>('a' + zone));
    for (int i = 1; i <= options.daemons_in_zone; ++i) {
      FleetSlot& slot = this->slots.emplace_back();
      slot.info = {.ref = {.vm = name + std::to_string(i), .incarnation = 0},
                   .availability_zone = name};
    }
  }
}

void CatalogueFleet::Start() {
  for (size_t i = 0; i < this->slots.size(); ++i) this->Restart(i);
}

void CatalogueFleet::Kill(size_t index) {
  FleetSlot& slot = this->slots[index];
  slot.daemon.reset();
  slot.inbox.clear();
  slot.paused = false;
}

void CatalogueFleet::Restart(size_t index) {
  FleetSlot& slot = this->slots[index];
  if (slot.daemon) return;

  ++slot.info.ref.incarnation;
  ++slot.read_id;
  ++slot.append_id;
  slot.read_pending = false;
  CatalogueDaemonOptions daemon{.self = slot.info,
                                .peers = {},
                                .retention = this->options.retention,
                                .chunk_bytes = this->options.chunk_bytes,
                                .mutation = this->options.mutation};
  for (const FleetSlot& other : this->slots) {
    if (other.info.ref.vm == slot.info.ref.vm) continue;
    daemon.peers.push_back({.ref = {.vm = other.info.ref.vm, .incarnation = 0},
                            .availability_zone = other.info.availability_zone});
  }
  slot.daemon = std::make_unique<CatalogueDaemon>(daemon);
  this->ScheduleTick(index, slot.info.ref.incarnation);
}

void CatalogueFleet::Resume(size_t index) {
  FleetSlot& slot = this->slots[index];
  if (!slot.paused) return;
  slot.paused = false;
  for (const auto& work : std::exchange(slot.inbox, {})) work();
}

bool CatalogueFleet::IsRunning(size_t index) const {
  return this->slots[index].daemon && !this->slots[index].paused;
}

bool CatalogueFleet::IsReady(size_t index) const {
  return this->IsRunning(index) && this->slots[index].daemon->replica.IsReady();
}

bool CatalogueFleet::ReachesLog(size_t index) const {
  const std::string& zone = this->slots[index].info.availability_zone;
  return this->IsRunning(index) && !this->platform.IsDown() &&
         !this->network.IsCut(zone, kPlatformZone) &&
         !this->network.IsCut(kPlatformZone, zone);
}

bool CatalogueFleet::ReachesLogThroughPeer(size_t index) const {
  const std::string& zone = this->slots[index].info.availability_zone;
  for (size_t peer = 0; peer < this->slots.size(); ++peer) {
    const std::string& other = this->slots[peer].info.availability_zone;
    if (peer != index && this->ReachesLog(peer) && this->IsReady(peer) &&
        !this->network.IsCut(zone, other) &&
        !this->network.IsCut(other, zone)) {
      return true;
    }
  }
  return false;
}

void CatalogueFleet::Deliver(size_t index, uint64_t incarnation,
                             const Work& work) {
  FleetSlot& slot = this->slots[index];
  if (!slot.daemon || slot.info.ref.incarnation != incarnation) return;
  if (slot.paused) {
    slot.inbox.emplace_back([this, index, incarnation, work] {
      this->Deliver(index, incarnation, work);
    });
    return;
  }
  this->Process(index, work);
}

void CatalogueFleet::Process(size_t index, const Work& work) {
  FleetSlot& slot = this->slots[index];
  const TimePoint now = this->queue.Now();
  Outbox out;
  work(*slot.daemon, out);

  if (!out.records.empty()) slot.daemon->log.AddRecords(now, out.records);
  const auto batch = slot.daemon->log.NextAppend(now, out);
  for (const Envelope& envelope : out.messages) this->Send(index, envelope);
  if (batch) this->Append(index, *batch);
  this->observer(slot);
}

void CatalogueFleet::Send(size_t from, const Envelope& envelope) {
  const VmRef sender = this->slots[from].info.ref;
  for (size_t to = 0; to < this->slots.size(); ++to) {
    if (this->slots[to].info.ref.vm != envelope.to.vm) continue;

    this->network.Send(
        this->slots[from].info.availability_zone,
        this->slots[to].info.availability_zone, [this, to, sender, envelope] {
          const uint64_t present = this->slots[to].info.ref.incarnation;
          const uint64_t wanted = envelope.to.incarnation;
          if (wanted != 0 && wanted != present) return;
          this->Deliver(
              to, present,
              [this, sender, envelope](CatalogueDaemon& daemon, Outbox& out) {
                daemon.OnMessage(this->queue.Now(), sender, envelope.body, out);
              });
        });
  }
}

void CatalogueFleet::ScheduleTick(size_t index, uint64_t incarnation) {
  this->queue.After(this->options.tick, [this, index, incarnation] {
    FleetSlot& slot = this->slots[index];
    if (!slot.daemon || slot.info.ref.incarnation != incarnation) return;
    if (!slot.paused) {
      this->Process(index, [this](CatalogueDaemon& daemon, Outbox& out) {
        daemon.OnTick(this->queue.Now(), out);
      });
      if (!slot.read_pending) this->Poll(index);
    }
    this->ScheduleTick(index, incarnation);
  });
}

void CatalogueFleet::Poll(size_t index) {
  FleetSlot& slot = this->slots[index];
  const uint64_t id = ++slot.read_id;
  const uint64_t incarnation = slot.info.ref.incarnation;
  slot.read_pending = true;

  this->platform.Read(slot.info.availability_zone,
                      slot.daemon->log.NextOffset(),
                      [this, index, incarnation, id](const LogRead& read) {
                        this->OnRead(index, incarnation, id, read);
                      });
  this->queue.After(this->options.platform_timeout,
                    [this, index, incarnation, id] {
                      this->OnReadTimeout(index, incarnation, id);
                    });
}

void CatalogueFleet::OnRead(size_t index, uint64_t incarnation, uint64_t id,
                            const LogRead& read) {
  this->Deliver(index, incarnation,
                [this, index, id, read](CatalogueDaemon& daemon, Outbox& out) {
                  FleetSlot& slot = this->slots[index];
                  if (!slot.read_pending || slot.read_id != id) return;
                  slot.read_pending = false;

                  const TimePoint now = this->queue.Now();
                  daemon.log.OnLogBounds(now, read.first_retained, read.end);
                  daemon.log.OnLogBatches(now, read.from, read.batches, out);
                  // A daemon that lags reads on at once.
                  if (daemon.log.NextOffset() < read.end) this->Poll(index);
                });
}

void CatalogueFleet::OnReadTimeout(size_t index, uint64_t incarnation,
                                   uint64_t id) {
  this->Deliver(index, incarnation,
                [this, index, id](CatalogueDaemon& daemon, Outbox& /*out*/) {
                  FleetSlot& slot = this->slots[index];
                  if (!slot.read_pending || slot.read_id != id) return;
                  slot.read_pending = false;
                  daemon.log.OnLogUnreachable(this->queue.Now());
                });
}

void CatalogueFleet::Append(size_t index, const std::string& batch) {
  FleetSlot& slot = this->slots[index];
  const uint64_t id = ++slot.append_id;
  const uint64_t incarnation = slot.info.ref.incarnation;

  this->platform.Append(slot.info.availability_zone, batch,
                        [this, index, incarnation, id] {
                          this->OnAppendEnd(index, incarnation, id, true);
                        });
  this->queue.After(this->options.platform_timeout,
                    [this, index, incarnation, id] {
                      this->OnAppendEnd(index, incarnation, id, false);
                    });
}

void CatalogueFleet::OnAppendEnd(size_t index, uint64_t incarnation,
                                 uint64_t id, bool stored) {
  this->Deliver(
      index, incarnation,
      [this, index, id, stored](CatalogueDaemon& daemon, Outbox& /*out*/) {
        FleetSlot& slot = this->slots[index];
        if (slot.append_id != id) return;
        ++slot.append_id;
        daemon.log.OnAppendAnswer(this->queue.Now(), stored);
      });
}

}  // namespace fuchsiadrum::bench

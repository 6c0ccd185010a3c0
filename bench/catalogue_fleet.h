#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/catalogue_daemon.h"
#include "bench/catalogue_platform.h"
#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_network.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/mutation.h"

namespace fuchsiadrum::bench {

/// Options of the daemons in the bench.
struct CatalogueFleetOptions {
  int zones = 3;
  int daemons_in_zone = 3;
  Duration tick = Duration(50'000);
  Duration poll = Duration(50'000);
  Duration platform_timeout = Duration(500'000);
  Duration retention = Duration(20'000'000);
  size_t chunk_bytes = log::SnapshotWriter::kMaxChunkBytes;
  log::Mutation mutation = log::Mutation::kNone;
};

/// One VM and the daemon that runs on it, if any.
struct FleetSlot {
  VmInfo info;
  std::unique_ptr<CatalogueDaemon> daemon;
  bool paused = false;
  /// What arrived while the daemon was paused.
  std::deque<std::function<void()>> inbox;
  /// Reads and appends are numbered, so that late answers are told apart.
  uint64_t read_id = 0;
  uint64_t append_id = 0;
  bool read_pending = false;
};

/// The daemons of one run, on a network and a platform that can fail.
class CatalogueFleet {
 public:
  /// Called after each event that a daemon processed.
  using Observer = std::function<void(const FleetSlot&)>;

  CatalogueFleet(EventQueue& queue, FakeNetwork& network,
                 CataloguePlatform& platform, CatalogueFleetOptions options,
                 Observer observer);

  /// Starts all daemons.
  void Start();
  /// Ends a daemon; its memory is lost.
  void Kill(size_t index);
  /// Starts a daemon that was killed, in a new incarnation.
  void Restart(size_t index);
  /// The daemon processes nothing until Resume, and does not know about it.
  void Pause(size_t index) { this->slots[index].paused = true; }
  void Resume(size_t index);

  std::vector<FleetSlot>& Slots() { return this->slots; }
  /// True if the daemon runs and is not paused.
  bool IsRunning(size_t index) const;
  /// True if the daemon runs, folds, and serves callers.
  bool IsReady(size_t index) const;
  /// True if the daemon can read the log itself now.
  bool ReachesLog(size_t index) const;
  /// True if a running peer can read the log and talk with the daemon.
  bool ReachesLogThroughPeer(size_t index) const;

 private:
  using Work = std::function<void(CatalogueDaemon&, Outbox&)>;
  void Deliver(size_t index, uint64_t incarnation, const Work& work);
  void Process(size_t index, const Work& work);
  void Send(size_t from, const Envelope& envelope);
  void ScheduleTick(size_t index, uint64_t incarnation);
  void Poll(size_t index);
  void OnRead(size_t index, uint64_t incarnation, uint64_t id,
              const LogRead& read);
  void OnReadTimeout(size_t index, uint64_t incarnation, uint64_t id);
  void Append(size_t index, const std::string& batch);
  void OnAppendEnd(size_t index, uint64_t incarnation, uint64_t id,
                   bool stored);

  EventQueue& queue;
  FakeNetwork& network;
  CataloguePlatform& platform;
  CatalogueFleetOptions options;
  Observer observer;
  std::vector<FleetSlot> slots;
};

}  // namespace fuchsiadrum::bench

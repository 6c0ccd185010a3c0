#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/grant_holder.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "gateway/async_condition.h"
#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {

/// Options of FleetHeartbeats.
struct FleetHeartbeatsOptions {
  std::string vm;
  uint64_t incarnation = 0;
  /// Never null.
  StoreEndpoint* store = nullptr;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// Minimum time between two heartbeats. From the last heartbeat, the
  /// successor of this process derives for how long it may have been cut off
  /// from the store.
  Duration min_interval = std::chrono::milliseconds(500);
  Duration max_interval = std::chrono::seconds(5);
  /// Maximum rate of heartbeats of the whole fleet: all of them go to one
  /// partition, which takes about 500 writes per second.
  double max_heartbeats_per_s = 200;
};

/// Interval at which each VM of a fleet of this size writes its heartbeat.
Duration HeartbeatInterval(const FleetHeartbeatsOptions& options,
                           size_t fleet_size);

/// Writes this gateway's heartbeats to the store and reads those of the fleet.
/// They tell the last heartbeat of the previous gateway process on this VM (the
/// predecessor), the size of the fleet, and the time that passed on the clocks
/// of other VMs while no process ran here.
class FleetHeartbeats {
 public:
  FleetHeartbeats(const FleetHeartbeatsOptions& opts, asio::io_context& context,
                  Watchdog& watchdog, EventLog& log);

  /// Reads the newest heartbeat of every VM; false if the store did not answer.
  asio::awaitable<bool> ReadFleet();
  /// Writes a heartbeat with these ceilings. `clocks` were read before the
  /// ceilings were planned. Retries until the write is done.
  asio::awaitable<void> Write(std::vector<budget::GrantCeiling> ceilings,
                              budget::VmClocks clocks);

  /// Earlier processes of this VM whose grants are not settled yet, the last
  /// one first. Each heartbeat names them until OnSettled, because it replaces
  /// the one that named them before.
  const std::vector<pb::EndedHolder>& Ended() const { return this->ended; }
  /// Longest time for which the ended process can have been without an answer
  /// of the store; nullopt if it is unknown, or so long that nothing of its
  /// grants can be reclaimed. Later heartbeats name the time.
  asio::awaitable<std::optional<Duration>> SilenceOf(
      std::string ended_holder, budget::ReleaseOptions release);
  /// The grants of that process are settled, or nothing of them can be
  /// reclaimed.
  void OnSettled(const std::string& ended_holder);
  /// True if a process ran on this VM before.
  bool HadPredecessor() const { return this->had_predecessor; }
  /// Number of VMs that have ever written a heartbeat, including this one; 0 if
  /// not yet known.
  size_t FleetSize() const { return this->fleet_size; }
  const std::set<std::string>& Vms() const { return this->vms; }
  /// How often the heartbeats of all VMs were read.
  uint64_t Reads() const { return this->reads; }
  /// When this process has written its first heartbeat; empty: not yet.
  std::optional<TimePoint> FirstWrittenAt() const {
    return this->first_written_at;
  }
  Duration Interval() const {
    return HeartbeatInterval(this->options, this->fleet_size);
  }
  /// Time since the pending write was started; zero if no write is pending.
  Duration PendingWriteAge(TimePoint now) const;
  uint64_t Calls() const { return this->WriteCalls() + this->ReadCalls(); }
  /// Calls that write heartbeats, and those that read them.
  uint64_t WriteCalls() const { return this->write_client.Calls(); }
  uint64_t ReadCalls() const { return this->read_client.Calls(); }

 private:
  /// The store was restored from an older copy.
  void OnNewEra();
  void AddMember(const store::KeyedRecord& record);
  store::KeyedRecord OwnRecord(
      const std::vector<budget::GrantCeiling>& ceilings,
      const budget::VmClocks& clocks) const;
  /// The ended process's longest silence by the clocks of other VMs; nullopt if
  /// they don't confirm this VM's clock in time.
  asio::awaitable<std::optional<Duration>> SilenceFromPeers(
      budget::FleetHeartbeat last);
  /// Appends the heartbeats stored from offset `from` on to `heartbeats`; false
  /// if they could not be read. Records after `latest` are not needed.
  asio::awaitable<bool> Read(uint64_t from, uint64_t latest,
                             std::vector<budget::FleetHeartbeat>& heartbeats);

  FleetHeartbeatsOptions options;
  EventLog& event_log;
  StoreClient write_client;
  StoreClient read_client;
  AsyncCondition timer;
  platform::Writer writer;
  std::set<std::string> vms;
  size_t fleet_size = 0;
  uint64_t reads = 0;
  std::optional<TimePoint> first_written_at;
  std::vector<pb::EndedHolder> ended;
  bool had_predecessor = false;
  /// The first heartbeat that this process wrote.
  std::optional<budget::FleetHeartbeat> first_heartbeat;
  /// The offsets above are of an earlier era of the store.
  bool are_offsets_lost = false;
  /// Offset of the last heartbeat that the store has acknowledged.
  std::optional<uint64_t> last_offset;
  TimePoint write_begun;
};

}  // namespace fuchsiadrum::gateway

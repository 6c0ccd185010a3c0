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

/// Options of the signs.
struct FleetSignsOptions {
  std::string vm;
  uint64_t incarnation = 0;
  std::string store_address;
  Duration store_timeout = std::chrono::milliseconds(600);
  /// Least time between two signs. The last one shows a successor of this
  /// process how long it may have been cut off.
  Duration least_interval = std::chrono::milliseconds(500);
  Duration longest_interval = std::chrono::seconds(5);
  /// Signs that the whole fleet writes each second at most: all go to one
  /// partition, which takes about 500 writes.
  double most_signs_per_s = 200;
};

/// Interval at which each VM of a fleet of this size writes its sign of life.
Duration SignInterval(const FleetSignsOptions& options, size_t fleet_size);

/// This gateway's sign of life in the store, and what it reads of the others':
/// the former process of this VM, the size of the fleet, and the time that
/// other VMs measured while this one was away.
class FleetSigns {
 public:
  FleetSigns(const FleetSignsOptions& opts, asio::io_context& context,
             Watchdog& watchdog, EventLog& log);

  /// Reads the newest sign of every VM; false: the store did not answer.
  asio::awaitable<bool> ReadFleet();
  /// Writes a sign with these ceilings; returns when it is in the store.
  asio::awaitable<void> Write(std::vector<budget::GrantCeiling> ceilings);
  /// Longest time for which the former process can have been without an answer
  /// of the store; nullopt: not known, or too long for anything to come back.
  asio::awaitable<std::optional<Duration>> FormerSilence(
      budget::ReleaseOptions release);

  /// The former process of this VM, as its last sign shows it.
  const std::optional<pb::FleetMember>& Former() const { return this->former; }
  std::string FormerHolder() const;
  /// VMs that have ever shown themselves, this one included; 0: not yet known.
  size_t FleetSize() const { return this->fleet_size; }
  Duration Interval() const {
    return SignInterval(this->options, this->fleet_size);
  }
  /// Age of the write under way; zero: none.
  Duration Unanswered(TimePoint now) const;
  uint64_t Calls() const {
    return this->write_client.Calls() + this->read_client.Calls();
  }

 private:
  void TakeMember(const store::KeyedRecord& record);
  store::KeyedRecord OwnRecord(
      const std::vector<budget::GrantCeiling>& ceilings) const;
  asio::awaitable<std::optional<Duration>> AskOthers();
  /// Signs of one part of the history are added; false: it could not be read.
  asio::awaitable<bool> ReadSigns(uint64_t from,
                                  std::vector<budget::FleetHeartbeat>& signs);

  FleetSignsOptions options;
  EventLog& event_log;
  StoreClient write_client;
  StoreClient read_client;
  AsyncCondition gate;
  platform::Writer writer;
  std::set<std::string> vms;
  size_t fleet_size = 0;
  std::optional<pb::FleetMember> former;
  uint64_t former_offset = 0;
  /// This process's first own sign.
  std::optional<budget::FleetHeartbeat> first_sign;
  TimePoint write_begun;
};

}  // namespace fuchsiadrum::gateway

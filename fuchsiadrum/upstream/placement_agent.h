#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/upstream/placement_owners.h"
#include "fuchsiadrum/upstream/upstream_table.h"
#include "schema/catalogue.pb.h"

namespace fuchsiadrum::upstream {

/// Options of the agent.
struct PlacementAgentOptions {
  /// Loads that the weight store bears a minute, over the whole fleet.
  double loads_per_minute = 6;
  /// An order is repeated after this time until its state is observed.
  Duration repeat_after = std::chrono::seconds(5);
  /// An owner silent for this long is replaced.
  Duration owner_silent = std::chrono::seconds(10);
  /// Longest wait for an own appointment to be read back.
  Duration appoint_timeout = std::chrono::seconds(5);
  /// For engines that ignore the fencing number: an owner orders only if it
  /// read the end of the log within `log_fresh`, and a new owner waits
  /// `settle`, so that the last order of the former owner has arrived.
  Duration log_fresh = std::chrono::seconds(2);
  Duration settle = std::chrono::seconds(8);
  /// Times that a reached state may be changed by someone else before the
  /// owner stops ordering and reports a conflict.
  int most_reversals = 2;
};

/// An order to an engine: its whole wanted state.
struct PlacementOrder {
  std::string upstream;
  /// IP:port.
  std::string address;
  /// Log offset of the appointment of the owner that orders.
  uint64_t fencing = 0;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::string version;
  std::string role;
};

/// How an order was answered.
enum class OrderAnswer { kAccepted, kOldFencing, kNoAnswer };

/// Placement of one upstream, for operators.
struct PlacementStatus {
  std::string upstream;
  /// Empty: no owner.
  std::string owner;
  bool reached = false;
  /// Someone else changes the state; the owner has stopped.
  bool conflict = false;
};

/// Brings engines to the placement that the catalogue wants. The fold appoints
/// one owner for each upstream; only the owner orders, and it repeats the
/// absolute order until the state is observed.
class PlacementAgent final : public Agent {
 public:
  PlacementAgent(PlacementAgentOptions options, const PeerView& peers,
                 const PlacementOwners& owners, const UpstreamTable& table);

  /// Replaces the wanted placements (catalogue entries "placement/...").
  void SetWanted(const std::vector<pb::Placement>& placements);
  /// The log was read up to its end at this moment.
  void OnLogEndRead(TimePoint now) { this->log_end_read = now; }
  /// An order was answered or given up.
  void OnOrderAnswer(TimePoint now, const std::string& upstream,
                     OrderAnswer answer);

  void OnTick(TimePoint now, Outbox& out) override;
  void BeginDrain(TimePoint now, Outbox& out) override;
  bool IsDrained() const override;

  /// Orders to send now; the caller sends each once.
  std::vector<PlacementOrder> TakeOrders();
  std::vector<PlacementStatus> Statuses() const;

 private:
  struct Task {
    pb::Placement wanted;
    /// Models and adapters, sorted, as reports name them.
    std::vector<std::string> wanted_models;
    LogPosition term;
    TimePoint term_seen;
    std::optional<TimePoint> ordered_at;
    std::optional<TimePoint> appointed_at;
    bool load_paid = false;
    bool was_reached = false;
    int reversals = 0;
  };

  static std::vector<std::string> ModelsOf(const pb::Placement& placement);
  bool IsReached(const Task& task) const;
  bool IsOwn(const std::string& upstream) const;
  std::optional<VmRef> BestOwner(const std::string& upstream,
                                 bool with_self) const;
  bool IsOwnerLost(TimePoint now, const VmRef& owner) const;
  void FollowTerm(TimePoint now, const std::string& upstream, Task& task);
  void FollowState(Task& task) const;
  void Appoint(TimePoint now, const std::string& upstream, Task& task,
               const VmRef& owner, Outbox& out);
  void AppointIfNeeded(TimePoint now, const std::string& upstream, Task& task,
                       Outbox& out);
  void RefillLoads(TimePoint now);
  bool MayOrder(TimePoint now, const std::string& upstream,
                const Task& task) const;
  void Order(TimePoint now, const std::string& upstream, Task& task);

  PlacementAgentOptions options;
  const PeerView& peers;
  const PlacementOwners& owners;
  const UpstreamTable& table;
  std::map<std::string, Task> tasks;
  std::vector<PlacementOrder> orders;
  std::optional<TimePoint> log_end_read;
  std::optional<TimePoint> refilled_at;
  /// Loads that may start now, at most one.
  double loads = 1.0;
  bool draining = false;
};

}  // namespace fuchsiadrum::upstream

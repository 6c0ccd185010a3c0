#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/holder_leases.h"
#include "fuchsiadrum/serving/permit_bucket.h"
#include "fuchsiadrum/serving/shared_limit.h"
#include "fuchsiadrum/serving/urgency_gate.h"

namespace fuchsiadrum::serving {

/// Options of UpstreamLimits.
struct UpstreamLimitsOptions {
  /// Name of this gateway process among the holders: "<vm>/<incarnation>".
  std::string holder;
  HolderLeaseOptions lease;
  PermitBucketOptions bucket;
  UrgencyGateOptions urgency;
  /// Lower limits count as this one, in requests per second: without any
  /// request nobody would learn that the upstream has withdrawn its limit.
  double min_limit = 0.05;
  /// Number of holders beyond one for each request per second of the limit.
  /// Each holder may have saved one permit, so that this bounds the burst of
  /// all holders together.
  size_t additional_holders = 2;
  /// Smallest share worth a holder, as a fraction of the limit.
  double min_share_fraction = 0.1;
  /// An own share grows when the demand exceeds it by this factor, and shrinks
  /// when it exceeds the demand by the square of this factor.
  double share_hysteresis = 1.4;
  /// Demand in requests per second below which shares are given up.
  double idle_demand = 0.02;
  /// When a part of a limit becomes free, each gateway of the fleet waits for a
  /// random part of this time before it claims it, so that few claims collide.
  Duration claim_spread_per_vm = std::chrono::milliseconds(3);
  Duration max_claim_spread = std::chrono::seconds(3);
  /// The record of an upstream that is not known is deleted after this time to
  /// twice this time, at random for each gateway.
  Duration unknown_retention = std::chrono::seconds(60);
};

/// Keeps the limits that upstreams name within the whole fleet. A gateway sends
/// to a limited upstream only with a permit of its own share of the limit. The
/// shares are records in a stream of the store, in which each change depends on
/// all earlier ones; they never add up to more than the limit. A share is used
/// only while the holder's lease is valid, so that it can be taken over when
/// its holder has ended or is cut off.
///
/// `now` is a steady time, `boot_now` a time that also passes while the VM is
/// suspended.
class UpstreamLimits {
 public:
  explicit UpstreamLimits(const UpstreamLimitsOptions& opts);

  /// Number of gateways among which claims are spread.
  void SetFleetSize(size_t size) { this->fleet_size = size; }
  /// Gives up all shares; none is claimed any more.
  void Close(TimePoint now);

  /// A request for the service has arrived.
  void OnRequest(TimePoint now, const std::string& service, int priority);
  /// True if no more urgent requests for the service arrive.
  bool IsMostUrgent(TimePoint now, const std::string& service, int priority) {
    return this->GateOf(service).IsMostUrgent(now, priority);
  }
  /// An answer of the upstream named this limit, to a request that was sent at
  /// `sent_at`. Returns true if that changed the known limit.
  bool OnNamed(TimePoint now, const UpstreamIncarnation& upstream,
               const std::string& service, double limit, TimePoint sent_at);
  /// An answer of the upstream named no limit. Returns true if that withdrew
  /// the known limit. Answers to requests that were sent before the limit was
  /// last named may be older than the limit, so they withdraw nothing.
  bool OnUnnamed(TimePoint now, const UpstreamIncarnation& upstream,
                 TimePoint sent_at);

  /// The known limit in requests per second; nullopt if there is none.
  std::optional<double> LimitOf(const UpstreamIncarnation& upstream) const;
  /// True if the upstream has no limit, or this gateway has a permit for it.
  bool HasPermit(TimePoint now, const UpstreamIncarnation& upstream) const;
  /// Takes a permit, if the upstream has a limit. Returns false if there is no
  /// permit.
  bool TakePermit(TimePoint now, const UpstreamIncarnation& upstream,
                  int priority);
  /// Puts back a permit whose request was not sent.
  void ReturnPermit(TimePoint now, const UpstreamIncarnation& upstream);
  /// True if a permit that was taken may still be used.
  bool IsShareValid(const UpstreamIncarnation& upstream) const;

  /// True if a request of this priority may take a permit of the upstream while
  /// all upstreams of its service are limited. Less urgent requests get what
  /// more urgent ones leave, and only permits that would be lost otherwise.
  bool MayTakeScarce(TimePoint now, const UpstreamIncarnation& upstream,
                     int priority);
  /// When a request of this priority may be served by the limited upstreams of
  /// the service; nullopt if none has a limit.
  std::optional<TimePoint> NextForPriority(TimePoint now,
                                           const std::string& service,
                                           int priority);

  /// A record of the stream was read. Records are passed in their order.
  void OnRecord(TimePoint now, TimePoint boot_now, const SharedLimit& record);
  void OnRecordDeleted(TimePoint now, const std::string& upstream);
  void OnRenewal(TimePoint now, TimePoint boot_now, const std::string& holder,
                 uint64_t renewal);
  void OnHolderDeleted(TimePoint now, TimePoint boot_now,
                       const std::string& holder);
  /// Ends the use of the shares when the lease has ended. Returns true if the
  /// lease has become valid or ended.
  bool CheckLease(TimePoint now, TimePoint boot_now);
  bool IsLeaseValid() const { return this->lease_valid; }

  /// Drops what is known of upstreams that have been unknown for long.
  void DropUnknown(TimePoint now,
                   const std::function<bool(const std::string&)>& is_known);

  /// True if PlanUpdate would return an update.
  bool IsUpdateDue(TimePoint now, TimePoint boot_now);
  /// Returns the records to write now. Shares that it lowers are no longer used
  /// from then on; higher ones are used when they are read from the stream.
  LimitUpdate PlanUpdate(TimePoint now, TimePoint boot_now);
  /// The store has not applied the last update.
  void OnUpdateRejected(TimePoint now, TimePoint boot_now);
  /// The store has not answered the last update; it may still be applied.
  void OnUpdateUnanswered(TimePoint boot_now) {
    this->leases.OnRenewalFailed(boot_now);
  }

  /// Number of upstreams with a limit, and the sum of the own shares in use in
  /// requests per second.
  size_t Limited() const;
  double OwnRate() const;

 private:
  struct Entry {
    explicit Entry(const PermitBucketOptions& options) : bucket(options) {}
    UpstreamIncarnation incarnation;
    std::string service;
    /// Limit that an answer to this VM has named, until the stream holds it or
    /// a lower one.
    std::optional<double> heard;
    /// As last read from the stream.
    std::optional<SharedLimit> shared;
    /// An answer to this VM has withdrawn the limit that the stream holds.
    bool withdrawn = false;
    /// When the limit was last named or changed.
    TimePoint limit_at;
    /// Lower own share that may have been written.
    std::optional<double> planned_share;
    /// When a free part of the limit may be claimed; us is 0 if none is free.
    TimePoint claim_at;
    /// Since when the upstream is unknown; us is 0 while it is known.
    TimePoint unknown_since;
    PermitBucket bucket;
  };

  /// Sums over the limited upstreams of one service, in requests per second.
  struct Totals {
    double limits = 0;
    double own_rate = 0;
  };

  /// Returns the entry of that incarnation, or nullptr if a later one is known.
  Entry* Refresh(const UpstreamIncarnation& upstream);
  const Entry* Find(const UpstreamIncarnation& upstream) const;
  /// The limit that binds this VM.
  static std::optional<double> LimitOf(const Entry& entry);
  /// Sets the rate of the own permits from the share, the limit and the lease.
  void UpdateRate(TimePoint now, Entry& entry);
  void UpdateTotals(const std::string& service);
  double UsableLimit(double limit) const;
  double OwnShare(const Entry& entry) const;
  UrgencyGate& GateOf(const std::string& service);
  /// Share of the upstream's limit that this gateway's demand asks for.
  double WantedShare(TimePoint now, const Entry& entry);
  /// The changes of limits that are due, without a renewal.
  LimitUpdate PlanLimits(TimePoint now, TimePoint boot_now);
  SharedLimit PlanRecord(TimePoint now, TimePoint boot_now, Entry& entry);
  /// Sets the own share in a record that is planned.
  void PlanOwnShare(TimePoint now, Entry& entry, SharedLimit& record);
  bool MayClaim(TimePoint now, Entry& entry, const SharedLimit& record);
  /// True if the update, or what the stream holds, gives this gateway a share.
  bool HoldsShare(const LimitUpdate& update) const;

  UpstreamLimitsOptions options;
  HolderLeases leases;
  Rng rng;
  /// When this gateway deletes the records of unknown upstreams.
  Duration deletion_delay;
  /// By id of the upstream.
  std::map<std::string, Entry> entries;
  /// By service.
  std::map<std::string, UrgencyGate> gates;
  /// By service.
  std::map<std::string, Totals> totals;
  size_t fleet_size = 1;
  bool lease_valid = false;
  bool closed = false;
};

}  // namespace fuchsiadrum::serving

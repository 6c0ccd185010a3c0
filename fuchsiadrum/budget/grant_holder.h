#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/ceiling_policy.h"
#include "fuchsiadrum/budget/demand_meter.h"
#include "fuchsiadrum/budget/fleet_account.h"
#include "fuchsiadrum/budget/grant_holder_options.h"
#include "fuchsiadrum/budget/pool_sizer.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "fuchsiadrum/budget/reserve_outcome.h"
#include "fuchsiadrum/budget/return_policy.h"
#include "fuchsiadrum/budget/token_breakdown.h"
#include "fuchsiadrum/budget/waiting_requests.h"
#include "fuchsiadrum/budget/write_pace.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// A grant record to be written, and the account after that write.
struct GrantUpdate {
  std::string organisation;
  RecordedGrant grant;
  FleetAccount account;
};

/// Ceiling of one organisation's grant: the total up to which the holder uses
/// the grant as long as the store answers its writes.
struct GrantCeiling {
  std::string organisation;
  Tokens ceiling;
};

/// Holds one gateway's grants of the organisations' prepaid budgets. It does no
/// I/O: the caller reads the accounts and writes the planned changes to the
/// store, a log of records in partitions that all gateways share.
///
/// Terms:
/// - total: tokens counted cumulatively since the start of the holder, not a
///   balance. A total never includes another holder's tokens.
/// - grant: the part of a budget that one holder may use, given as a total and
///   recorded in the store. Tokens in use are those spent and those reserved.
/// - pool: one holder's grant of one organisation together with its use. It
///   holds the unused tokens: those granted but not in use.
/// - ungranted: tokens of the budget that are in no holder's grant.
/// - ceiling: total, at most that of the grant, up to which the holder uses the
///   grant as long as the store answers its writes. It is recorded in the grant
///   record and in the heartbeats, the records that each gateway writes at
///   intervals. After a crash the tokens above it can be reclaimed, except for
///   those that may have been released.
/// - headroom: tokens between those in use and the ceiling.
/// - release: taking the tokens above the ceiling into use gradually when the
///   store has not answered for some time (ReleaseOptions).
///
/// Safety: each change of a grant is written together with the organisation's
/// account, on condition that the account is still the one on which the change
/// was planned. So at each position of its partition the account is the sum of
/// all recorded grants, and no write raises it above the budget. The holder
/// spends only up to its recorded total: a higher total counts once its write
/// is known to be done, a lower one counts even before it is written. The
/// argument up to here relies on no clock and on no assumption about other
/// gateways. The grant of a dead holder stays counted; only the tokens that it
/// cannot have released are reclaimed, and only if the clocks that
/// budget::MayReclaim compares allow it.
class GrantHolder {
 public:
  explicit GrantHolder(const GrantHolderOptions& holder_options);

  /// Sets the number of gateways over which demand is spread. Until it is
  /// known, only the gateway's own demand counts.
  void SetFleetSize(size_t size) { this->fleet_size = size; }
  /// Sets this gateway's availability zone and the number of gateways in it.
  /// Until it is known, the demand of the zone does not count.
  void SetZone(const std::string& name, size_t size) {
    this->zone = name;
    this->zone_size = size;
  }

  /// Sets the organisation's budget according to the configuration of that
  /// version; nullopt means unlimited, for which no account is written. If an
  /// account has a limit of a newer version, that one applies.
  void SetLimit(const std::string& organisation, std::optional<Tokens> limit,
                uint64_t version);

  /// Records the demand of a request, whether it gets tokens or not. To be
  /// called once for each request.
  void OnRequest(TimePoint now, const std::string& organisation, Tokens amount);
  /// Reserves the amount from the pool, if it holds enough.
  ReserveOutcome Reserve(TimePoint now, const std::string& organisation,
                         Tokens amount);
  /// Registers a request that waits for tokens after Reserve has failed, so
  /// that one write covers all waiting requests. RemoveWaiting ends the wait,
  /// whatever its outcome.
  void AddWaiting(const std::string& organisation, Tokens amount);
  void RemoveWaiting(const std::string& organisation, Tokens amount);
  /// Ends a reservation of `amount` tokens, of which `spent` were used.
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);

  /// Returns true if the organisation's account should be read or changed now:
  /// the caller then reads it, if its copy is not recent, and calls PlanWrite.
  /// Unless a request needs tokens or Close was called, only one call in each
  /// `check_interval` checks the pool; the others return false.
  bool IsDue(TimePoint now, const std::string& organisation);
  /// Returns true if a larger grant is needed at once: a request waits for it,
  /// or a burst uses up the pool within `urgent_burst_time`; no planned change
  /// awaits its outcome, and the account was not found too short just now.
  bool IsUrgent(TimePoint now, const std::string& organisation) const;
  /// Returns true if the grant covers the amount but the ceiling does not.
  bool NeedsOnlyCeiling(const std::string& organisation, Tokens amount) const;
  /// Returns true if other holders hold enough tokens beyond their recorded
  /// spend for this amount, so that some may come back.
  bool MayComeBack(const std::string& organisation, Tokens amount) const;
  /// Returns how many tokens this gateway calls for now, because the account is
  /// short; 0: none. The caller announces the call to all gateways.
  Tokens PlanCall(TimePoint now, const std::string& organisation);
  /// A gateway, possibly this one, calls for tokens of the organisation. `draw`
  /// is a random number from 0 to 1. Nothing but an early return of tokens
  /// follows from a call.
  void OnCall(TimePoint now, const std::string& organisation, Tokens amount,
              double draw);
  /// Plans a change of the grant on this state of the account; nullopt if there
  /// is nothing to write. No other change is planned until one of the three
  /// functions below reports the outcome.
  std::optional<GrantUpdate> PlanWrite(TimePoint now,
                                       const std::string& organisation,
                                       const FleetAccount& account);
  /// Reports that the planned change is in the store.
  void OnWritten(TimePoint now, const std::string& organisation);
  /// Reports that the planned change is not in the store and never will be, for
  /// example because the account had changed in the meantime.
  void OnRefused(const std::string& organisation);
  /// Reports that it cannot be determined whether the planned change is in the
  /// store. From now on the lower of the recorded and the planned total counts
  /// as recorded, so that at worst the difference stays granted but unused.
  void OnOutcomeUnknown(const std::string& organisation);

  /// Returns the ceilings to write in the next heartbeat, for all organisations
  /// of which tokens could be reclaimed after a crash.
  std::vector<GrantCeiling> PlanHeartbeat(TimePoint now);
  /// Reports that the write of that heartbeat begins, and that it was answered.
  void OnHeartbeatStarted(TimePoint now) { this->heartbeat_started_at = now; }
  void OnHeartbeatWritten(TimePoint now);
  /// Returns true if the grant covers a waiting request but the ceiling does
  /// not, so that a heartbeat with a higher ceiling is needed.
  bool IsHeartbeatUrgent() const;

  /// Makes the next planned changes return all unused tokens. No reservation of
  /// a limited budget succeeds from now on.
  void Close() { this->closed = true; }

  /// Returns how the tokens above the ceilings are released, on this gateway
  /// and on all others of the fleet.
  const ReleaseOptions& GetReleaseOptions() const {
    return this->options.release;
  }
  /// Returns the tokens that can be reserved at this time.
  Tokens Available(TimePoint now, const std::string& organisation) const;
  /// Returns the organisations with a limit of which this gateway holds a grant
  /// or knows a demand.
  std::vector<std::string> HeldOrganisations() const;
  /// Returns where the organisation's tokens are, by the account as last read.
  TokenBreakdown Breakdown(TimePoint now,
                           const std::string& organisation) const;

 private:
  /// The grant of one organisation, and its use.
  struct Pool {
    /// The budget by this gateway's configuration; nullopt: unlimited.
    std::optional<Tokens> limit;
    uint64_t limit_version = 0;
    /// The account as last read or written, and when; time 0: not read yet.
    FleetAccount account;
    TimePoint account_at;
    /// This holder's record in the store, the one that is being written, and
    /// the account after that write.
    RecordedGrant recorded;
    RecordedGrant planned;
    FleetAccount planned_account;
    /// True while the outcome of the write of `planned` is not reported.
    bool in_flight = false;
    /// When the last write was reported as done.
    TimePoint recorded_at;
    /// Total that may be spent under the recorded and the planned grant.
    Tokens spendable_total;
    /// Ceilings in this holder's grant record and in its last heartbeat; the
    /// higher one counts. `planned_heartbeat_ceiling` is in the heartbeat that
    /// is being written.
    Tokens grant_ceiling;
    Tokens heartbeat_ceiling;
    Tokens planned_heartbeat_ceiling;
    /// Total of the settled spend, and the tokens of the current reservations.
    Tokens spent;
    Tokens reserved;
    /// Sum of the amounts of all settled reservations.
    Tokens settled;
    /// Largest amount that could not be reserved and that no grant has covered
    /// since then; 0 if there is none.
    Tokens unmet_amount;
    /// Requests that wait for tokens.
    WaitingRequests waiting;
    /// Until when a request causes no further read of the account, because the
    /// ungranted tokens did not cover it.
    TimePoint short_until;
    /// When a call for tokens was last made or heard, for how many tokens, and
    /// whether this gateway is to answer it.
    TimePoint called_at;
    Tokens called_amount;
    bool answers_call = false;
    /// Demand of the requests that reach this gateway.
    DemandMeter demand;
    /// The same, measured with `long_term_time_constant`.
    DemandMeter long_term_demand;
    /// The same, measured with `burst_time_constant`.
    DemandMeter burst_demand;
    /// Expected demand in tokens per second at this gateway, from its own and
    /// the fleet's demand, and the time since when any demand is known.
    double expected_rate = 0;
    double fleet_rate = 0;
    TimePoint demand_known_since;
    /// When the pool was last compared with its target.
    TimePoint checked_at;

    Tokens InUse() const { return this->spent + this->reserved; }
    /// Tokens that the waiting requests need, and the smallest amount that
    /// helps one of them.
    Tokens Need() const {
      return std::max(this->unmet_amount, this->waiting.Sum());
    }
    Tokens SmallestNeed() const {
      return this->waiting.IsEmpty() ? this->unmet_amount
                                     : this->waiting.Smallest();
    }
    Tokens Ceiling() const {
      return std::max(this->grant_ceiling, this->heartbeat_ceiling);
    }
  };

  /// Total that may be in use at `now`, by the ceiling and by the time since
  /// the last answered heartbeat.
  Tokens ReleasedTotalAt(TimePoint now, const Pool& pool) const;
  /// The budget: the pool's or the account's limit, whichever is of the newer
  /// version.
  static Tokens LimitOf(const Pool& pool, const FleetAccount& account);
  /// Largest total that the account leaves to this holder: the budget without
  /// the grants of all others.
  static Tokens MaxTotal(const Pool& pool, const FleetAccount& account);
  static void ClearUnmetAmountIfCovered(Pool& pool);
  /// Ceiling to write for a grant of `total`: the tokens in use and the
  /// headroom, as far as the grant covers them.
  Tokens NextCeiling(const Pool& pool, Tokens total) const;
  /// Headroom for a grant of `total`.
  Tokens CeilingHeadroom(const Pool& pool, Tokens total) const;
  Pool& PoolOf(const std::string& organisation);
  bool Breaks(GrantMutation rule) const {
    return this->options.mutation == rule;
  }
  /// Returns true if every gateway may hold a pool of this organisation, even
  /// without requests of it.
  bool IsSpreadOverFleet(const Pool& pool) const;
  /// Updates the expected rate and the fleet's rate of the pool.
  void UpdateExpectedRate(TimePoint now, Pool& pool) const;
  /// Returns true if a burst uses up the pool within `urgent_burst_time`.
  bool IsRunningLow(const Pool& pool) const;
  /// Average demand of the gateways of this zone, in tokens per second.
  double ZoneAverage(const Pool& pool) const;
  ReturnSituation SituationOf(const Pool& pool) const;
  /// Returns true while a call for tokens is in force.
  bool IsCalled(TimePoint now, const Pool& pool) const;
  /// Minimum interval between two calls to the account that no request waits
  /// for.
  Duration PacedInterval(const Pool& pool) const;
  /// The same for a return of tokens down to `target`.
  Duration ReturnInterval(const Pool& pool, Tokens target) const;
  /// Returns true if the pool should be refilled to its target.
  bool IsRefillDue(TimePoint now, const Pool& pool, Tokens target) const;
  /// Time in which the fleet's demand uses up the ungranted tokens.
  static Duration TimeToExhaustion(const Pool& pool,
                                   const FleetAccount& account);
  /// Age of the last read account above which it is read again because other
  /// gateways may need this one's unused tokens.
  Duration AccountRefreshInterval(const Pool& pool) const;
  /// Unused tokens that the pool should hold.
  Tokens Target(TimePoint now, Pool& pool, const FleetAccount& account) const;
  /// Total of the next grant record to write; nullopt: no write is needed.
  std::optional<Tokens> NextTotal(TimePoint now, Pool& pool,
                                  const FleetAccount& account) const;
  /// Returns true if the recorded spend should be updated.
  bool IsSpendStale(TimePoint now, const Pool& pool,
                    const FleetAccount& account) const;

  GrantHolderOptions options;
  PoolSizer sizer;
  CeilingPolicy ceiling_policy;
  WritePace pace;
  ReturnPolicy returns;
  std::map<std::string, Pool> pools;
  size_t fleet_size = 0;
  std::string zone;
  size_t zone_size = 0;
  /// Tokens of a typical request, over all organisations; 0: not known.
  double typical_request = 0;
  /// When the last heartbeat was answered, and when the write of the latest one
  /// began.
  TimePoint heartbeat_written_at;
  TimePoint heartbeat_started_at;
  bool closed = false;
};

}  // namespace fuchsiadrum::budget

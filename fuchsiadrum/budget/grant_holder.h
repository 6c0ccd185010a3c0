#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/demand_meter.h"
#include "fuchsiadrum/budget/fleet_account.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "fuchsiadrum/budget/reserve_outcome.h"
#include "fuchsiadrum/budget/token_breakdown.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Options of a GrantHolder. A "fraction" is a number from 0 to 1.
struct GrantHolderOptions {
  /// Time for which a full pool covers the demand. It bounds the tokens that a
  /// crash strands if none can be reclaimed, and the time for which a gateway
  /// serves without the store. Store outages of 4 to 9 s are common.
  Duration horizon = std::chrono::seconds(12);
  /// When the tokens above the ceiling come into use while the store does not
  /// answer.
  ReleaseOptions release;
  /// The headroom, that is, the tokens between those in use and the ceiling,
  /// covers the expected demand for this time. It has to span the release delay
  /// and the age of the last heartbeat, which can raise the ceiling.
  Duration ceiling_horizon = std::chrono::milliseconds(2400);
  /// Minimum number of typical requests that the headroom covers, so that the
  /// next request is served also right after the gateway lost the store. If the
  /// budget is spread over the fleet (see `max_spread_fraction`), the largest
  /// recent request counts, only where there is demand, and all minimums take
  /// a bounded part of the unspent tokens: a crash of all gateways would strand
  /// them.
  double min_ceiling_requests = 1.5;
  /// Once the unspent fraction of the budget falls below this one, the headroom
  /// shrinks in proportion to it, down to `min_headroom_fraction` of its full
  /// size. Near the end of a budget the tokens that a crash strands are missed,
  /// whereas a pause after the loss of the store costs no tokens.
  double full_headroom_fraction = 0.5;
  double min_headroom_fraction = 0.33;
  /// Fraction of the available tokens that all pools together may take, each
  /// according to its fraction of the fleet's demand. Available are the
  /// ungranted tokens and the unused ones of the pool in question. The rest
  /// stays ungranted, so that every gateway can get tokens near the end of a
  /// budget.
  double max_pooled_fraction = 0.85;
  /// Takes the place of `max_pooled_fraction` in the target of a pool with
  /// sparse traffic: the budget is not spread over the fleet, and the gateway
  /// expects fewer than `min_steady_requests` requests of the organisation
  /// within the horizon. The next request is likely to reach another gateway,
  /// which needs ungranted tokens then.
  double max_sparse_pooled_fraction = 0.5;
  double min_steady_requests = 2.0;
  /// A gateway with sparse traffic holds tokens for its long-term demand if
  /// that amounts to at least this many requests within the horizon. The
  /// long-term demand is measured with `long_term_time_constant` instead of
  /// `demand_time_constant`.
  double min_long_term_requests = 0.7;
  Duration long_term_time_constant = std::chrono::seconds(20);
  /// A gateway with unused tokens reads the account again after this fraction
  /// of the time in which the fleet's demand uses up the ungranted tokens,
  /// clamped to the two intervals below. With the newer account its target may
  /// be lower, so that it returns tokens that other gateways need.
  double account_refresh_fraction = 0.33;
  Duration min_account_refresh_interval = std::chrono::milliseconds(1500);
  Duration max_account_refresh_interval = std::chrono::seconds(15);
  /// Weight of the fleet's average demand per gateway in the expected demand:
  /// it counts as much as the gateway's own demand measured over this time. A
  /// gateway sees few requests of a small organisation, but may get the next
  /// ones.
  Duration fleet_average_weight = std::chrono::seconds(4);
  /// A budget is spread over the whole fleet, so that every gateway holds a
  /// pool of it, only if a typical request's tokens times the number of
  /// gateways are no more than this fraction of the budget, and if
  /// `max_spread_grants` permits it. Otherwise a gateway holds no tokens of an
  /// organisation before it has seen a request of it, and fetches them for that
  /// request.
  double max_spread_fraction = 0.5;
  /// Tokens of a typical request, assumed until the first request.
  double assumed_request_tokens = 4000;
  /// Budgets are spread over the fleet only if the number of gateways times the
  /// number of organisations is no more than this.
  size_t max_spread_grants = 4000;
  /// Standard deviations of the demand within the horizon that a pool covers in
  /// addition to its expected value.
  double demand_deviations = 2.0;
  /// Fraction of a budget spread over the fleet that all pools together hold
  /// before any demand is known, so that the first requests need not wait and
  /// are served even if the store fails immediately. It shrinks to 0 within
  /// `demand_time_constant` after demand is first seen.
  double initial_fraction = 0.4;
  /// Weight of one request in the moving average that gives the size of a
  /// typical request.
  double typical_request_weight = 0.05;
  /// A full pool covers at least this many requests of the largest recent size.
  /// With few requests the demand says little about the next one.
  double min_largest_requests = 2.0;
  /// Minimum fraction of the tokens available to all pools (see
  /// `max_pooled_fraction`) that a single pool may take.
  double min_pool_fraction = 0.02;
  /// Time constants for the decay of the measured demand and of the largest
  /// recent request.
  Duration demand_time_constant = std::chrono::seconds(15);
  Duration largest_request_time_constant = std::chrono::seconds(20);
  /// The target of a pool is the number of unused tokens that it should hold. A
  /// pool is refilled to the target when it falls below this fraction of it.
  double low_water = 0.8;
  /// A pool with more unused tokens than this factor times its target returns
  /// those above the target. `ample_high_water` is the factor while the
  /// ungranted tokens last for longer than `ample_time` at the fleet's demand.
  double high_water = 1.5;
  double ample_high_water = 4.0;
  Duration ample_time = std::chrono::seconds(20);
  /// Interval at which a pool is compared with its target while no request
  /// waits for tokens.
  Duration check_interval = std::chrono::milliseconds(500);
  /// Maximum age of the last read account at which a request may be refused
  /// because the account has too few ungranted tokens. An older account is read
  /// again first.
  Duration max_account_age = std::chrono::milliseconds(800);
  /// Ungranted fraction of the budget below which the holder updates the spend
  /// in its grant record even if its total stays the same, and the minimum
  /// interval at which it does. By the recorded spend other holders tell
  /// whether a budget is exhausted or tokens are unused elsewhere.
  double spend_refresh_threshold = 0.15;
  Duration spend_refresh_interval = std::chrono::seconds(3);
  /// After the store was restored from an older copy, no grant is raised for
  /// this long: by then each gateway that reaches the store has written again
  /// the grants that the store lost.
  Duration restore_time = std::chrono::seconds(5);
};

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
  /// Ends a reservation of `amount` tokens, of which `spent` were used.
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);

  /// Returns true if the organisation's account should be read or changed now:
  /// the caller then reads it, if its copy is not recent, and calls PlanWrite.
  /// Unless a request needs tokens or Close was called, only one call in each
  /// `check_interval` checks the pool; the others return false.
  bool IsDue(TimePoint now, const std::string& organisation);
  /// Returns true if a request needs a larger grant and no planned change
  /// awaits its outcome.
  bool HasUnmetRequest(const std::string& organisation) const;
  /// Returns true if the grant covers the amount but the ceiling does not.
  bool NeedsOnlyCeiling(const std::string& organisation, Tokens amount) const;
  /// Plans a change of the grant on this state of the account; nullopt if there
  /// is nothing to write. No other change is planned until one of the three
  /// functions below reports the outcome.
  std::optional<GrantUpdate> PlanWrite(TimePoint now,
                                       const std::string& organisation,
                                       const FleetAccount& account);
  /// The store was restored from an older copy, in which grants may be lost.
  void OnStoreRestored(TimePoint now) { this->store_restored_at = now; }
  /// Plans to write the grant again, if the store has another state of it than
  /// this holder, from which the account was computed. The account may exceed
  /// the budget by that: tokens that a holder may have used are counted. As
  /// after PlanWrite, the outcome has to be reported.
  std::optional<GrantUpdate> PlanRestore(const std::string& organisation,
                                         const RecordedGrant& stored,
                                         const FleetAccount& account);
  /// Reports that the planned change is in the store.
  void OnWritten(TimePoint now, const std::string& organisation);
  /// Reports that the planned change is not in the store and never will be, for
  /// example because the account had changed in the meantime.
  void OnRefused(const std::string& organisation);
  /// Reports that it cannot be determined whether the planned change is in the
  /// store. From now on the lower of the recorded and the planned total counts
  /// as recorded, and the lower ceiling, so that at worst the difference stays
  /// granted but unused.
  void OnOutcomeUnknown(const std::string& organisation);

  /// Returns the ceilings to write in the next heartbeat, for all organisations
  /// of which tokens could be reclaimed after a crash.
  std::vector<GrantCeiling> PlanHeartbeat(TimePoint now);
  /// From now on until the first heartbeat was answered, grants are recorded
  /// with a final ceiling: a successor that finds no heartbeat of this holder
  /// cannot know what else it has used.
  void AwaitFirstHeartbeat() { this->awaits_heartbeat = true; }
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
    /// Demand of the requests that reach this gateway.
    DemandMeter demand;
    /// The same, measured with `long_term_time_constant`.
    DemandMeter long_term_demand;
    /// Expected demand in tokens per second at this gateway, from its own and
    /// the fleet's demand, and the time since when any demand is known.
    double expected_rate = 0;
    TimePoint demand_known_since;
    /// When the pool was last compared with its target.
    TimePoint checked_at;

    Tokens InUse() const { return this->spent + this->reserved; }
    Tokens Ceiling() const {
      return this->recorded.is_ceiling_final
                 ? this->grant_ceiling
                 : std::max(this->grant_ceiling, this->heartbeat_ceiling);
    }
    /// True if a waiting request needs a higher ceiling, which only a write of
    /// the grant can raise.
    bool NeedsFinalCeiling() const {
      return this->recorded.is_ceiling_final &&
             this->InUse() + this->unmet_amount > this->grant_ceiling;
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
  /// Headroom that the demand and the waiting requests call for.
  Tokens CeilingHeadroom(const Pool& pool) const;
  Pool& PoolOf(const std::string& organisation);
  /// Fraction of the budget that is not recorded as spent.
  static double UnspentFraction(const Pool& pool);
  /// Returns true if every gateway may hold a pool of this organisation, even
  /// without requests of it.
  bool IsSpreadOverFleet(const Pool& pool) const;
  /// Updates the expected rate of the pool; returns the demand of the whole
  /// fleet in tokens per second.
  double UpdateExpectedRate(TimePoint now, Pool& pool) const;
  /// Tokens of the budget that this gateway holds while no demand is known.
  double InitialShare(TimePoint now, const Pool& pool) const;
  /// Returns true if the budget is spread over the fleet or the traffic at this
  /// gateway is not sparse. Such a pool keeps its tokens through pauses between
  /// requests.
  bool HasSteadyPool(const Pool& pool) const;
  /// Time in which the fleet's demand uses up the ungranted tokens.
  static Duration TimeToExhaustion(const Pool& pool,
                                   const FleetAccount& account);
  /// Age of the last read account above which it is read again because other
  /// gateways may need this one's unused tokens.
  Duration AccountRefreshInterval(const Pool& pool) const;
  /// Tokens that the demand within the horizon calls for at a gateway with
  /// sparse traffic.
  double SparseDemand(const Pool& pool) const;
  /// Unused tokens that the pool should hold.
  Tokens Target(TimePoint now, Pool& pool, const FleetAccount& account) const;
  /// Total of the next grant record to write; nullopt: no write is needed.
  std::optional<Tokens> NextTotal(TimePoint now, Pool& pool,
                                  const FleetAccount& account) const;
  /// Returns true if the recorded spend should be updated.
  bool IsSpendStale(TimePoint now, const Pool& pool,
                    const FleetAccount& account) const;

  GrantHolderOptions options;
  std::map<std::string, Pool> pools;
  size_t fleet_size = 0;
  /// Tokens of a typical request, over all organisations; 0: not known.
  double typical_request = 0;
  /// When the last heartbeat was answered, and when the write of the latest one
  /// began.
  TimePoint heartbeat_written_at;
  TimePoint heartbeat_started_at;
  std::optional<TimePoint> store_restored_at;
  bool awaits_heartbeat = false;
  bool closed = false;
};

}  // namespace fuchsiadrum::budget

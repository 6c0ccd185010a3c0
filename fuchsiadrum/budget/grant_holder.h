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
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Options of a GrantHolder. A "fraction" is a number from 0 to 1.
struct GrantHolderOptions {
  /// Time for which a full pool covers the demand. It bounds the tokens that a
  /// crash strands, and the time for which a gateway serves without the store.
  /// Store outages of 4 to 9 s are common.
  Duration horizon = std::chrono::seconds(12);
  ReleaseOptions release;
  /// Time for which the ceiling covers the demand beyond the tokens in use. It
  /// has to span the release delay and the age of the last heartbeat.
  Duration ceiling_horizon = std::chrono::milliseconds(2400);
  /// Minimum number of typical requests that the ceiling covers beyond the
  /// tokens in use, if only some gateways hold a pool of the organisation. With
  /// few requests the expected demand is low, yet the next request should be
  /// served also right after the gateway lost the store. The minimum does not
  /// apply where every gateway holds a pool: a crash of all of them would
  /// strand too much.
  double min_ceiling_requests = 1.5;
  /// Below this unspent fraction of the budget the reserve under the ceiling
  /// shrinks in proportion, down to `min_reserve_fraction` of its size. Tokens
  /// stranded by a crash are missing at the end of a budget, whereas a pause
  /// after the loss of the store costs no tokens.
  double full_reserve_fraction = 0.5;
  double min_reserve_fraction = 0.33;
  /// Fraction of the ungranted tokens that all pools together may take, each
  /// according to its fraction of the demand. The rest stays ungranted, so that
  /// every gateway can get tokens near the end of a budget.
  double max_pooled_fraction = 0.85;
  /// The same for a gateway with sparse traffic, that is, one that expects
  /// fewer than `min_steady_requests` requests of the organisation within the
  /// horizon. The next request is likely to reach another gateway, which needs
  /// ungranted tokens then.
  double max_sparse_pooled_fraction = 0.5;
  double min_steady_requests = 2.0;
  /// A gateway with sparse traffic holds tokens for its long-term demand if
  /// that amounts to at least this many requests within the horizon.
  /// `long_term_time_constant` is the time constant of the long-term demand.
  double min_long_term_requests = 0.7;
  Duration long_term_time_constant = std::chrono::seconds(20);
  /// A gateway with unused tokens reads the account again after this fraction
  /// of the time in which the fleet's demand uses up the ungranted tokens,
  /// clamped to the two intervals. Other gateways may need the tokens more.
  double account_refresh_fraction = 0.33;
  Duration min_account_refresh_interval = std::chrono::milliseconds(1500);
  Duration max_account_refresh_interval = std::chrono::seconds(15);
  /// Weight of the fleet's average demand per gateway in the expected demand,
  /// given as the time of observing the gateway's own demand that weighs as
  /// much. A gateway sees few requests of a small organisation, but may get the
  /// next ones.
  Duration fleet_average_weight = std::chrono::seconds(4);
  /// A budget is spread over the whole fleet only if one typical request at
  /// each gateway together takes no more than `max_spread_fraction` of it, and
  /// if gateways times organisations are no more than `max_spread_grants`.
  /// Otherwise a gateway holds no tokens of an organisation before it has seen
  /// a request of it, and fetches them for that request.
  double max_spread_fraction = 0.5;
  /// Tokens of a typical request, assumed until the first request.
  double assumed_request_tokens = 4000;
  size_t max_spread_grants = 4000;
  /// Standard deviations of the demand within the horizon that a pool covers in
  /// addition to its expected value.
  double demand_deviations = 2.0;
  /// Fraction of a budget that all pools together hold before any demand is
  /// known, so that the first requests need not wait and are served even if the
  /// store fails immediately.
  double initial_fraction = 0.4;
  /// Weight of one request in the moving average that gives the size of a
  /// typical request.
  double typical_request_weight = 0.05;
  /// A full pool covers at least this many requests of the largest recent size.
  /// With few requests the demand says little about the next one.
  double min_largest_requests = 2.0;
  /// Minimum fraction of the tokens available to all pools that a single pool
  /// may take.
  double min_pool_fraction = 0.02;
  /// Time constants for the decay of the measured demand and of the largest
  /// recent request.
  Duration demand_time_constant = std::chrono::seconds(15);
  Duration largest_request_time_constant = std::chrono::seconds(20);
  /// A pool is refilled when it falls below this fraction of its target.
  double low_water = 0.8;
  /// A pool that exceeds its target by more than this factor returns the
  /// excess. The second factor applies while the ungranted tokens last for
  /// longer than `ample_time` at the fleet's demand.
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
  /// Ungranted fraction of the budget below which the holder updates its
  /// recorded spend, and the interval at which it does.
  double spend_refresh_threshold = 0.15;
  Duration spend_refresh_interval = std::chrono::seconds(3);
};

/// A grant record to be written, and the account after that write.
struct GrantUpdate {
  std::string organisation;
  RecordedGrant grant;
  FleetAccount account;
};

/// Total up to which a holder uses its grant of one organisation as long as the
/// store answers its writes.
struct GrantCeiling {
  std::string organisation;
  Tokens ceiling;
};

/// Outcome of GrantHolder::Reserve.
enum class ReserveOutcome {
  kReserved,
  /// The pool holds too few tokens; the holder is due to extend its grant or
  /// its ceiling.
  kPending,
  /// Too few tokens are ungranted. Other holders hold some that they have not
  /// recorded as spent.
  kHeldElsewhere,
  /// The unspent rest of the budget does not cover the amount.
  kExhausted,
};

/// Holds one gateway's grants of the organisations' prepaid budgets. It does no
/// I/O: the caller reads the accounts and writes the planned changes.
///
/// Safety: each change of a grant is written together with the organisation's
/// account, on condition that the account is still the one on which the change
/// was planned. So at each position of its partition the account is the sum of
/// all recorded grants, and no write raises it above the budget. The holder
/// spends only up to its recorded total: a higher total counts once its write
/// is known to be done, a lower one counts even before it is written. The
/// argument relies on no clock and on no assumption about other gateways. The
/// grant of a dead holder stays counted, except for tokens above its ceiling
/// that are reclaimed if budget::MayReclaim allows it.
class GrantHolder {
 public:
  explicit GrantHolder(const GrantHolderOptions& holder_options);

  /// Sets the number of gateways over which demand is spread. Until it is
  /// known, only the gateway's own demand counts.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// Sets the organisation's budget according to the configuration of that
  /// version; nullopt means unlimited.
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

  /// Returns true if the organisation's account should be read or changed now.
  bool IsDue(TimePoint now, const std::string& organisation);
  /// Returns true if a request needs a larger grant and no change is planned.
  bool HasUnmetRequest(const std::string& organisation) const;
  /// Plans a change of the grant on this state of the account; nullopt if there
  /// is nothing to write. No other change is planned until one of the three
  /// functions below reports the outcome.
  std::optional<GrantUpdate> PlanWrite(TimePoint now,
                                       const std::string& organisation,
                                       const FleetAccount& account);
  /// Reports that the planned change is in the store.
  void OnWritten(TimePoint now, const std::string& organisation);
  /// Reports that the planned change is not in the store and never will be.
  void OnRefused(const std::string& organisation);
  /// Reports that it cannot be determined whether the planned change is in the
  /// store. The lower of the two totals counts from now on, so that at worst
  /// tokens stay unused.
  void OnOutcomeUnknown(const std::string& organisation);

  /// Returns the ceilings to write in the next heartbeat, for all organisations
  /// of which tokens could be reclaimed after a crash.
  std::vector<GrantCeiling> PlanHeartbeat(TimePoint now);
  /// Reports that the write of that heartbeat begins, and that it was answered.
  void OnHeartbeatStarted(TimePoint now) { this->heartbeat_started_at = now; }
  void OnHeartbeatWritten(TimePoint now);
  /// Returns true if a request needs a higher ceiling, but no larger grant.
  bool IsHeartbeatUrgent() const;

  /// Starts to return all unused tokens. No reservation of a limited budget
  /// succeeds from now on.
  void Close() { this->closed = true; }

  /// Returns how grants above their ceilings are released, on this gateway and
  /// on all others of the fleet.
  const ReleaseOptions& GetReleaseOptions() const {
    return this->options.release;
  }
  /// Returns the tokens that can be reserved at this time.
  Tokens Available(TimePoint now, const std::string& organisation) const;

 private:
  /// The grant of one organisation, and its use.
  struct Pool {
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
    bool in_flight = false;
    TimePoint recorded_at;
    /// Total that may be spent under the recorded and the planned grant.
    Tokens spendable_total;
    /// Ceilings in this holder's grant record and in its last heartbeat; the
    /// higher one counts. `planned_heartbeat_ceiling` is in the heartbeat that
    /// is being written.
    Tokens grant_ceiling;
    Tokens heartbeat_ceiling;
    Tokens planned_heartbeat_ceiling;
    Tokens spent;
    Tokens reserved;
    /// Largest amount that could not be reserved and that no grant has covered
    /// since then; 0 if there is none.
    Tokens unmet_amount;
    DemandMeter demand;
    /// The same with a longer time constant.
    DemandMeter long_term_demand;
    /// Expected demand in tokens per second at this gateway, from its own and
    /// the fleet's demand, and the time since when any demand is known.
    double expected_rate = 0;
    TimePoint demand_known_since;
    /// When the pool was last compared with its target.
    TimePoint checked_at;

    Tokens InUse() const { return this->spent + this->reserved; }
    Tokens Ceiling() const {
      return std::max(this->grant_ceiling, this->heartbeat_ceiling);
    }
  };

  /// Total that may be in use at `now`, by the ceiling and by the time since
  /// the last answered heartbeat.
  Tokens ReleasedTotalAt(TimePoint now, const Pool& pool) const;
  static Tokens LimitOf(const Pool& pool, const FleetAccount& account);
  /// Largest total that the account leaves to this holder: the budget without
  /// the grants of all others.
  static Tokens MaxTotal(const Pool& pool, const FleetAccount& account);
  static void ClearUnmetAmountIfCovered(Pool& pool);
  Tokens NextCeiling(const Pool& pool, Tokens total) const;
  Tokens CeilingReserve(const Pool& pool) const;
  Pool& PoolOf(const std::string& organisation);
  static double UnspentFraction(const Pool& pool);
  /// Returns true if every gateway may hold a pool of this organisation, even
  /// without requests of it.
  bool IsSpreadOverFleet(const Pool& pool) const;
  /// Updates the expected rate of the pool; returns the demand of the whole
  /// fleet in tokens per second.
  double UpdateExpectedRate(TimePoint now, Pool& pool) const;
  /// Tokens of the budget that this gateway holds while no demand is known.
  double InitialShare(TimePoint now, const Pool& pool) const;
  /// Returns true if the pool is held through pauses between requests, since
  /// the budget is spread over the fleet or the traffic is not sparse.
  bool HasSteadyPool(const Pool& pool) const;
  /// Time in which the fleet's demand uses up the ungranted tokens.
  static Duration TimeToExhaustion(const Pool& pool,
                                   const FleetAccount& account);
  /// Age of the last read account above which it is read again because other
  /// gateways may need this one's unused tokens.
  Duration AccountRefreshInterval(const Pool& pool) const;
  /// Tokens that the demand calls for at a gateway with sparse traffic.
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
  TimePoint heartbeat_written_at;
  TimePoint heartbeat_started_at;
  bool closed = false;
};

}  // namespace fuchsiadrum::budget

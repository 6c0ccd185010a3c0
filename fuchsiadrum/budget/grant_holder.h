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

/// Options of a holder.
struct GrantHolderOptions {
  /// Demand that a full pool covers: it bounds what a crash strands, and how
  /// long a gateway serves without the store. Outages of the store of 4 to 9 s
  /// are ordinary.
  Duration horizon = std::chrono::seconds(12);
  ReleaseOptions release;
  /// Demand that the ceiling covers beyond what is in use: the time until the
  /// holder counts as cut off, and the age of its last sign of life.
  Duration ceiling_ahead = std::chrono::milliseconds(2400);
  /// Typical requests that it covers at least, in a pool that is kept for usual
  /// callers only: with few requests of an organisation the next one is to be
  /// served also right after the gateway was cut off. In a small fleet, where
  /// every gateway has a pool, the death of all would strand too much.
  double ceiling_requests = 1.5;
  /// Unspent part of a budget below which the ceiling's reserve shrinks in
  /// proportion, down to `least_ceiling_part` of it: what a crash strands would
  /// be missing at the end of the budget, a pause after a cut would not.
  double ample_part = 0.5;
  double least_ceiling_part = 0.33;
  /// Part of the tokens not granted to anyone that all pools together may
  /// take, each by its part of the demand. Keeps the end of a budget within
  /// everyone's reach.
  double pooled_share = 0.85;
  /// The same for a gateway that expects fewer than so many requests in the
  /// horizon: the next one is likely to come to another gateway, which must
  /// find tokens.
  double unsteady_share = 0.5;
  double steady_requests = 2.0;
  /// Such a gateway keeps tokens for its usual callers if it expects this many
  /// requests of them in the horizon, and the time over which that is judged.
  double usual_requests = 0.7;
  Duration usual_memory = std::chrono::seconds(20);
  /// A gateway with unused tokens looks at the account after this part of the
  /// time in which the fleet's demand takes what is free, between the two
  /// times: others may need them more.
  double refresh_part = 0.33;
  Duration scarce_refresh = std::chrono::milliseconds(1500);
  Duration spread_refresh = std::chrono::seconds(15);
  /// Time of own demand that weighs as much as the fleet's average demand: a
  /// gateway sees few requests of a small organisation, but any gateway may get
  /// the next ones.
  Duration fleet_weight = std::chrono::seconds(4);
  /// Part of a budget that a typical request at each gateway may take together.
  /// Above it, or above this many grants of the whole fleet, a gateway holds no
  /// tokens of an organisation that it has seen no request of: it fetches them
  /// for the request at hand.
  double most_spread_part = 0.5;
  /// Tokens of a typical request before any was seen.
  double assumed_request = 4000;
  size_t most_spread_grants = 4000;
  /// Standard deviations of the demand that a pool covers beyond the horizon.
  double deviations = 2.0;
  /// Part of a budget that all pools share before any demand is known, so that
  /// the first requests need not wait and the store may fail at once.
  double initial_part = 0.4;
  /// Weight of one request in the size of a typical request.
  double typical_weight = 0.05;
  /// Largest recent requests that a full pool covers at least: with few
  /// requests the demand says little of the next one.
  double largest_requests = 2.0;
  /// Least part of what the pools may take that one pool may take.
  double least_part = 0.02;
  /// Time constants of the measured demand and of the largest recent request.
  Duration demand_memory = std::chrono::seconds(15);
  Duration largest_memory = std::chrono::seconds(20);
  /// A pool is filled up when it falls below this part of its target.
  double low_water = 0.8;
  /// A pool above its target by this factor gives the rest back; the second
  /// factor holds while the free tokens last for longer than `ample_time`.
  double high_water = 1.5;
  double ample_high_water = 4.0;
  Duration ample_time = std::chrono::seconds(20);
  /// Interval at which a pool is compared with its target while no request asks
  /// for that.
  Duration look_interval = std::chrono::milliseconds(500);
  /// Age of a seen account above which it may have changed for a request that
  /// it would refuse.
  Duration account_fresh = std::chrono::milliseconds(800);
  /// Part of the budget left ungranted below which the recorded spend is kept
  /// fresh, and the interval at which it is.
  double refresh_below = 0.15;
  Duration refresh_interval = std::chrono::seconds(3);
};

/// A grant to be written, and the account as it leaves it.
struct GrantUpdate {
  std::string organisation;
  RecordedGrant grant;
  FleetAccount account;
};

/// Total up to which a holder uses one organisation's grant while it reaches
/// the store.
struct HeldCeiling {
  std::string organisation;
  Tokens ceiling;
};

/// Result of a reservation.
enum class ReserveResult {
  kReserved,
  /// The pool is empty; a grant is being asked for.
  kNotYet,
  /// All tokens are granted, some of them to other holders that have not spent
  /// them as far as is known.
  kHeldElsewhere,
  /// The rest of the budget does not cover the amount.
  kExhausted,
};

/// One gateway's share of the prepaid budgets.
///
/// Safety: each change of a grant is written together with the organisation's
/// account, on condition that the account is still the one that the change was
/// planned on. So the account is at each position of its partition the sum of
/// all recorded grants, and no write raises it above the budget. The holder
/// spends only below its recorded total: a higher one counts when its write is
/// known to be done, a lower one before it is written. No clock and no belief
/// about other gateways is in the argument. A grant of a dead holder stays
/// counted, but for what lies above its ceiling, if budget::MayReclaim allows
/// that.
class GrantHolder {
 public:
  explicit GrantHolder(const GrantHolderOptions& holder_options);

  /// Gateways among which demand is spread; until this is known, only own
  /// demand counts.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// The organisation's budget by the configuration of that version; empty: not
  /// limited.
  void SetLimit(const std::string& organisation, std::optional<Tokens> limit,
                uint64_t version);

  /// A request asks for this much, whether it is granted or not. Call once for
  /// each request.
  void OnRequest(TimePoint now, const std::string& organisation, Tokens amount);
  /// Takes the amount from the pool.
  ReserveResult Reserve(TimePoint now, const std::string& organisation,
                        Tokens amount);
  /// Ends a reservation of `amount`, of which `spent` were used.
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);

  /// True if the organisation's account should be read or changed now.
  bool IsDue(TimePoint now, const std::string& organisation);
  /// True if a request waits for the account.
  bool IsWanting(const std::string& organisation) const;
  /// The change to write, planned on this account; nullopt: none. Until its
  /// outcome is known, no other change may be planned.
  std::optional<GrantUpdate> PlanWrite(TimePoint now,
                                       const std::string& organisation,
                                       const FleetAccount& account);
  /// The planned change is in the store.
  void OnWritten(TimePoint now, const std::string& organisation);
  /// The planned change is not in the store and never will be.
  void OnRefused(const std::string& organisation);
  /// Whether the planned change is in the store cannot be found out: the lower
  /// total counts, so that at worst tokens stay out of use.
  void OnUnknown(const std::string& organisation);

  /// The ceilings to show in the next sign of life, for all organisations of
  /// which there is something to give back after a crash.
  std::vector<HeldCeiling> PlanSign(TimePoint now);
  /// That sign's write begins, and is answered.
  void OnSignBegun(TimePoint now) { this->sign_begun_at = now; }
  void OnSigned(TimePoint now);
  /// True if a reservation waits for a higher ceiling.
  bool IsSignUrgent() const;

  /// Gives all unused tokens back; no reservation succeeds from now on.
  void Close() { this->closed = true; }

  /// How the grants of this holder, and of the fleet, come into use.
  const ReleaseOptions& Release() const { return this->options.release; }
  /// Tokens that can be reserved at once.
  Tokens Available(TimePoint now, const std::string& organisation) const;

 private:
  struct Pool {
    std::optional<Tokens> limit;
    uint64_t limit_version = 0;
    /// The account as last seen; at us 0: not seen yet.
    FleetAccount account;
    TimePoint account_at;
    /// The own record in the store, and the one that is being written.
    RecordedGrant recorded;
    RecordedGrant asked;
    FleetAccount account_asked;
    bool in_flight = false;
    TimePoint recorded_at;
    /// Total that may be spent.
    Tokens usable;
    /// Ceiling in the own record, and in the own sign of life; the higher one
    /// counts. `sign_asked` is in the sign that is being written.
    Tokens grant_ceiling;
    Tokens sign_ceiling;
    Tokens sign_asked;
    Tokens spent;
    Tokens reserved;
    /// Largest amount that found the pool empty since the last grant.
    Tokens wanted;
    DemandMeter demand;
    /// The same over a longer time.
    DemandMeter usual_demand;
    /// Tokens per second that are expected here, from own and the fleet's
    /// demand; and since when any demand is known.
    double expected_rate = 0;
    TimePoint demanded_since;
    /// Last time at which a change was looked for without need.
    TimePoint looked_at;

    Tokens InUse() const { return this->spent + this->reserved; }
    Tokens Ceiling() const {
      return std::max(this->grant_ceiling, this->sign_ceiling);
    }
  };

  Tokens Bound(TimePoint now, const Pool& pool) const;
  static Tokens LimitOf(const Pool& pool, const FleetAccount& account);
  static Tokens FreeFor(const Pool& pool, const FleetAccount& account);
  static void ForgetWantIfMet(Pool& pool);
  Tokens NextCeiling(const Pool& pool, Tokens total) const;
  Tokens CeilingReserve(const Pool& pool) const;
  Pool& PoolOf(const std::string& organisation);
  static double UnspentPart(const Pool& pool);
  /// True if each gateway may keep a pool for this organisation, whether it has
  /// requests of it or not.
  bool SpreadsPool(const Pool& pool) const;
  /// Updates the expected rate; returns the demand of the whole fleet.
  double ExpectRate(TimePoint now, Pool& pool) const;
  /// Tokens of the budget that this gateway takes while no demand is known.
  double InitialShare(TimePoint now, const Pool& pool) const;
  /// True if a pool is kept although no request may come for some seconds.
  bool IsKept(const Pool& pool) const;
  /// Time in which the fleet's demand takes what is free.
  static Duration TimeLeft(const Pool& pool, const FleetAccount& account);
  /// Age of the seen account above which it is read again for the tokens that
  /// this gateway does not use.
  Duration RefreshTime(const Pool& pool) const;
  /// Tokens that a gateway with few requests keeps.
  double UnsteadyDemand(const Pool& pool) const;
  Tokens Target(TimePoint now, Pool& pool, const FleetAccount& account) const;
  std::optional<Tokens> NextTotal(TimePoint now, Pool& pool,
                                  const FleetAccount& account) const;
  bool IsSpendStale(TimePoint now, const Pool& pool,
                    const FleetAccount& account) const;

  GrantHolderOptions options;
  std::map<std::string, Pool> pools;
  size_t fleet_size = 0;
  /// Size of a typical request of any organisation; 0: not known.
  double typical_request = 0;
  TimePoint signed_at;
  TimePoint sign_begun_at;
  bool closed = false;
};

}  // namespace fuchsiadrum::budget

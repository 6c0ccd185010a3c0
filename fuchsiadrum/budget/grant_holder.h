#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/demand_meter.h"
#include "fuchsiadrum/budget/grant_table.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Options of a holder.
struct GrantHolderOptions {
  /// Name and incarnation of the gateway.
  std::string holder;
  uint64_t seed = 1;
  /// Demand that a full pool covers: it bounds what a crash strands, and how
  /// long a gateway serves without the store. Outages of the store of 4 to 9 s
  /// are ordinary.
  Duration horizon = std::chrono::seconds(12);
  ReleaseOptions release;
  /// Demand that the ceiling covers beyond what is in use: the time until the
  /// holder counts as cut off, and the age of its last write.
  Duration ceiling_ahead = std::chrono::milliseconds(2400);
  /// Unspent part of a budget below which the ceiling's reserve shrinks in
  /// proportion, down to `least_ceiling_part` of it: what a crash strands would
  /// be missing at the end of the budget, a pause after a cut would not.
  double ample_part = 0.5;
  double least_ceiling_part = 0.33;
  /// Part of the ceiling's reserve below which the ceiling is raised.
  double ceiling_low_water = 0.7;
  /// Part of the tokens not granted to anyone that all pools together may
  /// take, each by its part of the demand. Keeps the end of a budget within
  /// everyone's reach.
  double pooled_share = 0.85;
  /// Time of own demand that weighs as much as the fleet's average demand: a
  /// gateway sees few requests of a small organisation, but any gateway may get
  /// the next ones.
  Duration fleet_weight = std::chrono::seconds(4);
  /// Grants of the whole fleet up to which each gateway keeps pools for
  /// organisations that it has seen no request of. The stream takes some
  /// hundred appends a second, and every gateway reads all records.
  size_t most_spread_grants = 20000;
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
  Duration demand_memory = std::chrono::seconds(6);
  Duration largest_memory = std::chrono::seconds(20);
  /// A pool is filled up when it falls below this part of its target.
  double low_water = 0.8;
  /// A pool above its target by this factor gives the rest back.
  double high_water = 1.5;
  /// Pause after a grant that went beyond the budget: another holder asked at
  /// the same time. Drawn up to this, so that the two do not meet again.
  Duration collision_pause = std::chrono::milliseconds(200);
  /// Part of the budget left ungranted below which the recorded spend is kept
  /// fresh, and the interval at which it is.
  double refresh_below = 0.15;
  Duration refresh_interval = std::chrono::seconds(1);
};

/// A grant to be written to the stream.
struct GrantUpdate {
  std::string organisation;
  RecordedGrant grant;
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
/// Safety: the holder spends only below a total that it has read back from the
/// stream at a position where the recorded totals of all holders did not exceed
/// the budget, and it records a lower total only after it has stopped using the
/// difference. So at each position of the stream the usable totals are at most
/// the recorded ones, and those were within the budget whenever one rose. No
/// clock and no belief about other gateways is in the argument. A grant of a
/// dead holder stays counted, but for what lies above its ceiling, if
/// budget::MayReclaim allows that.
class GrantHolder {
 public:
  GrantHolder(const GrantHolderOptions& holder_options,
              const GrantTable& grant_table);

  /// Gateways among which demand is spread; until this is known, only own
  /// demand counts.
  void SetFleetSize(size_t size) { this->fleet_size = size; }

  /// The organisation's budget; empty: not limited.
  void SetLimit(const std::string& organisation, std::optional<Tokens> limit);

  /// A request asks for this much, whether it is granted or not. Call once for
  /// each request.
  void OnRequest(TimePoint now, const std::string& organisation, Tokens amount);
  /// Takes the amount from the pool.
  ReserveResult Reserve(TimePoint now, const std::string& organisation,
                        Tokens amount);
  /// Ends a reservation of `amount`, of which `spent` were used.
  void Settle(const std::string& organisation, Tokens amount, Tokens spent);

  /// What to write now; empty: nothing, or a write is under way. The same
  /// updates must be written until an outcome is known.
  std::vector<GrantUpdate> PlanWrite(TimePoint now);
  /// A write begins, with or without updates. What the holder hears of the
  /// store before does not count as the answer.
  void OnWriteBegun(TimePoint now) { this->write_begun_at = now; }
  /// The last planned write is in the stream, and the answer says so.
  void OnWritten(TimePoint now);
  /// The last planned write is known not to be in the stream and never will be.
  void OnRefused();
  /// The table has just taken over the own record of this organisation.
  void OnOwnRecord(TimePoint now, const std::string& organisation,
                   bool consistent);
  /// The table has become consistent after a restart of its reading.
  void OnConsistent(TimePoint now);
  /// Gives all unused tokens back; no reservation succeeds from now on.
  void Close() { this->closed = true; }

  /// How the grants of this holder, and of the fleet, come into use.
  const ReleaseOptions& Release() const { return this->options.release; }
  /// True if a reservation waits for a grant.
  bool IsWanting() const;
  /// Tokens that can be reserved at once.
  Tokens Available(TimePoint now, const std::string& organisation) const;
  /// The organisation's budget; zero: unknown or not limited.
  Tokens LimitOf(const std::string& organisation) const;

 private:
  struct Pool {
    std::optional<Tokens> limit;
    /// Total that may be spent, total last recorded or asked for.
    Tokens usable;
    Tokens asked;
    /// Ceiling that is recorded, and that of the last write.
    Tokens ceiling;
    Tokens ceiling_asked;
    /// Part of the budget that nobody is known to have spent.
    double unspent_part = 1;
    Tokens spent;
    Tokens reserved;
    /// Largest amount that found the pool empty since the last grant.
    Tokens wanted;
    DemandMeter demand;
    /// Tokens per second that are expected here, from own and the fleet's
    /// demand; and since when any demand is known.
    double expected_rate = 0;
    TimePoint demanded_since;
    TimePoint pause_until;
    TimePoint recorded_at;
    Tokens recorded_spent;
    /// The asked total is not yet read back.
    bool pending = false;
  };

  Tokens Bound(TimePoint now, const Pool& pool) const;
  void ForgetWantIfMet(Pool& pool);
  Tokens NextCeiling(const Pool& pool, Tokens total) const;
  bool IsCeilingDue(const Pool& pool) const;
  Tokens CeilingReserve(const Pool& pool) const;
  Pool& PoolOf(const std::string& organisation);
  static double UnspentPart(const Pool& pool, const GrantTable::Sums& sums);
  Tokens InUse(const Pool& pool) const { return pool.spent + pool.reserved; }
  /// True if each gateway may keep a pool for every organisation.
  bool SpreadsPools() const;
  /// Updates the expected rate; returns the demand of the whole fleet.
  double ExpectRate(TimePoint now, const std::string& name, Pool& pool) const;
  /// Tokens of the budget that this gateway takes while no demand is known.
  double InitialShare(TimePoint now, const Pool& pool) const;
  Tokens Target(TimePoint now, const std::string& name, Pool& pool,
                const GrantTable::Sums& sums) const;
  std::optional<Tokens> NextTotal(TimePoint now, const std::string& name,
                                  Pool& pool, const GrantTable::Sums& sums);
  bool IsSpendStale(TimePoint now, const Pool& pool,
                    const GrantTable::Sums& sums) const;
  void Judge(TimePoint now, const std::string& name, Pool& pool);

  GrantHolderOptions options;
  const GrantTable& table;
  Rng rng;
  std::map<std::string, Pool> pools;
  std::vector<GrantUpdate> in_flight;
  size_t fleet_size = 0;
  /// Size of a typical request of any organisation; 0: not known.
  double typical_request = 0;
  TimePoint answered_at;
  TimePoint write_begun_at;
  bool closed = false;
};

}  // namespace fuchsiadrum::budget

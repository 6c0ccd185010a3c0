#pragma once

#include <cstddef>

#include "fuchsiadrum/budget/grant_mutation.h"
#include "fuchsiadrum/budget/reclaim.h"
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
  /// A burst (see `burst_time_constant`) is covered for this time: until a
  /// heartbeat that a full link delays is recorded.
  Duration burst_ceiling_horizon = std::chrono::milliseconds(1500);
  /// Minimum number of typical requests that the headroom covers; it also
  /// covers the largest recent request. With few requests the expected demand
  /// is low, yet the next request should be served without a heartbeat before
  /// it, and also right after the gateway lost the store.
  double min_ceiling_requests = 1.5;
  /// Maximum fraction of the unspent tokens of a budget spread over the fleet
  /// that such minimum headrooms of all gateways take together, each according
  /// to its fraction of the demand: a crash of all gateways would strand them.
  double max_min_headroom_fraction = 0.2;
  /// Minimum fraction of a pool that the headroom covers, for requests in the
  /// first seconds without the store. All pools together hold about half of
  /// what is unspent, so that crashes of all gateways strand a fifth of it at
  /// most.
  double min_headroom_of_pool = 0.4;
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
  /// `initial_duration` after demand is first seen.
  double initial_fraction = 0.4;
  Duration initial_duration = std::chrono::seconds(15);
  /// Weight of one request in the moving average that gives the size of a
  /// typical request.
  double typical_request_weight = 0.05;
  /// A full pool covers at least this many requests of the largest recent size.
  /// With few requests the demand says little about the next one.
  double min_largest_requests = 2.0;
  /// Minimum fraction of the tokens available to all pools (see
  /// `max_pooled_fraction`) that a single pool may take, if the budget is not
  /// spread over the fleet.
  double min_pool_fraction = 0.02;
  /// A pool for fewer typical requests than this holds nothing: such a piece is
  /// of no use, whereas ungranted tokens are fetched when a request comes.
  double min_pool_requests = 1.0;
  /// A crowd of callers that moves to this gateway uses up a pool in less time
  /// than the demand takes to become known. A pool also covers the demand of
  /// the last second, measured with this time constant, for `burst_horizon`.
  /// Crowds stay for 2 to 3 s.
  Duration burst_time_constant = std::chrono::seconds(1);
  Duration burst_horizon = std::chrono::seconds(3);
  /// Requests within `urgent_burst_time` that make a burst.
  double min_burst_requests = 3;
  /// A pool that a burst uses up within this time is refilled like one that a
  /// request waits for: on a full link a grant takes about as long.
  Duration urgent_burst_time = std::chrono::milliseconds(600);
  /// Time constants for the decay of the measured demand and of the largest
  /// recent request.
  Duration demand_time_constant = std::chrono::seconds(15);
  Duration largest_request_time_constant = std::chrono::seconds(20);
  /// The target of a pool is the number of unused tokens that it should hold. A
  /// pool is refilled to the target when it falls below this fraction of it.
  double low_water = 0.8;
  /// Calls per second to one account that no request waits for, over all
  /// gateways (WritePace). An append needs 2 ms in the store and is made on an
  /// account that was read up to 100 ms before; at 8 appends per second about
  /// half of those succeed at once even on the slowest VMs.
  double paced_calls_per_s = 8;
  /// Minimum size of a refill that no request waits for, in typical requests.
  double min_refill_requests = 0.5;
  /// A pool without a target is returned after this fraction of the paced
  /// interval.
  double idle_return_factor = 0.25;
  /// A pool below this fraction of its target is refilled at any pace.
  double urgent_low_water = 0.35;
  /// A gateway calls for tokens if it cannot get those that its waiting
  /// requests or the expected demand of this time need.
  Duration call_horizon = std::chrono::seconds(2);
  /// A gateway keeps a spare request if one is expected within this time.
  Duration spare_request_time = std::chrono::seconds(30);
  /// A gateway that hears a call keeps the expected demand of this time, and a
  /// request more. It is longer than a call takes to be answered.
  Duration return_horizon = std::chrono::seconds(5);
  /// Time for which a call is in force: no pool is filled beyond what it keeps.
  Duration call_duration = std::chrono::seconds(4);
  /// Minimum interval between two calls for tokens of an organisation, those of
  /// other gateways included.
  Duration call_interval = std::chrono::seconds(1);
  /// Tokens that the answers to a call return in expectation, as a multiple of
  /// the tokens called for, and the minimum number of answers in expectation.
  double answers_per_call = 4;
  double min_answers = 4;
  /// Time after which a request that the ungranted tokens did not cover may
  /// cause another read of the account.
  Duration short_retry_interval = std::chrono::milliseconds(100);
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
  /// A rule that a test breaks.
  GrantMutation mutation = GrantMutation::kNone;
};

}  // namespace fuchsiadrum::budget

#pragma once

#include <cstdint>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// Weights of a deployment: how much may be stranded by a failure against how
/// many requests a partition may refuse.
struct GrantSizerOptions {
  /// Seconds of spend in a fine step, besides reservations in flight.
  double fine_seconds = 1.0;
  /// Seconds of spend in a coarse step: the longest partition that a zone is
  /// to serve through, times the growth of demand that it is to bear.
  double coarse_seconds = 3600 * 1.9;
  /// Fixed fine step; 0: by demand.
  Tokens fine_step;
  /// Fixed coarse step; 0: by demand.
  Tokens coarse_step;
  /// Time constant of the estimate behind fine steps.
  Duration fast = std::chrono::seconds(10);
  /// Time constant of the estimate behind coarse steps and grants. Longer than
  /// bursts, shorter than the change between day and night.
  Duration slow = std::chrono::seconds(1800);

  /// coral-andina: a refused draft is a lost sale, steps are generous.
  static GrantSizerOptions CoralAndina();
  /// darilni-zreb: tight budgets, a failure is to strand little.
  static GrantSizerOptions DarilniZreb();
};

/// Estimates one organisation's demand at one daemon and derives the sizes of
/// its grants and steps.
class GrantSizer {
 public:
  explicit GrantSizer(const GrantSizerOptions& options) : options(options) {}

  /// A reservation with this worst case was asked for.
  void OnReserve(Tokens worst_case) {
    if (worst_case > this->largest) this->largest = worst_case;
  }
  /// Tokens were used.
  void OnSpend(Tokens used) { this->window += used; }
  /// Brings the estimates up to `now`. `in_flight` is what is reserved,
  /// awaits its confirmation or waits for tokens.
  void OnTick(TimePoint now, Tokens in_flight);

  /// What the fold has billed to the organisation, over all daemons.
  void OnBilled(TimePoint now, Tokens billed);

  /// Estimated spend, tokens/s, over the last half hour.
  double Rate() const { return this->slow_rate; }
  /// What a ceiling may stand above the use under it, besides reservations:
  /// the fine witness's part. About a second of spend and two reservations.
  Tokens FineMargin() const;
  /// The coarse witness's part; twice as much once a partition shows.
  Tokens CoarseMargin(bool degraded) const;
  /// Largest recent distance between a fine ceiling and the confirmed spend:
  /// what a killed daemon strands at most.
  Tokens FineStep() const { return this->FineMargin() + this->peak; }
  /// The same for the coarse ceiling and a lost zone.
  Tokens CoarseStep() const { return this->CoarseMargin(true) + this->peak; }
  /// What this daemon wants to hold of a budget with `left` tokens shared by
  /// `daemons` daemons; shrinks as the budget ends.
  Tokens Want(Tokens left, int daemons) const;

 private:
  const GrantSizerOptions& options;
  double fast_rate = 0;
  double slow_rate = 0;
  double age_s = 0;
  TimePoint updated;
  bool started = false;
  double fleet_rate = 0;
  double fleet_age_s = 0;
  TimePoint fleet_updated;
  Tokens fleet_billed;
  bool fleet_known = false;
  Tokens window;
  Tokens largest;
  Tokens peak;
};

}  // namespace fuchsiadrum::budget

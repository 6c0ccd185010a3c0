#pragma once

#include "fuchsiadrum/budget/grant_sizer.h"
#include "fuchsiadrum/budget/mutation.h"

namespace fuchsiadrum::budget {

/// Options of an EscrowAgent.
struct EscrowAgentOptions {
  /// Sizes of grants and steps.
  GrantSizerOptions sizes = GrantSizerOptions::CoralAndina();
  /// Silence after which a witness seals a holder's grants.
  Duration seal_after = std::chrono::seconds(15);
  /// Silence after which the coarse witness seals although the fine witness
  /// seems alive. Longer than seal_after, so that the lower ceiling of the fine
  /// witness is the one that counts when only the holder died.
  Duration coarse_seal_after = std::chrono::seconds(24);
  /// Silence of a holder after which a sealed grant is written off. Longer than
  /// the partitions that a zone is to serve through.
  Duration write_off_after = std::chrono::hours(2);
  /// Silence after which a witness is replaced.
  Duration suspect_after = std::chrono::seconds(3);
  /// A raise that the fine witness leaves unanswered for so long makes the
  /// holder replace it. Shorter than the wait of a request.
  Duration fine_answer_limit = std::chrono::milliseconds(500);
  /// The same for the coarse witness, whose ceiling is far away.
  Duration coarse_answer_limit = std::chrono::seconds(3);
  /// Time between two sendings of an unanswered raise or transfer.
  Duration resend_after = std::chrono::milliseconds(200);
  /// Time between two settlements of a grant.
  Duration settle_every = std::chrono::seconds(15);
  /// A request that waits so long for a grant asks peers for a share, too.
  Duration ask_after = std::chrono::milliseconds(150);
  /// How long a planned stop waits for holders to replace it as a witness.
  Duration witness_drain_limit = std::chrono::seconds(5);
  /// A rule to break; for the bench only.
  Mutation mutation = Mutation::kNone;
};

}  // namespace fuchsiadrum::budget

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "schema/catalogue.pb.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::request {

/// A call for which a caller's request asks a claim.
struct Call {
  /// X-Request-Id, unique in the fleet; one Ask for each.
  std::string request_id;
  std::string organisation;
  /// Idempotency key; empty: none was sent.
  std::string key;
  bool idempotent = false;
  /// Digest of the body; empty: not checked.
  std::string body_digest;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
};

/// What a request may do.
enum class ClaimOutcome {
  kRun,         // dispatch it
  kInProgress,  // another request of the same key runs
  kDone,        // finished before; `stored` tells how
  kUnknown,     // it may have run before and will not run again
  kRefused,     // not run: no claim can be had now
  kKeyReused,   // not run: the key was used with another body
  kKeyMissing,  // not run: a non-idempotent call needs a key
};

/// Name of an outcome, for log lines and JSON.
std::string_view ClaimOutcomeName(ClaimOutcome outcome);

/// Decision on one request.
struct Decision {
  std::string request_id;
  ClaimOutcome outcome = ClaimOutcome::kRefused;
  /// kRun: false if it runs without a claim, because it is idempotent and its
  /// home is out of reach or it has no key.
  bool claimed = false;
  /// kDone: the first completion. `body_gone` is set when its body was evicted.
  std::optional<pb::StoredAnswer> stored;
  /// Why there is no claim; empty for kRun and kDone.
  Reason reason;
};

/// How a request that was told to run ended.
struct Completion {
  /// False: certainly no byte of it reached an upstream.
  bool ran = false;
  /// False: it may have run; nobody knows how it ended.
  bool outcome_known = false;
  /// Answer for later requests of the same key.
  pb::StoredAnswer stored;
};

/// Whether a finished request is billed.
struct Billing {
  std::string request_id;
  bool billed_here = false;
  /// The request did not run, and its home confirmed that no other request of
  /// its key ran either. False for a request without a key.
  bool released = false;
};

/// Options of a claim agent.
struct ClaimAgentOptions {
  /// Longest wait of a non-idempotent call for its claim.
  Duration claim_timeout = std::chrono::seconds(2);
  /// Longest wait of an idempotent call; then it runs without a claim.
  Duration idempotent_timeout = std::chrono::milliseconds(250);
  /// Time after which an unanswered message is sent again.
  Duration resend_after = std::chrono::milliseconds(100);
  /// Longest wait between repetitions of a completion.
  Duration max_backoff = std::chrono::seconds(5);
  /// Silence of a home after which idempotent calls do not wait for it.
  Duration out_of_reach_after = std::chrono::seconds(2);

  /// Silence of a home after which its witness takes over.
  Duration take_over_after = std::chrono::seconds(5);
  /// Silence of a witness after which the home replaces it.
  Duration replace_after = std::chrono::seconds(3);
  /// Silence of home and witness after which the term is reset. A reset makes
  /// callers' own keys unknown until an operator reopens the shard, so a
  /// partition should end before. Known deaths (a newer incarnation of the VM)
  /// do not wait.
  Duration reset_after = std::chrono::seconds(60);
  /// The same for a daemon that hears at most half of the homes and witnesses:
  /// it is probably the one that is cut off.
  Duration minority_reset_after = std::chrono::hours(2);
  /// A longer gap between two ticks means that this daemon was paused; its view
  /// of the peers is out of date for `assign_after`.
  Duration paused_after = std::chrono::seconds(1);
  /// Time after the start or a pause before anything is concluded from the
  /// silence of peers.
  Duration assign_after = std::chrono::seconds(2);
  /// Time after which a record that was not read back is proposed again.
  Duration propose_again_after = std::chrono::seconds(10);
  /// Interval between rebalancing steps of one daemon.
  Duration rebalance_every = std::chrono::seconds(5);
  /// Place the witness in the home's zone: a cut-off zone then keeps running
  /// non-idempotent calls, and the loss of a zone loses its intents.
  bool witness_in_home_zone = false;

  /// Silence of an entry after which its intents are unknown.
  Duration entry_lost_after = std::chrono::seconds(15);
  /// Age at which an intent without an outcome is unknown in any case.
  Duration intent_limit = std::chrono::minutes(30);

  /// Keys remembered by this daemon as home. A record takes about 0.8 KB here
  /// and at the witness, so this is about 100 MB for both roles.
  size_t max_keys = 60000;
  /// A finished key is forgotten only when the memory is full and it is at
  /// least this old. With max_keys this allows 100 keyed calls/s.
  Duration key_lifetime = std::chrono::minutes(10);
  /// Bytes of stored answers; the oldest bodies are dropped first.
  size_t max_answer_bytes = size_t{64} << 20U;
  /// Larger bodies are kept by the home only, not by the witness.
  size_t small_answer_bytes = 4096;
  /// Stores that may be unacknowledged for each shard; above it no claim is
  /// given.
  size_t max_unacked = 512;
  /// Completions that wait for their home's acknowledgement.
  size_t max_completions = 20000;
  /// Abandoned asks that are remembered, to release late claims.
  size_t max_abandoned = 20000;
};

}  // namespace fuchsiadrum::request

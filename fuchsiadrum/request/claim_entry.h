#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/claim_types.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::request {

/// The entry role of one daemon: asks homes for claims and reports how the
/// requests ended, until the home acknowledges.
class ClaimEntry {
 public:
  ClaimEntry(const ShardTable& table, const PeerView& peers,
             const ClaimAgentOptions& options)
      : table(table), peers(peers), options(options) {}

  /// Asks for a claim; the decision comes through TakeDecisions.
  void Ask(TimePoint now, const Call& call, Outbox& out);
  /// A request that was told to run is over, or was not sent after all.
  void Done(TimePoint now, const std::string& request_id,
            const Completion& completion, Outbox& out);
  /// The caller of a request that still waits for its claim has gone.
  void Abandon(TimePoint now, const std::string& request_id, Outbox& out);

  void OnReply(TimePoint now, const pb::ClaimReply& reply, Outbox& out);
  void OnDoneAck(const pb::ClaimDoneAck& ack);
  void OnTick(TimePoint now, Outbox& out);
  /// The home of a shard changed: repeats everything that waits for it.
  void OnShardChanged(TimePoint now, uint32_t shard, Outbox& out);

  std::vector<Decision> TakeDecisions();
  /// The decision on one request, if it was made; others are kept.
  std::optional<Decision> TakeDecision(const std::string& request_id);
  std::vector<Billing> TakeBillings();
  /// True when no request waits, runs or has an unacknowledged completion.
  bool IsIdle() const {
    return this->waiting.empty() && this->running.empty() &&
           this->completions.empty();
  }
  /// Completions without an acknowledgement.
  size_t Completions() const { return this->completions.size(); }

 private:
  struct Asked {
    Call call;
    uint32_t shard = 0;
    uint32_t attempt = 0;
    TimePoint since;
    TimePoint last_sent;
  };
  struct Unacknowledged {
    pb::ClaimDone done;
    TimePoint due;
    /// Wait before the next repetition; it doubles.
    Duration backoff = Duration::zero();
  };

  void Decide(const Call& call, ClaimOutcome outcome, const char* text);
  void RunUnclaimed(const Asked& asked);
  void GiveUp(TimePoint now, const Asked& asked, Outbox& out);
  void ReleaseLate(TimePoint now, const pb::ClaimReply& reply, Outbox& out);
  void Expire(TimePoint now, Outbox& out);
  void SendAsk(TimePoint now, Asked& asked, Outbox& out);
  void SendDone(TimePoint now, Unacknowledged& entry, Outbox& out);
  void SendDue(TimePoint now, Outbox& out);
  void Schedule(Unacknowledged& entry, TimePoint at);
  void Post(TimePoint now, pb::ClaimDone done, Outbox& out);
  void RememberAbandoned(const Asked& asked);
  pb::ClaimDone DoneOf(const Asked& asked) const;

  const ShardTable& table;
  const PeerView& peers;
  const ClaimAgentOptions& options;
  uint32_t next_attempt = 1;
  /// By request id; ordered, because the order of messages is observable.
  std::map<std::string, Asked> waiting;
  std::map<std::string, Asked> running;
  std::map<std::string, Unacknowledged> completions;
  /// Completions by when they are sent again.
  std::set<std::pair<TimePoint, std::string>> due;
  /// Asks that were given up: a late claim for one of them is released.
  std::map<std::string, Asked> abandoned;
  std::deque<std::string> abandoned_order;
  std::vector<Decision> decisions;
  std::vector<Billing> billings;
};

}  // namespace fuchsiadrum::request

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/claim_entry.h"
#include "fuchsiadrum/request/claim_home.h"
#include "fuchsiadrum/request/claim_types.h"
#include "fuchsiadrum/request/claim_witness.h"
#include "fuchsiadrum/request/shard_policy.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::request {

/// The claims of one daemon: entry of its callers' requests, home and witness
/// of shards. `table` and `peers` must outlive the agent, and each record must
/// have been folded into `table` before OnRecord.
class ClaimAgent : public Agent {
 public:
  ClaimAgent(const ShardTable& table, const PeerView& peers,
             ClaimAgentOptions options, Rng rng);

  /// Asks whether a request may run. nullopt: TakeDecisions tells later. The
  /// request may be dispatched only after kRun, and then Done must be called.
  std::optional<Decision> Ask(TimePoint now, const Call& call, Outbox& out);
  /// Decisions that were made since the last call. Take them after each call
  /// of this object. A kRun for a request that has gone meanwhile must be
  /// answered by Done with `ran` = false, or its key stays blocked.
  std::vector<Decision> TakeDecisions();
  /// A request with kRun has ended. `ran` = false only if no byte of it can
  /// have reached an upstream.
  void Done(TimePoint now, const std::string& request_id,
            const Completion& completion, Outbox& out);
  /// The caller of a request without a decision has gone.
  void Abandon(TimePoint now, const std::string& request_id, Outbox& out);
  /// Finished requests whose bill was decided since the last call; each
  /// request that was told to run appears once.
  std::vector<Billing> TakeBillings();
  /// A fresh idempotency key; nullopt while no shard has a home.
  std::optional<std::string> IssueKey();

  void OnRecord(TimePoint now, LogPosition at, const pb::Record& record,
                Verdict verdict, Outbox& out) override;
  void OnStateLoaded(TimePoint now, Outbox& out) override;
  void OnMessage(TimePoint now, const VmRef& from,
                 const pb::PeerMessage& message, Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  void BeginDrain(TimePoint now, Outbox& out) override;
  bool IsDrained() const override;

  /// Roles, for metrics.
  const ClaimHome& Home() const { return this->home; }
  const ClaimWitness& Witness() const { return this->witness; }
  const ClaimEntry& Entry() const { return this->entry; }

 private:
  void Reconcile(TimePoint now, uint32_t shard);
  void Handle(TimePoint now, const VmRef& from, const pb::PeerMessage& message);
  void Flush(TimePoint now, Outbox& out);
  bool IsViewSettled(TimePoint now);

  const ShardTable& table;
  const PeerView& peers;
  ClaimAgentOptions options;
  Rng rng;
  ClaimEntry entry;
  ClaimHome home;
  ClaimWitness witness;
  ShardPolicy policy;
  bool draining = false;
  std::optional<TimePoint> last_tick;
  /// Start, or end of the last pause, of this daemon.
  TimePoint awake_since;
  TimePoint announced;
  /// What the roles want; messages to this daemon itself are handled at once.
  Outbox local;
};

}  // namespace fuchsiadrum::request

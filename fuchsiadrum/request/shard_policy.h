#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/claim_home.h"
#include "fuchsiadrum/request/claim_types.h"
#include "fuchsiadrum/request/claim_witness.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::request {

/// Proposes homes and witnesses by rendezvous hashing over the daemons
/// believed alive. Every proposal is safe whatever this daemon believes: the
/// fold accepts only the first record for each term.
class ShardPolicy {
 public:
  ShardPolicy(const ShardTable& table, const PeerView& peers,
              const ClaimAgentOptions& options)
      : table(table), peers(peers), options(options) {}

  /// Proposes what the present view calls for.
  void OnTick(TimePoint now, const ClaimHome& home, ClaimWitness& witness,
              bool draining, Outbox& out);
  /// The daemon that should be home of a shard; itself included.
  VmInfo PreferredHome(uint32_t shard) const;
  /// The daemon that should be its witness; nullopt: nobody is left.
  std::optional<VmInfo> PreferredWitness(uint32_t shard, const VmInfo& home,
                                         const std::set<VmRef>& excluded) const;

 private:
  struct Proposal {
    LogPosition term;
    TimePoint at;
  };

  void TickAsHome(TimePoint now, uint32_t shard, const ClaimHome& home,
                  bool draining, Outbox& out);
  void TickAsWitness(TimePoint now, uint32_t shard, ClaimWitness& witness,
                     Outbox& out);
  void TickAsOther(TimePoint now, uint32_t shard, Outbox& out);
  bool MayReset(TimePoint now, Duration silent) const;
  void TryAssign(TimePoint now, uint32_t shard, Outbox& out);
  void Reset(TimePoint now, uint32_t shard, Outbox& out);
  void ReplaceWitness(TimePoint now, uint32_t shard, const VmRef& next,
                      Outbox& out);
  void HandOver(TimePoint now, uint32_t shard, bool draining, Outbox& out);
  void Rebalance(TimePoint now, uint32_t shard, Outbox& out);
  bool MayPropose(TimePoint now, uint32_t shard) const;
  void Note(TimePoint now, uint32_t shard);
  Duration SilentFor(TimePoint now, const VmRef& peer) const;
  std::optional<VmInfo> Find(const VmRef& ref) const;

  const ShardTable& table;
  const PeerView& peers;
  const ClaimAgentOptions& options;
  std::optional<TimePoint> started;
  TimePoint rebalanced;
  std::map<uint32_t, Proposal> proposals;
};

}  // namespace fuchsiadrum::request

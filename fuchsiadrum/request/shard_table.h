#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/fold_part.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::request {

/// Options of a shard table. They must be equal on all daemons: they decide
/// which home is asked about a key.
struct ShardTableOptions {
  /// Number of shards.
  uint32_t shards = 64;
  /// Availability zones of the fleet, in any order; empty: keys have no zone.
  std::vector<std::string> zones;
  /// Lost requests kept for operators; older ones are dropped and counted.
  size_t max_lost_requests = 10000;
};

/// Who answers for the keys of one shard.
struct Shard {
  /// Daemon that decides on claims; an empty VM: none yet.
  VmRef home;
  /// Daemon that holds a copy of the intents.
  VmRef witness;
  /// Position of the record that made the present home.
  LogPosition term;
  /// Position of the last accepted record that changed home or witness. Each
  /// record names it, so only the first of two racing records is accepted.
  LogPosition witness_term;
  /// The intents of an earlier term are lost and no operator reopened it.
  bool lost = false;
  /// Position of the last reset; keys issued before it are unknown.
  LogPosition lost_at;
  /// Witness term whose replica the present home continues; nullopt: the term
  /// began without intents.
  std::optional<LogPosition> base_term;

  bool HasHome() const { return !this->home.vm.empty(); }
};

/// Fold part: shard -> home, witness and terms; list of lost requests.
class ShardTable : public FoldPart {
 public:
  explicit ShardTable(ShardTableOptions options);

  Verdict Apply(LogPosition at, const VmRef& writer,
                const pb::Record& record) override;
  void Save(pb::Snapshot& snapshot) const override;
  bool Load(const pb::Snapshot& snapshot) override;
  uint64_t Digest() const override;

  /// Number of shards.
  uint32_t Size() const { return static_cast<uint32_t>(this->shards.size()); }
  /// State of one shard; `shard` < Size().
  const Shard& At(uint32_t shard) const { return this->shards[shard]; }
  /// Shard of a key. "ZONE.rest" maps to a shard of that zone, an issued key
  /// to the shard that it names.
  uint32_t ShardOf(std::string_view organisation, std::string_view key) const;
  /// Zone in which the home of a shard is meant to be; empty: any.
  std::string_view ZoneOf(uint32_t shard) const;

  /// Requests without a known outcome, oldest first.
  const std::deque<pb::LostRequest>& LostRequests() const {
    return this->lost_requests;
  }
  /// Number of lost requests ever listed.
  uint64_t LostTotal() const { return this->lost_total; }
  /// True if the call of this key is in the list.
  bool IsListed(const std::string& organisation,
                const std::string& key_digest) const {
    return this->listed.contains({organisation, key_digest});
  }

 private:
  Verdict Assign(LogPosition at, const pb::ShardAssign& record);
  Verdict ReplaceWitness(LogPosition at, const pb::ShardReplaceWitness& record);
  template <typename ChangeOfHome>
  Verdict ChangeHome(LogPosition at, const ChangeOfHome& record);
  Verdict Reset(LogPosition at, const pb::ShardReset& record);
  Verdict Reopen(const pb::ShardReopen& record);
  Verdict List(const pb::LostRequest& record);
  Shard* Current(uint32_t shard, const pb::Position& term);
  void Append(const pb::LostRequest& request);

  ShardTableOptions options;
  std::vector<Shard> shards;
  std::deque<pb::LostRequest> lost_requests;
  std::set<std::pair<std::string, std::string>> listed;
  uint64_t lost_total = 0;
};

/// Digest under which a lost request's key is listed; keys are not listed in
/// clear text.
std::string KeyDigest(std::string_view key);

}  // namespace fuchsiadrum::request

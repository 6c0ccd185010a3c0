#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/key_table.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::request {

/// The witness role of one daemon: replicas of the intents of shards. A
/// replica holds a prefix of the stream of stores of one witness term, and an
/// acknowledgement covers the whole prefix.
class ClaimWitness {
 public:
  /// `max_body_bytes` bounds the bodies of answers in all replicas; above it a
  /// new body is not kept.
  explicit ClaimWitness(size_t max_body_bytes)
      : max_body_bytes(max_body_bytes) {}

  /// Begins an empty replica, unless there is one of this term.
  void Start(uint32_t shard, LogPosition term, const VmRef& home);
  void Drop(uint32_t shard);

  /// A store of the home.
  void OnStore(TimePoint now, const VmRef& from, const pb::IntentStore& store,
               Outbox& out);
  /// Permanently stops acknowledging; done before a takeover is proposed.
  void Seal(uint32_t shard);
  /// True if the replica holds everything that the home was able to give.
  bool IsComplete(uint32_t shard) const;
  /// The complete replica of this term, and gives up the role; nullopt: none.
  std::optional<KeyTable> Take(uint32_t shard, LogPosition term);

  /// Tells all homes that this daemon stops soon.
  void AnnounceLeaving(Outbox& out) const;
  /// Number of shards witnessed.
  size_t Count() const { return this->replicas.size(); }
  /// Bytes of bodies in all replicas.
  size_t BodyBytes() const { return this->body_bytes; }

 private:
  struct Replica {
    LogPosition term;
    VmRef home;
    KeyTable keys;
    /// All stores up to this one are applied.
    uint64_t applied = 0;
    size_t body_bytes = 0;
    bool complete = false;
    bool sealed = false;
    /// Stores that arrived before an earlier one.
    std::map<uint64_t, pb::IntentStore> ahead;
  };

  void Apply(TimePoint now, Replica& replica, const pb::IntentStore& store);
  void Forget(Replica& replica, const std::string& index);
  static void Acknowledge(uint32_t shard, const Replica& replica, bool leaving,
                          Outbox& out);

  size_t max_body_bytes;
  size_t body_bytes = 0;
  std::map<uint32_t, Replica> replicas;
};

}  // namespace fuchsiadrum::request

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/claim_types.h"
#include "fuchsiadrum/request/key_table.h"
#include "fuchsiadrum/request/shard_table.h"
#include "fuchsiadrum/request/store_stream.h"

namespace fuchsiadrum::request {

/// The home role of one daemon: decides on claims and completions of the keys
/// of its shards. A claim, an answer and a bill are given only once the
/// witness of the present term holds the record that they rest on.
class ClaimHome {
 public:
  ClaimHome(const ShardTable& table, const PeerView& peers,
            const ClaimAgentOptions& options)
      : table(table), peers(peers), options(options) {}

  /// Becomes home of a shard in its present term, with the records that the
  /// former home left.
  void Start(TimePoint now, uint32_t shard, KeyTable keys, Outbox& out);
  /// Another daemon is home now.
  void Stop(uint32_t shard);
  /// Hands all records to the shard's new witness.
  void ChangeWitness(TimePoint now, uint32_t shard, Outbox& out);

  void OnAsk(TimePoint now, const VmRef& from, const pb::ClaimAsk& ask,
             Outbox& out);
  void OnDone(TimePoint now, const VmRef& from, const pb::ClaimDone& done,
              Outbox& out);
  void OnAck(const VmRef& from, const pb::IntentAck& ack, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /// False while this daemon's view of the peers is out of date.
  void SetViewSettled(bool settled) { this->view_settled = settled; }

  /// True if this daemon holds the records of the shard's present term.
  bool Serves(uint32_t shard) const;
  /// Stream to the witness; nullptr if this daemon is not home.
  const StoreStream* StreamOf(uint32_t shard) const;
  /// Number of shards served, keys remembered, bytes of stored bodies.
  size_t Count() const { return this->shards.size(); }
  size_t Keys() const { return this->total_keys; }
  size_t AnswerBytes() const { return this->answer_bytes; }

 private:
  struct HomeShard {
    LogPosition term;
    KeyTable keys;
    StoreStream stream;
    /// Keys with an unknown outcome that the list does not show yet.
    std::set<std::string> unlisted;
  };
  /// A record in the order in which it finished or stored its body.
  struct Aged {
    uint32_t shard = 0;
    std::string index;
    uint64_t serial = 0;
    TimePoint at;
  };

  HomeShard* Served(uint32_t shard, const pb::ClaimKey& key);
  void AnswerNewKey(TimePoint now, HomeShard& home, const VmRef& from,
                    const pb::ClaimAsk& ask, Outbox& out);
  void AnswerKnownKey(TimePoint now, HomeShard& home, KeyRecord& record,
                      const VmRef& from, const pb::ClaimAsk& ask, Outbox& out);
  void Claim(TimePoint now, HomeShard& home, KeyRecord& record,
             const VmRef& from, const pb::ClaimAsk& ask, Outbox& out);
  void Release(TimePoint now, HomeShard& home, const VmRef& from,
               const pb::ClaimDone& done, Outbox& out);
  void Finish(TimePoint now, HomeShard& home, KeyRecord& record,
              const VmRef& from, const pb::ClaimDone& done, Outbox& out);
  void MarkUnknown(TimePoint now, HomeShard& home, KeyRecord& record,
                   std::string_view step, Outbox& out);
  void List(TimePoint now, const pb::Intent& intent, std::string_view step,
            Outbox& out) const;
  void ListAgain(TimePoint now, HomeShard& home, Outbox& out) const;
  void FindLostEntries(TimePoint now, HomeShard& home, Outbox& out);
  bool IsEntryLost(TimePoint now, const KeyRecord& record) const;
  bool IsKeyOfLostTerm(uint32_t shard, const std::string& key) const;
  KeyRecord* NewRecord(TimePoint now, HomeShard& home, const pb::Intent& intent,
                       Outbox& out);
  bool MakeRoom(TimePoint now, Outbox& out);
  void Remember(TimePoint now, uint32_t shard, KeyRecord& record);
  void EvictAnswers();
  KeyRecord* Present(const Aged& aged);
  void DropStale(std::deque<Aged>& order);

  const ShardTable& table;
  const PeerView& peers;
  const ClaimAgentOptions& options;
  std::map<uint32_t, HomeShard> shards;
  /// Finished records, oldest first, and those among them that have a body.
  /// Entries of records that were replaced meanwhile are skipped.
  std::deque<Aged> finished;
  std::deque<Aged> bodies;
  size_t total_keys = 0;
  size_t answer_bytes = 0;
  bool view_settled = false;
  TimePoint scanned;
  TimePoint listed;
};

}  // namespace fuchsiadrum::request

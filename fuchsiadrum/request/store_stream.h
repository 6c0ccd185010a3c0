#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/core/outbox.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/request/key_table.h"
#include "schema/peer.pb.h"

namespace fuchsiadrum::request {

/// The stream of stores from the home of one shard to its witness in one
/// witness term: the bulk of all records first, then each change. Replies
/// that depend on a store wait here until it is acknowledged.
class StoreStream {
 public:
  /// Limits of a stream.
  struct Options {
    /// Bodies above this are not sent to the witness, in bytes.
    size_t small_answer_bytes = 4096;
    /// Time after which unacknowledged stores are sent again.
    Duration resend_after = std::chrono::milliseconds(100);
  };

  StoreStream(uint32_t shard, Options options)
      : shard(shard), options(options) {}

  /// Starts over with a new witness: sends all records. Waiting replies then
  /// wait for the end of the bulk.
  void Restart(TimePoint now, const VmRef& witness, LogPosition witness_term,
               KeyTable& keys, Outbox& out);
  /// Sends one changed record and notes the store in it.
  void Send(TimePoint now, KeyRecord& record, Outbox& out);
  /// Sends `reply` once `sequence` is acknowledged, or now if it is.
  void ReplyAt(uint64_t sequence, Envelope reply, Outbox& out);
  /// An acknowledgement of this witness term.
  void OnAck(const VmRef& from, const pb::IntentAck& ack, Outbox& out);
  /// Sends unacknowledged stores again.
  void OnTick(TimePoint now, Outbox& out);

  /// True once the witness has the whole bulk.
  bool IsSettled() const {
    return this->bulk_end > 0 && this->acked >= this->bulk_end;
  }
  bool IsAcked(uint64_t sequence) const { return sequence <= this->acked; }
  size_t Unacked() const { return this->unacked.size(); }
  LogPosition WitnessTerm() const { return this->witness_term; }
  /// True if the witness asked to be replaced.
  bool IsWitnessLeaving() const { return this->witness_leaving; }

 private:
  pb::IntentStore& Next();
  void AddIntent(pb::IntentStore& store, const pb::Intent& intent) const;
  void Emit(const pb::IntentStore& store, Outbox& out) const;

  uint32_t shard;
  Options options;
  VmRef witness;
  LogPosition witness_term;
  uint64_t next_sequence = 1;
  uint64_t acked = 0;
  uint64_t bulk_end = 0;
  bool witness_leaving = false;
  std::deque<pb::IntentStore> unacked;
  TimePoint last_sent;
  std::map<uint64_t, std::vector<Envelope>> waiting;
};

}  // namespace fuchsiadrum::request

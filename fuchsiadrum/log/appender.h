#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/log/mutation.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::log {

/// Options of an appender.
struct AppenderOptions {
  /// This daemon, the writer of its batches.
  VmRef self;
  /// Key of the fleet, for the batches' MACs.
  std::string fleet_key;
  /// Records of this long share a batch.
  Duration interval = Duration(20'000);
  /// Shortest time between the first appends of two batches. Nine daemons stay
  /// below 100 appends/s.
  Duration min_spacing = Duration(100'000);
  /// Time after a stored append until the batch is repeated because it was not
  /// read back. Reading takes a few polls of the log.
  Duration repeat_after = Duration(1'000'000);
  /// Time after a failed append until the batch is repeated.
  Duration retry_after = Duration(100'000);
  /// Largest batch, in bytes of its records. A snapshot chunk fits with room
  /// for other records.
  size_t max_batch_bytes = 384UL * 1024;
  size_t max_batch_records = 4096;
  /// Largest queue, in bytes of its records; snapshot chunks do not count.
  size_t max_queue_bytes = 8UL * 1024 * 1024;
  /// Largest queue of snapshot chunks, in bytes.
  size_t max_chunk_queue_bytes = 64UL * 1024 * 1024;
  /// Rule to break; only the bench sets it.
  Mutation mutation = Mutation::kNone;
};

/// Collects the records of one daemon into batches. One batch is in flight at
/// a time; it is repeated with the same bytes until it is read back, because
/// an append whose answer was lost may have taken effect.
class Appender {
 public:
  explicit Appender(AppenderOptions options);

  /// Queues records in this order. False: the queue is full and nothing was
  /// taken; the caller keeps the records or tells its own caller. Records that
  /// are empty, larger than a batch or that no reader could parse are dropped
  /// and counted.
  bool Add(TimePoint now, const std::vector<pb::Record>& records);
  /// Queues a serialised batch of another daemon. False: the queue is full. A
  /// batch that waits already is not queued twice.
  bool AddRelayed(TimePoint now, const VmRef& writer, uint64_t sequence,
                  const std::string& batch);

  /// Batch to append now; nullopt: nothing is due, or the answer to the last
  /// one is outstanding. `format` is the format version in force.
  std::optional<std::string> Next(TimePoint now, uint32_t format);
  /// The append was answered; false: refused, failed or no answer.
  void OnAnswer(TimePoint now, bool stored);
  /// Tells the last sequence of this writer that the replica folded, after
  /// batches were read or a snapshot was loaded.
  void OnFolded(uint64_t last_sequence);

  /// Batch that is not read back yet, for a relay through peers; nullopt: none.
  const std::optional<std::string>& InFlight() const { return this->batch; }
  /// When the batch in flight was made.
  TimePoint InFlightSince() const { return this->started; }
  /// Sequence of the batch in flight, or of the last one.
  uint64_t Sequence() const { return this->sequence; }
  /// True when everything that was added has been read back.
  bool IsEmpty() const;
  size_t QueueBytes() const { return this->queue_bytes; }
  /// Bytes of snapshot chunks that wait.
  size_t ChunkBytes() const { return this->chunk_bytes; }
  /// Records that were dropped because they can never be appended.
  uint64_t Unusable() const { return this->unusable; }
  /// Batches handed out by Next, repetitions included.
  uint64_t Appends() const { return this->appends; }

 private:
  struct Relayed {
    VmRef writer;
    uint64_t sequence = 0;
    std::string bytes;
  };
  bool IsDue(TimePoint now) const;
  void FillBatch(pb::Batch& batch);
  size_t TakeRecords(pb::Batch& batch);
  size_t TakeRelayed(pb::Batch& batch, size_t bytes);

  AppenderOptions options;
  std::deque<std::pair<pb::Record, size_t>> queue;
  std::deque<std::pair<pb::Record, size_t>> chunks;
  std::deque<Relayed> relayed;
  std::set<std::pair<VmRef, uint64_t>> relayed_ids;
  size_t queue_bytes = 0;
  size_t chunk_bytes = 0;
  /// When the oldest queued record arrived.
  TimePoint oldest;

  std::optional<std::string> batch;
  std::set<std::pair<VmRef, uint64_t>> in_flight_ids;
  uint64_t sequence = 0;
  bool awaits_answer = false;
  TimePoint repeat_at;
  /// When the latest batch was made.
  TimePoint started;
  uint64_t appends = 0;
  uint64_t unusable = 0;
};

}  // namespace fuchsiadrum::log

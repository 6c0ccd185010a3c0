#include "fuchsiadrum/log/appender.h"

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/log/batch_codec.h"

namespace fuchsiadrum::log {
namespace {

/// False for a record that no reader can parse, for example one with text that
/// is not UTF-8. Its batch would be skipped by every daemon, never be read
/// back, and block the writer for ever.
bool IsReadable(const pb::Record& record) {
  pb::Record probe;
  return probe.ParseFromString(record.SerializeAsString());
}

}  // namespace

Appender::Appender(AppenderOptions options) : options(std::move(options)) {}

bool Appender::Add(TimePoint now, const std::vector<pb::Record>& records) {
  size_t bytes = 0;
  size_t chunk_bytes = 0;
  std::vector<size_t> sizes;
  sizes.reserve(records.size());
  for (const pb::Record& record : records) {
    // A record that can never be appended must not hold up the others.
    const size_t size = record.ByteSizeLong();
    const bool fits =
        size <= this->options.max_batch_bytes && IsReadable(record);
    sizes.push_back(fits ? size : 0);
    if (fits) (record.has_snapshot_chunk() ? chunk_bytes : bytes) += size;
  }
  if (this->queue_bytes + bytes > this->options.max_queue_bytes ||
      this->chunk_bytes + chunk_bytes > this->options.max_chunk_queue_bytes) {
    return false;
  }

  if (this->queue.empty() && this->relayed.empty()) this->oldest = now;
  for (size_t i = 0; i < records.size(); ++i) {
    if (sizes[i] == 0) {
      ++this->unusable;
      continue;
    }
    auto& target = records[i].has_snapshot_chunk() ? this->chunks : this->queue;
    target.emplace_back(records[i], sizes[i]);
  }
  this->queue_bytes += bytes;
  this->chunk_bytes += chunk_bytes;
  return true;
}

bool Appender::AddRelayed(TimePoint now, const VmRef& writer, uint64_t sequence,
                          const std::string& batch) {
  const std::pair<VmRef, uint64_t> id(writer, sequence);
  if (this->relayed_ids.contains(id) || this->in_flight_ids.contains(id)) {
    return true;
  }
  if (batch.size() > this->options.max_batch_bytes ||
      this->queue_bytes + batch.size() > this->options.max_queue_bytes) {
    return false;
  }

  if (this->queue.empty() && this->relayed.empty()) this->oldest = now;
  this->relayed.push_back(
      {.writer = writer, .sequence = sequence, .bytes = batch});
  this->relayed_ids.insert(id);
  this->queue_bytes += batch.size();
  return true;
}

std::optional<std::string> Appender::Next(TimePoint now, uint32_t format) {
  if (this->awaits_answer) return std::nullopt;

  if (!this->batch) {
    if (!this->IsDue(now)) return std::nullopt;
    pb::Batch next;
    *next.mutable_writer() = this->options.self.ToProto();
    const bool reuse = this->options.mutation == Mutation::kReuseSequence &&
                       this->sequence % 4 == 3;
    next.set_sequence(reuse ? this->sequence : this->sequence + 1);
    next.set_format(format);
    this->FillBatch(next);
    this->sequence = next.sequence();
    this->batch = SealBatch(next, this->options.fleet_key);
    this->started = now;
  } else if (now < this->repeat_at) {
    return std::nullopt;
  }

  this->awaits_answer = true;
  ++this->appends;
  return this->batch;
}

void Appender::OnAnswer(TimePoint now, bool stored) {
  this->awaits_answer = false;
  this->repeat_at =
      now + (stored ? this->options.repeat_after : this->options.retry_after);
}

void Appender::OnFolded(uint64_t last_sequence) {
  if (!this->batch || last_sequence < this->sequence) return;
  // Only this writer uses its sequences, so the folded one is this batch.
  FD_ASSERT(last_sequence == this->sequence ||
                this->options.mutation != Mutation::kNone,
            "log: a batch was folded that this daemon did not write");
  this->batch.reset();
  this->in_flight_ids.clear();
}

bool Appender::IsEmpty() const {
  return !this->batch && this->queue.empty() && this->chunks.empty() &&
         this->relayed.empty();
}

bool Appender::IsDue(TimePoint now) const {
  // A clock that went backwards must not delay the next batch.
  const bool spaced = this->sequence == 0 || now < this->started ||
                      now - this->started >= this->options.min_spacing;
  if (!spaced) return false;

  if (!this->queue.empty() || !this->relayed.empty()) {
    return now - this->oldest >= this->options.interval || now < this->oldest ||
           this->queue_bytes >= this->options.max_batch_bytes;
  }
  return !this->chunks.empty();
}

void Appender::FillBatch(pb::Batch& batch) {
  size_t bytes = this->TakeRecords(batch);
  bytes += this->TakeRelayed(batch, bytes);

  // One chunk for each batch: other records wait for one chunk at most.
  if (!this->chunks.empty() &&
      bytes + this->chunks.front().second <= this->options.max_batch_bytes) {
    this->chunk_bytes -= this->chunks.front().second;
    *batch.add_records() = std::move(this->chunks.front().first);
    this->chunks.pop_front();
  }
}

size_t Appender::TakeRecords(pb::Batch& batch) {
  size_t bytes = 0;
  while (!this->queue.empty() &&
         bytes + this->queue.front().second <= this->options.max_batch_bytes &&
         static_cast<size_t>(batch.records_size()) <
             this->options.max_batch_records) {
    bytes += this->queue.front().second;
    *batch.add_records() = std::move(this->queue.front().first);
    this->queue.pop_front();
  }
  this->queue_bytes -= bytes;
  return bytes;
}

size_t Appender::TakeRelayed(pb::Batch& batch, size_t bytes) {
  pb::CombinedBatch* combined = nullptr;
  size_t taken = 0;
  while (!this->relayed.empty() &&
         bytes + taken + this->relayed.front().bytes.size() <=
             this->options.max_batch_bytes) {
    if (combined == nullptr) {
      combined = batch.add_records()->mutable_combined_batch();
    }

    Relayed& front = this->relayed.front();
    taken += front.bytes.size();
    this->queue_bytes -= front.bytes.size();
    const std::pair<VmRef, uint64_t> id(front.writer, front.sequence);
    this->relayed_ids.erase(id);
    this->in_flight_ids.insert(id);
    combined->add_batches(std::move(front.bytes));
    this->relayed.pop_front();
  }
  return taken;
}

}  // namespace fuchsiadrum::log

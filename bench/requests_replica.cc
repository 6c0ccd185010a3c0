#include "bench/requests_replica.h"

#include <utility>

#include "fuchsiadrum/core/assert.h"

namespace fuchsiadrum::bench::requests {
namespace {

/// Time after which a batch that was not read back is sent again.
constexpr Duration kRepeatAfter = std::chrono::milliseconds(400);

/// Records of one batch.
constexpr size_t kMaxBatch = 200;

}  // namespace

void MiniReplica::Queue(std::vector<pb::Record>& records) {
  for (pb::Record& record : records) {
    this->queued.push_back(std::move(record));
  }
  records.clear();
}

std::optional<std::string> MiniReplica::TakeAppend(TimePoint now) {
  if (this->in_flight.empty()) {
    if (this->queued.empty()) return std::nullopt;
    pb::Batch batch;
    *batch.mutable_writer() = this->self.ToProto();
    batch.set_sequence(++this->sequence);
    for (size_t i = 0; i < kMaxBatch && !this->queued.empty(); ++i) {
      *batch.add_records() = std::move(this->queued.front());
      this->queued.pop_front();
    }
    this->in_flight = batch.SerializeAsString();
  } else if (now - this->sent < kRepeatAfter && now >= this->sent) {
    return std::nullopt;
  }
  this->sent = now;
  return this->in_flight;
}

void MiniReplica::Read(const FakeLog& log, const OnFolded& on_folded) {
  while (this->next < log.End()) {
    pb::Batch batch;
    const bool parsed = batch.ParseFromString(*log.Read(this->next));
    FD_ASSERT(parsed, "bench: a batch on the fake log is whole");
    const uint64_t offset = this->next++;
    const VmRef writer = VmRef::FromProto(batch.writer());

    if (writer == this->self && batch.sequence() == this->sequence) {
      this->in_flight.clear();
    }
    uint64_t& last = this->folded[writer];
    if (batch.sequence() <= last) continue;
    last = batch.sequence();

    for (int i = 0; i < batch.records_size(); ++i) {
      const LogPosition at{offset, static_cast<uint32_t>(i)};
      const Verdict verdict = this->table.Apply(at, writer, batch.records(i));
      on_folded(at, batch.records(i), verdict);
    }
  }
}

void MiniReplica::LoadFrom(const MiniReplica& other) {
  pb::Snapshot snapshot;
  other.table.Save(snapshot);
  const bool loaded = this->table.Load(snapshot);
  FD_ASSERT(loaded, "bench: a snapshot of a peer is whole");
  this->next = other.next;
  this->folded = other.folded;

  const auto own = this->folded.find(this->self);
  if (own != this->folded.end() && own->second == this->sequence) {
    this->in_flight.clear();
  }
}

}  // namespace fuchsiadrum::bench::requests

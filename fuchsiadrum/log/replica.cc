#include "fuchsiadrum/log/replica.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/log/batch_codec.h"

namespace fuchsiadrum::log {
namespace {

constexpr std::array<std::string_view, 4> kPhaseNames = {"unknown", "scanning",
                                                         "folding", "stopped"};

/// True for a record of a kind that this build does not know.
bool IsUnknownKind(const pb::Record& record) {
  return record.kind_case() == pb::Record::KIND_NOT_SET &&
         !record.GetReflection()->GetUnknownFields(record).empty();
}

bool IsEmptyRecord(const pb::Record& record) {
  return record.kind_case() == pb::Record::KIND_NOT_SET &&
         record.GetReflection()->GetUnknownFields(record).empty();
}

}  // namespace

std::string_view PhaseName(ReplicaPhase phase) {
  return kPhaseNames[static_cast<size_t>(phase)];
}

Replica::Replica(ReplicaOptions options, std::vector<FoldPart*> parts,
                 std::vector<Agent*> agents)
    : options(std::move(options)),
      parts(std::move(parts)),
      agents(std::move(agents)),
      snapshots(this->options.mutation) {
  FD_ASSERT(this->options.digest_interval > 0, "log: no digest interval");
}

uint64_t Replica::NextOffset() const {
  return this->phase == ReplicaPhase::kScanning ? this->scan_next : this->next;
}

void Replica::OnBatches(TimePoint now, uint64_t from,
                        const std::vector<std::string>& batches, Outbox& out) {
  // Offset 0 is proof that nothing was trimmed before it was read.
  if (this->phase == ReplicaPhase::kUnknown && from == 0 && !batches.empty()) {
    this->phase = ReplicaPhase::kFolding;
  }

  uint64_t offset = from;
  for (const std::string& bytes : batches) {
    const uint64_t at = offset++;
    if (at < this->NextOffset()) continue;
    if (at > this->NextOffset()) return;

    if (this->phase == ReplicaPhase::kScanning) {
      this->ScanBatch(now, bytes, out);
    } else if (this->phase != ReplicaPhase::kFolding ||
               !this->FoldOffset(now, bytes, out)) {
      return;
    }
  }
}

void Replica::OnBounds(TimePoint /*now*/, uint64_t first_retained,
                       uint64_t end) {
  this->first_retained = std::max(this->first_retained, first_retained);
  this->log_end = std::max(this->log_end, end);
  this->bounds_known = true;

  if (this->phase == ReplicaPhase::kStopped) return;

  if (this->phase == ReplicaPhase::kScanning) {
    this->scan_next = std::max(this->scan_next, this->first_retained);
    return;
  }

  if (this->next < this->first_retained) {
    if (this->options.mutation == Mutation::kEmptyLogIsEmptyState &&
        this->phase == ReplicaPhase::kUnknown) {
      this->next = this->first_retained;
      this->phase = ReplicaPhase::kFolding;
    } else {
      this->BeginScan();
      return;
    }
  }

  this->phase = ReplicaPhase::kFolding;
  if (!this->ready_at) this->ready_at = this->log_end;
}

void Replica::BeginScan() {
  this->phase = ReplicaPhase::kScanning;
  this->scan_next = this->first_retained;
  this->ready_at.reset();
  this->snapshots.Clear();
  this->last_reason = {
      .step = "log",
      .text = "records from " + std::to_string(this->next) + " to " +
              std::to_string(this->first_retained) +
              " are no longer retained; looking for a snapshot"};
}

bool Replica::LoadState(TimePoint now, const pb::Snapshot& snapshot,
                        Outbox& out) {
  const uint64_t base = snapshot.base_offset();
  const bool is_newer =
      base > this->next ||
      (base == this->next && this->phase != ReplicaPhase::kFolding);
  if (this->phase == ReplicaPhase::kStopped || base < this->first_retained ||
      !is_newer) {
    return false;
  }
  return this->Install(now, snapshot, out);
}

void Replica::AdoptGap(TimePoint /*now*/, uint64_t offset) {
  FD_ASSERT(this->phase == ReplicaPhase::kScanning && offset >= this->next,
            "log: there is no gap to adopt");
  this->next = offset;
  this->phase = ReplicaPhase::kFolding;
  this->ready_at = this->log_end;
}

void Replica::NoteCaughtUp() {
  if (!this->ready_at) this->ready_at = this->next;
}

pb::Snapshot Replica::MakeSnapshot() const {
  pb::Snapshot snapshot;
  snapshot.set_base_offset(this->next);
  snapshot.set_format(this->format);
  for (const FoldPart* part : this->parts) part->Save(snapshot);
  this->writers.Save(snapshot);
  return snapshot;
}

bool Replica::IsReady() const {
  return this->phase == ReplicaPhase::kFolding && this->ready_at &&
         this->next >= *this->ready_at;
}

bool Replica::NeedsPeerState() const {
  return this->phase == ReplicaPhase::kUnknown ||
         (this->phase == ReplicaPhase::kScanning &&
          this->scan_next >= this->log_end);
}

uint64_t Replica::Digest() const {
  uint64_t digest = this->writers.Digest() + this->format;
  for (const FoldPart* part : this->parts) {
    const uint64_t value = part->Digest();
    digest =
        Hash64({reinterpret_cast<const char*>(&value), sizeof(value)}, digest);
  }
  return digest;
}

std::optional<std::pair<uint64_t, uint64_t>> Replica::LatestDigest() const {
  if (this->digests.empty()) return std::nullopt;
  return *this->digests.rbegin();
}

std::optional<Reason> Replica::CompareDigest(const VmRef& peer, uint64_t offset,
                                             uint64_t peer_digest) {
  const auto found = this->digests.find(offset);
  if (found == this->digests.end() || found->second == peer_digest) {
    return std::nullopt;
  }

  const auto [entry, is_new] = this->alarmed.try_emplace(peer, offset);
  if (!is_new && entry->second == offset) return std::nullopt;
  entry->second = offset;
  ++this->counters.digest_alarms;

  this->last_reason = {.step = "digest",
                       .peer = peer.ToString(),
                       .text = "state at offset " + std::to_string(offset) +
                               " is " + std::to_string(peer_digest) +
                               " there and " + std::to_string(found->second) +
                               " at " + this->options.self.ToString()};
  return this->last_reason;
}

bool Replica::FoldOffset(TimePoint now, const std::string& bytes, Outbox& out) {
  pb::Batch batch;
  if (!this->OpenCounted(bytes, batch)) {
    ++this->next;
    this->KeepDigest();
    return true;
  }

  // The whole offset is checked first: a batch is folded entirely or not at
  // all.
  const Opened opened = this->OpenInner(std::move(batch));
  bool supported = this->IsSupported(opened.batch);
  for (const auto& group : opened.inner) {
    for (const pb::Batch& inner : group) {
      supported = supported && this->IsSupported(inner);
    }
  }
  if (!supported) {
    this->phase = ReplicaPhase::kStopped;
    return false;
  }

  uint32_t index = 0;
  this->FoldBatch(now, opened.batch, index, &opened.inner, out);
  ++this->next;
  this->KeepDigest();
  return true;
}

bool Replica::OpenCounted(const std::string& bytes, pb::Batch& batch) {
  switch (OpenBatch(bytes, this->options.fleet_key, batch)) {
    case BatchCheck::kValid:
      return true;
    case BatchCheck::kMalformed:
      ++this->counters.malformed;
      this->last_reason = {
          .step = "log",
          .text = "malformed batch at offset " + std::to_string(this->next)};
      return false;
    case BatchCheck::kBadMac:
      ++this->counters.bad_macs;
      this->last_reason = {.step = "log",
                           .text = "batch with a wrong MAC at offset " +
                                   std::to_string(this->next)};
      return false;
  }
  return false;
}

Replica::Opened Replica::OpenInner(pb::Batch batch) {
  Opened opened{.batch = std::move(batch), .inner = {}};
  opened.inner.resize(static_cast<size_t>(opened.batch.records_size()));

  for (int i = 0; i < opened.batch.records_size(); ++i) {
    const pb::Record& record = opened.batch.records(i);
    if (!record.has_combined_batch()) continue;
    for (const std::string& bytes : record.combined_batch().batches()) {
      pb::Batch inner;
      if (this->OpenCounted(bytes, inner)) {
        opened.inner[static_cast<size_t>(i)].push_back(std::move(inner));
      }
    }
  }
  return opened;
}

bool Replica::IsSupported(const pb::Batch& batch) {
  const uint32_t supported = this->options.supported_format;
  uint32_t wanted = batch.format();

  for (const pb::Record& record : batch.records()) {
    if (record.has_raise_format()) {
      wanted = std::max(wanted, record.raise_format().version());
    }
    if (IsUnknownKind(record) &&
        this->options.mutation != Mutation::kSkipUnknownRecord) {
      wanted = std::max(wanted, supported + 1);
    }
  }
  if (wanted <= supported) return true;

  this->last_reason = {.step = "log",
                       .peer = VmRef::FromProto(batch.writer()).ToString(),
                       .text = "offset " + std::to_string(this->next) +
                               " needs format " + std::to_string(wanted) +
                               ", this build supports " +
                               std::to_string(supported)};
  return false;
}

bool Replica::AdmitBatch(const pb::Batch& batch) {
  if (batch.format() > this->format) {
    ++this->counters.early_formats;
    return false;
  }

  const VmRef writer = VmRef::FromProto(batch.writer());
  switch (this->writers.Check(writer, batch.sequence())) {
    case SequenceCheck::kSeen:
      ++this->counters.duplicates;
      return false;
    case SequenceCheck::kGap:
      ++this->counters.gaps;
      return false;
    case SequenceCheck::kNext:
      this->writers.Advance(writer, batch.sequence());
      return true;
  }
  return false;
}

void Replica::FoldBatch(TimePoint now, const pb::Batch& batch, uint32_t& index,
                        const std::vector<std::vector<pb::Batch>>* inner,
                        Outbox& out) {
  if (!this->AdmitBatch(batch)) return;
  ++this->counters.batches;

  const VmRef writer = VmRef::FromProto(batch.writer());
  for (int i = 0; i < batch.records_size(); ++i) {
    const pb::Record& record = batch.records(i);
    if (!record.has_combined_batch()) {
      this->FoldRecord(now, {this->next, index++}, writer, record, out);
      continue;
    }

    // A combined batch within a combined batch is ignored.
    if (inner == nullptr) continue;
    for (const pb::Batch& one : (*inner)[static_cast<size_t>(i)]) {
      this->FoldBatch(now, one, index, nullptr, out);
    }
  }
}

void Replica::FoldRecord(TimePoint now, LogPosition at, const VmRef& writer,
                         const pb::Record& record, Outbox& out) {
  ++this->counters.records;
  Verdict verdict = this->FoldOwn(record);

  for (FoldPart* part : this->parts) {
    const Verdict answer = part->Apply(at, writer, record);
    if (verdict == Verdict::kNotMine) verdict = answer;
  }
  for (Agent* agent : this->agents) {
    agent->OnRecord(now, at, record, verdict, out);
  }
}

Verdict Replica::FoldOwn(const pb::Record& record) {
  if (record.has_raise_format()) {
    const uint32_t version = record.raise_format().version();
    if (version <= this->format) return Verdict::kDuplicate;
    this->format = version;
    return Verdict::kAccepted;
  }

  if (record.has_snapshot_chunk()) {
    const auto snapshot = this->snapshots.Add(record.snapshot_chunk());
    if (snapshot) {
      this->snapshot_base =
          std::max(this->snapshot_base.value_or(0), snapshot->base_offset());
    }
    return Verdict::kAccepted;
  }

  if (IsEmptyRecord(record)) {
    ++this->counters.empty_records;
    return Verdict::kRejected;
  }
  return Verdict::kNotMine;
}

void Replica::ScanBatch(TimePoint now, const std::string& bytes, Outbox& out) {
  ++this->scan_next;
  pb::Batch batch;
  if (OpenBatch(bytes, this->options.fleet_key, batch) != BatchCheck::kValid) {
    return;
  }

  if (this->ScanRecords(now, batch, out)) return;
  for (const pb::Record& record : batch.records()) {
    if (!record.has_combined_batch()) continue;
    for (const std::string& bytes_inside : record.combined_batch().batches()) {
      pb::Batch inner;
      if (OpenBatch(bytes_inside, this->options.fleet_key, inner) ==
              BatchCheck::kValid &&
          this->ScanRecords(now, inner, out)) {
        return;
      }
    }
  }
}

bool Replica::ScanRecords(TimePoint now, const pb::Batch& batch, Outbox& out) {
  for (const pb::Record& record : batch.records()) {
    if (!record.has_snapshot_chunk()) continue;
    const auto snapshot = this->snapshots.Add(record.snapshot_chunk());
    if (!snapshot || snapshot->base_offset() < this->first_retained ||
        snapshot->base_offset() < this->next) {
      continue;
    }
    if (this->Install(now, *snapshot, out)) {
      this->snapshot_base = snapshot->base_offset();
      return true;
    }
  }
  return false;
}

bool Replica::Install(TimePoint now, const pb::Snapshot& snapshot,
                      Outbox& out) {
  if (snapshot.format() > this->options.supported_format) {
    this->phase = ReplicaPhase::kStopped;
    this->last_reason = {
        .step = "snapshot",
        .text = "needs format " + std::to_string(snapshot.format())};
    return false;
  }

  // The present state is kept in case a part refuses the new one.
  const pb::Snapshot before = this->MakeSnapshot();
  bool loaded = this->writers.Load(snapshot);
  for (FoldPart* part : this->parts) loaded = loaded && part->Load(snapshot);
  if (!loaded) {
    this->writers.Load(before);
    for (FoldPart* part : this->parts) part->Load(before);
    this->last_reason = {.step = "snapshot", .text = "a part refused it"};
    return false;
  }

  this->next = snapshot.base_offset();
  this->format = std::max(kBaseFormat, snapshot.format());
  this->phase = ReplicaPhase::kFolding;
  this->ready_at = this->log_end;
  this->snapshots.Clear();
  this->digests.clear();
  ++this->counters.snapshots_loaded;

  for (Agent* agent : this->agents) agent->OnStateLoaded(now, out);
  return true;
}

void Replica::KeepDigest() {
  // While a daemon catches up nobody compares; the digest of a large state
  // costs more than folding a batch.
  const uint64_t interval = this->options.digest_interval;
  if (this->next % interval != 0 || this->log_end > this->next + interval) {
    return;
  }
  this->digests[this->next] = this->Digest();
  if (this->digests.size() > this->options.digest_count) {
    this->digests.erase(this->digests.begin());
  }
}

}  // namespace fuchsiadrum::log

#include "bench/micro_state.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/ledger.h"
#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/assert.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/log/batch_codec.h"
#include "fuchsiadrum/log/replica.h"
#include "fuchsiadrum/log/snapshot_writer.h"
#include "fuchsiadrum/request/shard_table.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int kOrganisations = 6000;
constexpr int kBudgets = 11000;
constexpr int kUpstreams = 10000;
constexpr int kModels = 12;
constexpr int kWriters = 9;
constexpr int kRecordsInBatch = 20;
constexpr int kFoldBatches = 10000;
constexpr std::string_view kKey = "a fleet key that only the benches use";

using Clock = std::chrono::steady_clock;

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Heap in use, small blocks and mapped ones.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// All fold parts of a daemon with their replica.
struct WholeState {
  catalogue::Catalogue catalogue{{}};
  budget::Ledger ledger;
  request::ShardTable shards{{.zones = {"a", "b", "c"}}};
  log::Replica replica{
      {.fleet_key = std::string(kKey)}, {&ledger, &catalogue, &shards}, {}};
};

/// Writes the batches of a fleet at the target size.
class StateLog {
 public:
  /// Batches that build the state.
  std::vector<std::string> Build() {
    for (int i = 0; i < kBudgets; ++i) this->AddTopUp(i);
    for (int i = 0; i < kOrganisations; ++i) this->AddOrganisation(i);
    for (int i = 0; i < kUpstreams; ++i) this->AddUpstream(i);
    this->Flush();

    // Grants come after their top-ups, and one writer holds a whole batch.
    for (int i = 0; i < kBudgets; ++i) this->AddGrant(i);
    this->Flush();
    return std::move(this->batches);
  }

  /// Batches of everyday traffic on that state: mostly settlements.
  std::vector<std::string> Traffic() {
    this->batches.clear();
    for (int i = 0; i < kFoldBatches; ++i) {
      const int writer = i % kWriters;
      for (int k = 0; k < kRecordsInBatch - 2; ++k) this->AddSettle(writer);
      this->AddTopUp(static_cast<int>(this->rng.Below(kBudgets)));
      this->AddUpstream(kUpstreams + i);
      this->Flush(writer);
    }
    return std::move(this->batches);
  }

 private:
  struct Held {
    pb::Position grant;
    int64_t spent = 0;
  };

  static VmRef Writer(int index) {
    return {.vm = "vm" + std::to_string(index), .incarnation = 1};
  }

  pb::Record& Add() {
    if (this->batch.records_size() == kRecordsInBatch) this->Flush();
    return *this->batch.add_records();
  }

  void Flush(int writer = 0) {
    if (this->batch.records_size() == 0) return;
    *this->batch.mutable_writer() = Writer(writer).ToProto();
    this->batch.set_sequence(++this->sequences[writer]);
    this->batch.set_format(log::kBaseFormat);
    this->batches.push_back(log::SealBatch(this->batch, kKey));
    this->batch.Clear();
    ++this->offset;
  }

  void AddTopUp(int budget) {
    pb::TopUp& record = *this->Add().mutable_top_up();
    record.set_organisation("organisation" + std::to_string(budget));
    record.set_tokens(1'000'000'000);
    record.set_top_up_id("t" + std::to_string(this->number++));
    record.set_author("root");
  }

  void AddGrant(int budget) {
    const int writer = budget / kRecordsInBatch % kWriters;
    pb::Record& record = this->Add();
    pb::Grant& grant = *record.mutable_grant();
    grant.set_organisation("organisation" + std::to_string(budget));
    *grant.mutable_holder() = Writer(writer).ToProto();
    *grant.mutable_fine_witness() = Writer((writer + 1) % kWriters).ToProto();
    *grant.mutable_coarse_witness() = Writer((writer + 2) % kWriters).ToProto();
    grant.set_amount(500'000'000);
    grant.set_fine_step(10'000);
    grant.set_coarse_step(1'000'000);
    grant.set_initial_ceiling(10'000);
    grant.set_grant_nonce("n" + std::to_string(this->number++));

    Held held;
    held.grant.set_offset(this->offset);
    held.grant.set_index(static_cast<uint32_t>(this->batch.records_size() - 1));
    this->held[static_cast<size_t>(writer)].push_back(held);
    if (this->batch.records_size() == kRecordsInBatch) this->Flush(writer);
  }

  void AddSettle(int writer) {
    auto& grants = this->held[static_cast<size_t>(writer)];
    Held& chosen = grants[this->rng.Below(grants.size())];
    chosen.spent += 100;
    pb::Settle& record = *this->Add().mutable_settle();
    *record.mutable_grant() = chosen.grant;
    record.set_spent(chosen.spent);
  }

  pb::CatalogueEntry& AddEdit(const std::string& kind, int index) {
    pb::CatalogueEdit& edit = *this->Add().mutable_catalogue_edit();
    const std::string name = kind + std::to_string(index);
    edit.set_key(kind + "/" + name);
    edit.set_author("root");
    edit.set_shift("morning");
    edit.set_unix_ms(1'790'000'000'000);
    edit.set_edit_id("e" + std::to_string(this->number++));
    edit.mutable_entry()->set_name(name);
    edit.mutable_entry()->set_owner("operations");
    return *edit.mutable_entry();
  }

  void AddOrganisation(int index) {
    auto& body = *this->AddEdit("organisation", index).mutable_organisation();
    body.set_display_name("Organisation number " + std::to_string(index));
    body.set_max_concurrent_requests(100);
  }

  void AddUpstream(int index) {
    auto& body = *this->AddEdit("upstream", index).mutable_upstream();
    body.set_address("10.1." + std::to_string(index / 250 % 250) + "." +
                     std::to_string(index % 250) + ":8000");
    body.set_availability_zone("zone" + std::to_string(index % 11));
    body.add_models("model" + std::to_string(index % kModels));
    body.add_models("model" + std::to_string((index + 1) % kModels));
  }

  Rng rng{1};
  pb::Batch batch;
  std::vector<std::string> batches;
  std::vector<uint64_t> sequences = std::vector<uint64_t>(kWriters, 0);
  std::vector<std::vector<Held>> held =
      std::vector<std::vector<Held>>(kWriters);
  uint64_t offset = 0;
  uint64_t number = 0;
};

/// Batches with the chunks of a snapshot.
std::vector<std::string> SnapshotBatches(const pb::Snapshot& snapshot) {
  const VmRef writer{.vm = "vm0", .incarnation = 2};
  std::vector<std::string> out;
  for (auto& chunk : log::SnapshotWriter::Chunks(snapshot, writer)) {
    pb::Batch batch;
    *batch.mutable_writer() = writer.ToProto();
    batch.set_sequence(out.size() + 1);
    batch.set_format(log::kBaseFormat);
    *batch.add_records()->mutable_snapshot_chunk() = std::move(chunk);
    out.push_back(log::SealBatch(batch, kKey));
  }
  return out;
}

/// Starts a new daemon's state from a snapshot on the log.
nlohmann::json MeasureStart(const pb::Snapshot& snapshot,
                            uint64_t expected_digest) {
  const std::vector<std::string> batches = SnapshotBatches(snapshot);
  const uint64_t base = snapshot.base_offset();
  Outbox out;

  const size_t heap = HeapBytes();
  const auto start = Clock::now();
  const auto state = std::make_unique<WholeState>();
  state->replica.OnBounds({}, base, base + batches.size());
  state->replica.OnBatches({}, base, batches, out);
  FD_ASSERT(state->replica.FoldedOffset() == base,
            "bench: the snapshot was not loaded");
  FD_ASSERT(state->replica.Digest() == expected_digest,
            "bench: the loaded state differs");
  state->replica.OnBatches({}, base, batches, out);
  FD_ASSERT(state->replica.IsReady(), "bench: not ready after the snapshot");
  const double seconds = SecondsSince(start);

  const auto digest_start = Clock::now();
  FD_ASSERT(state->replica.Digest() != 0, "bench: no digest");
  nlohmann::json json;
  json["digest_ms"] = SecondsSince(digest_start) * 1000;
  json["start_s"] = seconds;
  json["memory_mb"] =
      static_cast<double>(HeapBytes() - heap) / (1024.0 * 1024.0);
  json["snapshot_mb"] =
      static_cast<double>(snapshot.ByteSizeLong()) / (1024.0 * 1024.0);
  return json;
}

}  // namespace

nlohmann::json MeasureState() {
  StateLog log;
  const std::vector<std::string> build = log.Build();
  const std::vector<std::string> traffic = log.Traffic();

  WholeState state;
  Outbox out;
  state.replica.OnBounds({}, 0, build.size());
  state.replica.OnBatches({}, 0, build, out);
  FD_ASSERT(state.ledger.Accounts().size() == kBudgets,
            "bench: the state was not built");
  FD_ASSERT(state.catalogue.Rows().size() == kOrganisations + kUpstreams,
            "bench: the catalogue was not built");
  const pb::Snapshot snapshot = state.replica.MakeSnapshot();
  nlohmann::json json = MeasureStart(snapshot, state.replica.Digest());

  // The end of the log lies ahead, as for a daemon that catches up.
  const uint64_t before = state.replica.Counters().records;
  state.replica.OnBounds({}, 0, build.size() + traffic.size());
  const auto start = Clock::now();
  state.replica.OnBatches({}, build.size(), traffic, out);
  const double seconds = SecondsSince(start);
  FD_ASSERT(state.replica.FoldedOffset() == build.size() + traffic.size(),
            "bench: the traffic was not folded");

  const auto records =
      static_cast<double>(state.replica.Counters().records - before);
  json["fold_records"] = records;
  json["fold_records_per_s"] = records / seconds;
  return json;
}

}  // namespace fuchsiadrum::bench

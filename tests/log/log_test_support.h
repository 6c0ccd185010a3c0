#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/fold_part.h"
#include "fuchsiadrum/core/hash.h"
#include "fuchsiadrum/log/batch_codec.h"
#include "schema/record.pb.h"

namespace fuchsiadrum::log {

inline constexpr std::string_view kTestKey = "0123456789abcdef0123456789abcdef";

/// Sums top-ups; stands for the ledger.
class SumPart : public FoldPart {
 public:
  Verdict Apply(LogPosition /*at*/, const VmRef& /*writer*/,
                const pb::Record& record) override {
    if (!record.has_top_up()) return Verdict::kNotMine;
    if (record.top_up().tokens() <= 0) return Verdict::kRejected;
    this->sums[record.top_up().organisation()] += record.top_up().tokens();
    return Verdict::kAccepted;
  }
  void Save(pb::Snapshot& snapshot) const override {
    for (const auto& [name, sum] : this->sums) {
      auto& account = *snapshot.mutable_ledger()->add_accounts();
      account.set_organisation(name);
      account.set_topped_up(sum);
    }
  }
  bool Load(const pb::Snapshot& snapshot) override {
    if (this->refuse) return false;
    this->sums.clear();
    for (const auto& account : snapshot.ledger().accounts()) {
      this->sums[account.organisation()] = account.topped_up();
    }
    return true;
  }
  uint64_t Digest() const override {
    uint64_t digest = 0;
    for (const auto& [name, sum] : this->sums) {
      digest += Hash64(name, static_cast<uint64_t>(sum));
    }
    return digest;
  }

  std::map<std::string, int64_t> sums;
  bool refuse = false;
};

/// Notes what the replica tells agents.
class NotingAgent : public Agent {
 public:
  void OnRecord(TimePoint /*now*/, LogPosition at, const pb::Record& /*record*/,
                Verdict verdict, Outbox& /*out*/) override {
    this->seen.emplace_back(at, verdict);
  }
  void OnStateLoaded(TimePoint /*now*/, Outbox& /*out*/) override {
    ++this->loads;
  }

  std::vector<std::pair<LogPosition, Verdict>> seen;
  int loads = 0;
};

inline pb::Record TopUpRecord(const std::string& organisation, int64_t tokens) {
  pb::Record record;
  record.mutable_top_up()->set_organisation(organisation);
  record.mutable_top_up()->set_tokens(tokens);
  return record;
}

inline pb::Batch MakeBatch(const VmRef& writer, uint64_t sequence,
                           const std::vector<pb::Record>& records) {
  pb::Batch batch;
  *batch.mutable_writer() = writer.ToProto();
  batch.set_sequence(sequence);
  batch.set_format(1);
  for (const auto& record : records) *batch.add_records() = record;
  return batch;
}

inline std::string Sealed(const VmRef& writer, uint64_t sequence,
                          const std::vector<pb::Record>& records) {
  return SealBatch(MakeBatch(writer, sequence, records), kTestKey);
}

}  // namespace fuchsiadrum::log

#pragma once

#include <cstdint>
#include <list>
#include <map>

#include "fuchsiadrum/core/types.h"
#include "schema/snapshot.pb.h"

namespace fuchsiadrum::log {

/// What a writer's sequence says about a batch.
enum class SequenceCheck { kNext, kSeen, kGap };

/// Last sequence of each writer incarnation; part of the folded state. A
/// writer numbers its batches 1, 2, 3... with one in flight, so that any other
/// number than the next one is a repetition or a fault.
class WriterTable {
 public:
  /// Most writers that are kept. The one that has been quiet for the largest
  /// number of batches is dropped first; 940 daemons that restart four times
  /// while one batch is on its way still fit.
  static constexpr size_t kMaxWriters = 4096;

  /// Compares the sequence with the writer's last one.
  SequenceCheck Check(const VmRef& writer, uint64_t sequence) const;
  /// Notes a sequence that Check found to be the next one.
  void Advance(const VmRef& writer, uint64_t sequence);
  /// Last folded sequence of a writer; 0: none.
  uint64_t Last(const VmRef& writer) const;

  void Save(pb::Snapshot& snapshot) const;
  /// False (table unchanged) if a writer occurs twice.
  bool Load(const pb::Snapshot& snapshot);
  uint64_t Digest() const { return this->digest; }

 private:
  struct Writer {
    VmRef ref;
    uint64_t sequence = 0;
  };
  static uint64_t DigestOf(const Writer& writer);

  /// Least recently active first.
  std::list<Writer> order;
  std::map<VmRef, std::list<Writer>::iterator> by_ref;
  /// Sum of the writers' digests.
  uint64_t digest = 0;
};

}  // namespace fuchsiadrum::log

#pragma once

#include <cstdint>
#include <string_view>

#include "fuchsiadrum/core/types.h"
#include "schema/record.pb.h"
#include "schema/snapshot.pb.h"

namespace fuchsiadrum {

/// What a fold part said to a record.
enum class Verdict { kNotMine, kAccepted, kDuplicate, kRejected };

/// Name of a verdict, for log lines and JSON.
std::string_view VerdictName(Verdict verdict);

/// A part of the shared state: a deterministic fold over the log. Every daemon
/// computes the same state at the same offset.
class FoldPart {
 public:
  FoldPart() = default;
  FoldPart(const FoldPart&) = delete;
  FoldPart& operator=(const FoldPart&) = delete;
  virtual ~FoldPart() = default;

  /// Folds one record of a batch that `writer` appended.
  virtual Verdict Apply(LogPosition at, const VmRef& writer,
                        const pb::Record& record) = 0;
  /// Writes the state; equal states give equal bytes.
  virtual void Save(pb::Snapshot& snapshot) const = 0;
  /// Replaces the state; false (state unchanged) if the snapshot is malformed.
  virtual bool Load(const pb::Snapshot& snapshot) = 0;
  /// Digest of the state; equal on every daemon at the same offset.
  virtual uint64_t Digest() const = 0;
};

}  // namespace fuchsiadrum

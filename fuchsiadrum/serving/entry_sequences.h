#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/upstream_notices.h"

namespace fuchsiadrum::serving {

/// Options of EntrySequences.
struct EntrySequencesOptions {
  /// What is known of an incarnation is dropped this long after it was removed
  /// or replaced. A write that the network held up arrives within seconds; a
  /// copy from which the store is restored may be minutes old.
  Duration retention = std::chrono::minutes(10);
  /// Entries without a start time are compared only for this long after the
  /// store was restored: an upstream that starts again may number them anew.
  Duration restored_period = std::chrono::seconds(10);
};

/// Tells entries of upstreams that are newer than those known from others,
/// which the store shows again after it was restored from an older copy, or
/// carries out late.
class EntrySequences {
 public:
  explicit EntrySequences(const EntrySequencesOptions& opts) : options(opts) {}

  /// An entry with this sequence was read. Returns true if it is newer than all
  /// that are known of the incarnation.
  bool Advance(TimePoint now, const UpstreamIncarnation& incarnation,
               int64_t sequence);
  /// Another writer has replaced the incarnation's entry. The next entry may
  /// repeat the sequence of the replaced one.
  void OnReplacedEntry(const UpstreamIncarnation& incarnation);
  /// The store was restored from an older copy.
  void OnStoreRestored(TimePoint now) { this->store_restored_at = now; }
  /// Drops incarnations that have been unknown for too long.
  void DropUnknown(
      TimePoint now,
      const std::function<bool(const UpstreamIncarnation&)>& is_known);

 private:
  struct Latest {
    int64_t sequence = 0;
    bool may_repeat = false;
    /// us is 0 while the incarnation is known.
    TimePoint unknown_since;
  };

  bool IsComparable(TimePoint now,
                    const UpstreamIncarnation& incarnation) const;

  EntrySequencesOptions options;
  std::map<UpstreamIncarnation, Latest> latest;
  /// us is 0: it was not.
  TimePoint store_restored_at;
};

}  // namespace fuchsiadrum::serving

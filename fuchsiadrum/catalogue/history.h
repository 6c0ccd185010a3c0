#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "schema/snapshot.pb.h"

namespace fuchsiadrum::catalogue {

/// The latest edits with their verdicts, oldest first; part of the folded
/// state.
class History {
 public:
  explicit History(size_t max_changes) : max_changes(max_changes) {}

  /// Adds an edit; the oldest one is dropped if there are too many.
  void Add(pb::CatalogueChange change);
  /// The edit with this id; nullptr: none, or it was dropped.
  const pb::CatalogueChange* Find(std::string_view edit_id) const;
  /// All kept edits, oldest first.
  const std::deque<pb::CatalogueChange>& Changes() const {
    return this->changes;
  }
  /// Digest of the kept edits, independent of how they were obtained.
  uint64_t Digest() const { return this->digest; }

 private:
  static uint64_t DigestOf(const pb::CatalogueChange& change);

  size_t max_changes;
  std::deque<pb::CatalogueChange> changes;
  /// Number of the first kept edit since this object was made.
  uint64_t first_number = 0;
  std::map<std::string, uint64_t, std::less<>> numbers;
  uint64_t digest = 0;
};

}  // namespace fuchsiadrum::catalogue

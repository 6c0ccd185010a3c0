#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/budget/fleet_account.h"
#include "fuchsiadrum/budget/reclaim.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// A grant whose holder has ended and can no longer write.
struct EndedGrant {
  std::string organisation;
  std::string holder;
  /// Ceiling in the holder's last heartbeat.
  Tokens heartbeat_ceiling;
  /// Longest time for which the holder can have been without an answered write.
  Duration silence = Duration::zero();
};

/// Change of a stored grant that returns to the account what its holder cannot
/// have used.
struct GrantSettlement {
  std::string organisation;
  std::string holder;
  RecordedGrant before;
  RecordedGrant after;
};

/// Settles the grants of ended holders in one partition of the store, each of
/// them once, whoever else settles them before, meanwhile or later. It does no
/// I/O.
///
/// What a holder can have used at most is computed once, as a total, from the
/// first record that is read after the holder was excluded from writing. A
/// settlement is planned only on the record as it stands at the end of the
/// partition, and written on condition of that end. So an earlier successor's
/// settlement that is carried out late, or a write with an unknown outcome, is
/// seen before anything is returned again. If the store was restored from an
/// older copy, the total is written again.
class EndedGrants {
 public:
  using Find = std::function<std::optional<RecordedGrant>(
      const std::string& organisation, const std::string& holder)>;

  explicit EndedGrants(const ReleaseOptions& opts) : options(opts) {}

  /// Adds a grant that is to be settled, unless it is known.
  void Add(const EndedGrant& grant);
  bool Knows(const EndedGrant& grant) const;
  /// True if a grant is not settled yet.
  bool HasUnsettled() const;

  /// True if the stored grants are known as of this end of the partition.
  bool IsKnownAt(uint64_t end) const { return this->known_end == end; }
  /// All grants of the partition were read by calls that began after the
  /// partition's end was found to be `end`. `find` returns the stored grant;
  /// nullopt if there is none. The grants may be newer than `end`; then no
  /// write on condition of that end is carried out.
  void OnRead(uint64_t end, const Find& find);
  /// The records from the offset `from` up to `end` were read. `find` returns
  /// the last of them that is that grant; nullopt if it is not among them.
  void OnReadTail(uint64_t from, uint64_t end, const Find& find);
  /// This process has written the records from `from` up to `end`.
  void OnWritten(uint64_t from, uint64_t end,
                 const std::vector<GrantSettlement>& settlements);
  /// The store was restored from an older copy. What was settled may be lost.
  /// A grant that was not read before may be lost in part, so that all of it
  /// stays counted.
  void OnNewEra();

  /// Settlements on the known grants. Call it only if IsKnownAt is true for the
  /// end on condition of which they are written.
  std::vector<GrantSettlement> Plan() const;

 private:
  struct Item {
    EndedGrant grant;
    /// The grant in the store as of known_end.
    RecordedGrant stored;
    /// The record that settles it; empty until the grant was read.
    std::optional<RecordedGrant> settled;
    /// The stored grant may be older than the one that was settled.
    bool may_be_older = false;

    bool IsSettled() const;
  };

  ReleaseOptions options;
  std::vector<Item> items;
  std::optional<uint64_t> known_end;
};

}  // namespace fuchsiadrum::budget

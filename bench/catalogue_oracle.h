#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// A catalogue that notes which writers' records were folded.
class NotingCatalogue : public catalogue::Catalogue {
 public:
  using Catalogue::Catalogue;

  Verdict Apply(LogPosition at, const VmRef& writer,
                const pb::Record& record) override;

  /// Folded (edit id, writer) pairs.
  std::set<std::pair<std::string, VmRef>> folded;
  /// First verdict on each edit, also on those that fell out of the history.
  std::map<std::string, catalogue::EditVerdict> verdicts;
};

/// What the states have to be: folds everything that was ever stored, without
/// retention and without a broken rule.
class CatalogueOracle {
 public:
  /// Folds all batches but those in `lost` ranges, which no daemon folded.
  void Fold(const std::deque<std::string>& batches,
            const std::vector<std::pair<uint64_t, uint64_t>>& lost);

  /// Digest after all batches below the offset; nullopt: not reached.
  std::optional<uint64_t> DigestAt(uint64_t offset) const;
  /// Offsets of the batches with accepted edits.
  const std::set<uint64_t>& AcceptedOffsets() const { return this->accepted; }
  const NotingCatalogue& State() const { return this->state; }

 private:
  NotingCatalogue state{{}};
  std::map<uint64_t, uint64_t> digests;
  std::set<uint64_t> accepted;
};

}  // namespace fuchsiadrum::bench

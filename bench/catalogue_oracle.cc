#include "bench/catalogue_oracle.h"

#include <algorithm>

#include "bench/catalogue_daemon.h"
#include "fuchsiadrum/log/replica.h"

namespace fuchsiadrum::bench {

Verdict NotingCatalogue::Apply(LogPosition at, const VmRef& writer,
                               const pb::Record& record) {
  const Verdict verdict = Catalogue::Apply(at, writer, record);
  if (!record.has_catalogue_edit()) return verdict;

  const std::string& id = record.catalogue_edit().edit_id();
  this->folded.emplace(id, writer);
  if (const auto found = this->VerdictOf(id)) {
    this->verdicts.try_emplace(id, *found);
  }
  return verdict;
}

void CatalogueOracle::Fold(
    const std::deque<std::string>& batches,
    const std::vector<std::pair<uint64_t, uint64_t>>& lost) {
  log::Replica replica({.fleet_key = kBenchFleetKey}, {&this->state}, {});
  Outbox out;
  this->digests[0] = replica.Digest();

  for (uint64_t at = 0; at < batches.size(); ++at) {
    const bool is_lost =
        std::any_of(lost.begin(), lost.end(), [&](const auto& range) {
          return at >= range.first && at < range.second;
        });
    const uint64_t before = this->state.Revision();
    replica.OnBatches({}, at, {is_lost ? std::string() : batches[at]}, out);
    if (replica.FoldedOffset() != at + 1) return;

    this->digests[at + 1] = replica.Digest();
    if (this->state.Revision() != before) this->accepted.insert(at);
  }
}

std::optional<uint64_t> CatalogueOracle::DigestAt(uint64_t offset) const {
  const auto found = this->digests.find(offset);
  if (found == this->digests.end()) return std::nullopt;
  return found->second;
}

}  // namespace fuchsiadrum::bench

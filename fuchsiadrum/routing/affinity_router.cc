#include "fuchsiadrum/routing/affinity_router.h"

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::routing {
namespace {

/// The hash that decides: deep enough to tell conversations of one template
/// apart, and not so deep that a new question changes it.
uint64_t DecidingHash(const RequestFeatures& request, Rng& rng) {
  const auto hashes = request.prefix_hashes;
  return hashes.empty() ? rng.Next() : hashes[(hashes.size() - 1) / 2];
}

}  // namespace

std::optional<UpstreamIndex> AffinityRouter::Pick(
    TimePoint /*now*/, const upstream::CandidateGroup& group,
    const RequestFeatures& request) {
  const uint64_t key = DecidingHash(request, this->rng);
  std::optional<UpstreamIndex> choice;
  uint64_t highest = 0;

  for (const UpstreamIndex index : group.all) {
    if (!this->IsEligible(index, request)) continue;
    const uint64_t score = Hash64(this->table.At(index).name, key);
    if (!choice || score > highest) {
      choice = index;
      highest = score;
    }
  }
  return choice;
}

}  // namespace fuchsiadrum::routing

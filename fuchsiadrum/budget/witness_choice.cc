#include "fuchsiadrum/budget/witness_choice.h"

#include <vector>

namespace fuchsiadrum::budget {

std::optional<VmRef> ChooseWitness(const PeerView& peers, TimePoint now,
                                   Duration suspect_after, WitnessRole role,
                                   const std::string& avoid,
                                   const std::string& avoid_too, Rng& rng) {
  std::vector<const VmRef*> preferred;
  std::vector<const VmRef*> others;

  for (const VmInfo& peer : peers.AlivePeers()) {
    if (peer.ref.vm == avoid || peer.ref.vm == avoid_too) continue;
    const auto silent = peers.SilentFor(now, peer.ref);
    if (!silent || *silent > suspect_after) continue;
    const bool same_zone =
        peer.availability_zone == peers.Self().availability_zone;
    const bool fits = same_zone == (role == WitnessRole::kFine);
    (fits ? preferred : others).push_back(&peer.ref);
  }

  const auto& candidates = preferred.empty() ? others : preferred;
  if (candidates.empty()) return std::nullopt;
  return *candidates[rng.Below(candidates.size())];
}

}  // namespace fuchsiadrum::budget

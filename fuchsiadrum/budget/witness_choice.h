#pragma once

#include <optional>
#include <string>

#include "fuchsiadrum/core/agent.h"
#include "fuchsiadrum/core/rng.h"

namespace fuchsiadrum::budget {

/// Which witness of a grant.
enum class WitnessRole { kFine, kCoarse };

/// Chooses a living daemon as witness: for kFine one of this zone if there is
/// any, for kCoarse one of another zone. The daemons named `avoid` are left
/// out; nullopt: there is no candidate.
std::optional<VmRef> ChooseWitness(const PeerView& peers, TimePoint now,
                                   Duration suspect_after, WitnessRole role,
                                   const std::string& avoid,
                                   const std::string& avoid_too, Rng& rng);

}  // namespace fuchsiadrum::budget

#include "fuchsiadrum/serving/liveness_probe.h"

#include <array>

namespace fuchsiadrum::serving {

std::string_view ProbeResultName(ProbeResult result) {
  static constexpr std::array<std::string_view, 3> kNames = {"kept", "reset",
                                                             "failed"};
  return kNames[static_cast<size_t>(result)];
}

std::optional<bool> LivenessProbe::Add(ProbeResult result) {
  if (result != ProbeResult::kReset) return result == ProbeResult::kKept;
  ++this->resets;
  if (this->resets < this->options.min_resets) return std::nullopt;
  return true;
}

}  // namespace fuchsiadrum::serving

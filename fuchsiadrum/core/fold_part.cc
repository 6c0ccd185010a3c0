#include "fuchsiadrum/core/fold_part.h"

#include <array>

namespace fuchsiadrum {

std::string_view VerdictName(Verdict verdict) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "not-mine", "accepted", "duplicate", "rejected"};
  return kNames.at(static_cast<size_t>(verdict));
}

}  // namespace fuchsiadrum

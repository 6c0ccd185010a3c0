#include "fuchsiadrum/node/request_events.h"

#include <array>

namespace fuchsiadrum::node {

std::string_view OutcomeName(Outcome outcome) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "complete", "not-run", "unknown", "failed"};
  return kNames.at(static_cast<size_t>(outcome));
}

}  // namespace fuchsiadrum::node

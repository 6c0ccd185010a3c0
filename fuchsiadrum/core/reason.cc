#include "fuchsiadrum/core/reason.h"

namespace fuchsiadrum {

std::string Reason::ToString() const {
  const std::string where =
      this->peer.empty() ? this->step : this->step + " (" + this->peer + ")";
  return where + ": " + this->text;
}

}  // namespace fuchsiadrum

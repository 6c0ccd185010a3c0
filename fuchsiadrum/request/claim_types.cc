#include "fuchsiadrum/request/claim_types.h"

namespace fuchsiadrum::request {

std::string_view ClaimOutcomeName(ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::kRun:
      return "run";
    case ClaimOutcome::kInProgress:
      return "in-progress";
    case ClaimOutcome::kDone:
      return "done";
    case ClaimOutcome::kUnknown:
      return "unknown";
    case ClaimOutcome::kRefused:
      return "refused";
    case ClaimOutcome::kKeyReused:
      return "key-reused";
    case ClaimOutcome::kKeyMissing:
      return "key-missing";
  }
  return "invalid";
}

}  // namespace fuchsiadrum::request

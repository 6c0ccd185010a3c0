#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fuchsiadrum/catalogue/catalogue.h"
#include "fuchsiadrum/node/request_events.h"

namespace fuchsiadrum::node {

/// What the catalogue says about a request.
struct RequestPlan {
  std::string organisation;
  pb::WorkClass work_class = pb::WORK_CLASS_UNSPECIFIED;
  bool idempotent = true;
  /// Output limit before a cut to the budget.
  Tokens max_output;
  /// Upper bound of the tokens, and the least that is worth a dispatch. Both
  /// 0: the call is not billed.
  Tokens worst_case;
  Tokens minimum;
};

/// A request that is refused before anything ran.
struct Refusal {
  int status = 400;
  std::string step;
  std::string reason;
};

/// Authenticates a request and looks up its model or service call.
std::variant<RequestPlan, Refusal> MakePlan(
    const catalogue::Catalogue& catalogue, const RequestStart& request);

}  // namespace fuchsiadrum::node

#include "fuchsiadrum/node/request_plan.h"

#include <algorithm>

namespace fuchsiadrum::node {
namespace {

/// A completion may be cut to the budget down to this share of its limit;
/// a shorter one would be of no use to the caller.
constexpr int64_t kLeastOutputDivisor = 2;

std::optional<Refusal> CheckClass(const pb::Organisation& organisation,
                                  pb::WorkClass work_class) {
  const auto& allowed = organisation.allowed_classes();
  if (allowed.empty() ||
      std::find(allowed.begin(), allowed.end(), work_class) != allowed.end()) {
    return std::nullopt;
  }
  return Refusal{403, "authorise", "the organisation may not use this class"};
}

std::optional<Refusal> PlanModel(const catalogue::Catalogue& catalogue,
                                 const RequestStart& request,
                                 RequestPlan& plan) {
  const pb::Model* model = catalogue.FindModel(request.model);
  if (model == nullptr) {
    return Refusal{404, "route", "unknown model " + request.model};
  }
  if (model->max_prompt_tokens() > 0 &&
      request.prompt_bound > Tokens(model->max_prompt_tokens())) {
    return Refusal{413, "route", "the prompt is too long for the model"};
  }

  const Tokens limit(model->max_output_tokens());
  plan.max_output = request.max_output.count > 0 ? request.max_output : limit;
  if (limit.count > 0) plan.max_output = std::min(plan.max_output, limit);
  if (plan.max_output.count <= 0) {
    return Refusal{400, "route", "max_tokens is missing"};
  }
  plan.work_class = request.work_class != pb::WORK_CLASS_UNSPECIFIED
                        ? request.work_class
                        : model->default_class();
  plan.worst_case = request.prompt_bound + plan.max_output;
  plan.minimum = request.may_cap_output
                     ? request.prompt_bound +
                           Tokens(std::max<int64_t>(
                               1, plan.max_output.count / kLeastOutputDivisor))
                     : plan.worst_case;
  return std::nullopt;
}

std::optional<Refusal> PlanCall(const catalogue::Catalogue& catalogue,
                                const RequestStart& request,
                                RequestPlan& plan) {
  const pb::ServiceCall* call =
      catalogue.FindCall(request.service, request.method, request.path);
  if (call == nullptr) {
    return Refusal{404, "route", "unknown service call"};
  }
  plan.idempotent = call->idempotent();
  plan.work_class = call->work_class();
  return std::nullopt;
}

}  // namespace

std::variant<RequestPlan, Refusal> MakePlan(
    const catalogue::Catalogue& catalogue, const RequestStart& request) {
  if (request.bearer.empty()) {
    return Refusal{401, "authenticate", "a caller key is missing"};
  }
  const auto organisation = catalogue.OrganisationOfKey(request.bearer);
  if (!organisation) {
    return Refusal{401, "authenticate", "the caller key is not known"};
  }
  RequestPlan plan;
  plan.organisation = *organisation;
  auto refusal = request.service.empty() ? PlanModel(catalogue, request, plan)
                                         : PlanCall(catalogue, request, plan);
  if (!refusal) {
    const pb::Organisation* entry = catalogue.FindOrganisation(*organisation);
    if (entry != nullptr) refusal = CheckClass(*entry, plan.work_class);
  }
  if (!refusal && !plan.idempotent && request.idempotency_key.empty()) {
    refusal = Refusal{400, "claim",
                      "this call may not be repeated and needs an "
                      "Idempotency-Key"};
  }
  if (refusal) return *refusal;
  return plan;
}

}  // namespace fuchsiadrum::node

#include "fuchsiadrum/report/objective_table.h"

namespace fuchsiadrum::report {

void ObjectiveTable::Set(const std::vector<pb::Objective>& objectives) {
  this->limits.clear();
  for (const pb::Objective& objective : objectives) {
    this->limits[{objective.organisation(),
                  static_cast<int>(objective.work_class())}] = {
        .first_token_ms = objective.first_token_ms(),
        .between_tokens_ms = objective.between_tokens_ms(),
        .target_ratio = objective.target_ratio()};
  }
}

ObjectiveLimits ObjectiveTable::Find(std::string_view organisation,
                                     pb::WorkClass work_class) const {
  const std::string name(organisation);
  const int any = pb::WORK_CLASS_UNSPECIFIED;
  for (const auto& key :
       {std::pair{name, static_cast<int>(work_class)},
        std::pair{std::string(), static_cast<int>(work_class)},
        std::pair{name, any}, std::pair{std::string(), any}}) {
    const auto found = this->limits.find(key);
    if (found != this->limits.end()) return found->second;
  }
  return {};
}

}  // namespace fuchsiadrum::report

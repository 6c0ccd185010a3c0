#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "schema/catalogue.pb.h"

namespace fuchsiadrum::report {

/// Limits that a request is judged by.
struct ObjectiveLimits {
  uint32_t first_token_ms = 0;     // 0: no objective
  uint32_t between_tokens_ms = 0;  // 0: no objective
  double target_ratio = 0.95;
};

/// The objectives of the catalogue, looked up by organisation and class.
class ObjectiveTable {
 public:
  /// Replaces all objectives.
  void Set(const std::vector<pb::Objective>& objectives);
  /// The most specific objective: organisation and class, class of all
  /// organisations, organisation of all classes, all; else limits of 0.
  ObjectiveLimits Find(std::string_view organisation,
                       pb::WorkClass work_class) const;

 private:
  std::map<std::pair<std::string, int>, ObjectiveLimits> limits;
};

}  // namespace fuchsiadrum::report

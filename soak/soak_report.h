#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "soak/soak_run.h"

namespace fuchsiadrum::soak {

/// Counts what a run found and prints it.
class SoakReport {
 public:
  SoakReport(const SoakOptions& opts, const SoakRun& soak_run);

  /// Number of violations whose rule and cause are not among these known ones,
  /// each "RULE:cause".
  int CountUnknown(const std::vector<std::string>& known) const;

  nlohmann::json ToJson() const;
  /// One line on the run, and the traces of the first violations of each rule
  /// and fault.
  void Print(std::ostream& out) const;

 private:
  /// Names of the upstreams' faults that the request of a violation met.
  std::string FaultsOf(const Violation& violation) const;
  /// Name of the fault to which a violation is put down: the last that the
  /// request met for a wrong answer, else the first that neither is sound nor
  /// proves a refusal.
  std::string CauseOf(const Violation& violation) const;
  void PrintTrace(std::ostream& out, const Violation& violation) const;

  SoakOptions options;
  const SoakRun& run;
  /// Violations by rule, and by rule and fault.
  std::map<std::string, int> by_rule;
  std::map<std::string, std::map<std::string, int>> by_fault;
  /// Requests by status, and the runs of all.
  std::map<std::string, int> by_status;
  int runs = 0;
  /// Take-ups of streams that were sent, went on, and were refused.
  int take_ups = 0;
  int take_ups_on = 0;
  int take_ups_refused = 0;
};

}  // namespace fuchsiadrum::soak

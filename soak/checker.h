#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "soak/observations.h"
#include "soak/process_faults.h"

namespace fuchsiadrum::soak {

/// Promises of the platform's rules, and those of service.
enum class Rule {
  kRefused,  // answered with a promise, and ran
  kTwice,    // may run once only, and ran more often
  kMixed,    // an answer that is not the upstream's whole one
  kOrder,    // events missing, doubled or joined
  kUnasked,  // ran otherwise than the caller sent it
  kLost,     // read in a planned stop, in calm, and not answered
  kClosed,   // passed on in calm, and not answered
  kService,  // refused with a proof, and neither repeated nor refused
  kRecover,  // a probe after the last fault was not served in time
  kProcess,  // a gateway ended by itself or did not end in its grace
  kBudget,   // requests with a part that ends upstreams were sent on and on
  kConfig,   // denied by a configuration that is no longer in force
};
constexpr int kRuleCount = 12;

std::string_view RuleName(Rule rule);

/// One broken promise.
struct Violation {
  Rule rule = Rule::kRefused;
  /// Id of the request; empty if it concerns none.
  std::string id;
  std::string detail;
  /// Name of what caused it, if that is none of the upstreams' faults.
  std::string cause = {};
};

/// Judges the requests from what callers and upstreams saw and from what was
/// done to the gateways.
class Checker {
 public:
  Checker(const Observations& observations, const Gateways& gateway_processes)
      : seen(observations), gateways(gateway_processes) {}

  std::vector<Violation> Check();

 private:
  void CheckRuns(const std::string& id, const RequestRecord& request);
  void CheckAnswer(const std::string& id, const RequestRecord& request);
  void CheckBody(const std::string& id, const RequestRecord& request);
  void CheckLost(const std::string& id, const RequestRecord& request);
  void CheckBadPart();
  /// Judges streams, each with all of its take-ups.
  void CheckVersions();
  void CheckConfig(const std::string& id, const RequestRecord& request);
  void CheckService(const std::string& id, const RequestRecord& request);
  /// Name of the last signal to a gateway before that time.
  static std::string LastSignal(const GatewayProcess& process, TimePoint time);
  void Add(Rule rule, const std::string& id, std::string detail);

  const Observations& seen;
  const Gateways& gateways;
  std::vector<Violation> violations;
};

}  // namespace fuchsiadrum::soak

#include "soak/soak_report.h"

#include <algorithm>
#include <array>

namespace fuchsiadrum::soak {
namespace {

constexpr int kTracesPerKind = 2;

}  // namespace

SoakReport::SoakReport(const SoakOptions& opts, const SoakRun& soak_run)
    : options(opts), run(soak_run) {
  for (const Violation& violation : soak_run.Violations()) {
    const std::string rule(RuleName(violation.rule));
    ++this->by_rule[rule];
    ++this->by_fault[rule][this->CauseOf(violation)];
  }
  for (const auto& [id, request] : soak_run.Requests()) {
    ++this->by_status[std::to_string(request.result.status)];
    this->runs += request.runs;
    const CallerResult& result = request.result;
    if (result.last_event == 0 || result.sent == TimePoint()) continue;
    constexpr unsigned int kFirstFailure = 400;
    ++this->take_ups;
    // A stream may have been cut after its last event.
    const bool goes_on = result.is_whole || !result.body.empty();
    if (result.status == 200 && goes_on) ++this->take_ups_on;
    if (result.status >= kFirstFailure) ++this->take_ups_refused;
  }
}

int SoakReport::CountUnknown(const std::vector<std::string>& known) const {
  int count = 0;
  for (const auto& [rule, causes] : this->by_fault) {
    for (const auto& [cause, violations] : causes) {
      std::string kind = rule;
      kind.append(":").append(cause);
      if (std::ranges::find(known, kind) == known.end()) count += violations;
    }
  }
  return count;
}

nlohmann::json SoakReport::ToJson() const {
  nlohmann::json signals;
  for (const ProcessEvent event :
       {ProcessEvent::kStop, ProcessEvent::kKill, ProcessEvent::kPause,
        ProcessEvent::kReload}) {
    signals[std::string(ProcessEventName(event))] =
        this->run.CountEvents(event);
  }
  return {{"seed", this->options.seed},
          {"requests", this->run.Requests().size()},
          {"runs", this->runs},
          {"statuses", this->by_status},
          {"signals", signals},
          {"upstream_ends", this->run.Ends()},
          {"take_ups", this->take_ups},
          {"take_ups_on", this->take_ups_on},
          {"take_ups_refused", this->take_ups_refused},
          {"restores", this->run.Restores()},
          {"violations", this->by_rule},
          {"by_fault", this->by_fault}};
}

void SoakReport::Print(std::ostream& out) const {
  out << "seed " << this->options.seed << ": " << this->run.Requests().size()
      << " requests, " << this->runs << " runs, "
      << this->run.CountEvents(ProcessEvent::kStop) << " stops, "
      << this->run.CountEvents(ProcessEvent::kKill) << " kills, "
      << this->run.CountEvents(ProcessEvent::kPause) << " pauses, "
      << this->run.Ends() << " upstream ends, " << this->run.Restores()
      << " restores, take-ups " << this->take_ups << " sent, "
      << this->take_ups_on << " went on, " << this->take_ups_refused
      << " refused, ";
  if (this->by_rule.empty()) out << "no promise broken";
  for (const auto& [rule, count] : this->by_rule) {
    out << rule << " " << count << " ";
  }
  out << "\n";
  std::map<std::string, int> printed;
  for (const Violation& violation : this->run.Violations()) {
    const std::string kind =
        std::string(RuleName(violation.rule)) + " " + this->CauseOf(violation);
    if (++printed[kind] <= kTracesPerKind) this->PrintTrace(out, violation);
  }
}

std::string SoakReport::FaultsOf(const Violation& violation) const {
  const auto found = this->run.Requests().find(violation.id);
  if (found == this->run.Requests().end()) return "-";
  std::string names;
  for (const UpstreamFault fault : found->second.faults) {
    if (!names.empty()) names += " + ";
    names += UpstreamFaultName(fault);
  }
  return names.empty() ? "-" : names;
}

std::string SoakReport::CauseOf(const Violation& violation) const {
  if (!violation.cause.empty()) return violation.cause;
  const auto found = this->run.Requests().find(violation.id);
  if (found == this->run.Requests().end()) return "-";
  const std::vector<UpstreamFault>& faults = found->second.faults;
  // What came last made the answer.
  const bool is_of_answer =
      violation.rule == Rule::kMixed || violation.rule == Rule::kOrder;
  if (is_of_answer && !faults.empty()) {
    return std::string(UpstreamFaultName(faults.back()));
  }
  const auto cause = std::ranges::find_if(faults, [](UpstreamFault fault) {
    return !IsSound(fault) && !IsProvedRefusal(fault);
  });
  if (cause != faults.end()) return std::string(UpstreamFaultName(*cause));
  return faults.empty() ? "-" : std::string(UpstreamFaultName(faults.front()));
}

void SoakReport::PrintTrace(std::ostream& out,
                            const Violation& violation) const {
  out << RuleName(violation.rule) << " " << violation.id << ": "
      << violation.detail << "; faults: " << this->FaultsOf(violation) << "\n";
  for (const std::string& line : this->run.TraceOf(violation.id)) {
    out << "    " << line << "\n";
  }
  out << "  repeat: fuchsiadrum-soak --gateway "
      << this->options.gateway_program << " --seed " << this->options.seed
      << " --seconds " << this->options.seconds << " --gateways "
      << this->options.gateways << " --upstreams " << this->options.upstreams
      << " --callers " << this->options.callers << " --long-callers "
      << this->options.long_callers << "\n";
}

}  // namespace fuchsiadrum::soak

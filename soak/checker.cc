#include "soak/checker.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "fuchsiadrum/core/duration.h"
#include "soak/wire.h"

namespace fuchsiadrum::soak {
namespace {

/// Bounds of the platform's sheets.
constexpr Duration kContact = std::chrono::milliseconds(3000);
constexpr Duration kLossSlack = std::chrono::milliseconds(200);
/// A request that is sent later than this after SIGTERM may not be cut, however
/// long its upstream is at work.
constexpr Duration kBalancerTime = std::chrono::seconds(3);
/// Time after an acknowledgement, and after the store was away, in which a
/// version of the configuration has to be in force.
constexpr Duration kConfigApply = std::chrono::milliseconds(2500);
constexpr double kLateGraceFraction = 5.0 / 6;
/// Ends of upstreams after which a part is known, and requests with it that may
/// be sent later than kContact after them.
constexpr size_t kCrashesOfRule = 5;
constexpr int kMaxLateSends = 3;
/// Closed connections that are allowed in calm.
constexpr int kMaxClosed = 3;

/// What was done to a gateway around a request.
struct Surroundings {
  bool was_disturbed = false;
  std::optional<TimePoint> stopped_at;
};

Surroundings Around(const GatewayProcess& process, TimePoint begun,
                    TimePoint ended) {
  Surroundings around;
  const Duration grace = FromSeconds(process.Options().grace_s);
  for (const auto& [at, event] : process.History()) {
    if (at > ended) break;
    if (event == ProcessEvent::kStop && begun - at < grace) {
      around.stopped_at = at;
    }
    const bool is_planned = event == ProcessEvent::kStop ||
                            event == ProcessEvent::kReload ||
                            event == ProcessEvent::kExit;
    if (!is_planned && begun - at < kContact) around.was_disturbed = true;
  }
  return around;
}

/// True if the stop was over before the request could be answered, as the rule
/// allows it.
bool IsExcusedByGrace(const RequestRecord& request, TimePoint stopped_at,
                      Duration grace) {
  const Duration late =
      std::chrono::duration_cast<Duration>(grace * kLateGraceFraction);
  const bool at_work =
      request.run_ended == TimePoint() || request.run_ended > stopped_at + late;
  return request.runs > 0 && at_work &&
         request.result.sent <= stopped_at + kBalancerTime;
}

}  // namespace

std::string_view RuleName(Rule rule) {
  static constexpr std::array<std::string_view, kRuleCount> kNames = {
      "REFUSED", "TWICE",   "MIXED",   "ORDER",   "UNASKED", "LOST",
      "CLOSED",  "SERVICE", "RECOVER", "PROCESS", "BUDGET",  "CONFIG"};
  return kNames[static_cast<size_t>(rule)];
}

std::vector<Violation> Checker::Check() {
  this->violations.clear();
  for (const auto& [id, request] : this->seen.All()) {
    this->CheckRuns(id, request);
    this->CheckAnswer(id, request);
    this->CheckLost(id, request);
    this->CheckService(id, request);
    this->CheckConfig(id, request);
  }
  this->CheckBadPart();
  this->CheckVersions();
  const auto is_closed = [](const Violation& violation) {
    return violation.rule == Rule::kClosed;
  };
  if (std::ranges::count_if(this->violations, is_closed) <= kMaxClosed) {
    std::erase_if(this->violations, is_closed);
  }
  return this->violations;
}

void Checker::CheckRuns(const std::string& id, const RequestRecord& request) {
  if (request.was_changed) {
    this->Add(Rule::kUnasked, id, "ran with another body");
  }
  if (TraitsOf(request.result.route).IsIdempotent()) return;
  const std::string runs = "ran " + std::to_string(request.runs) + " times";
  if (request.runs > 1) this->Add(Rule::kTwice, id, runs);
  if (request.runs > 0 && IsPromise(request.result.status)) {
    this->Add(
        Rule::kRefused, id,
        "answered " + std::to_string(request.result.status) + ", " + runs);
  }
}

void Checker::CheckAnswer(const std::string& id, const RequestRecord& request) {
  const CallerResult& result = request.result;
  if (result.has_extra) this->Add(Rule::kMixed, id, "bytes after the answer");
  if (result.status == 0) return;
  if (!result.named_id.empty() && result.named_id != id) {
    this->Add(Rule::kMixed, id, "the answer names " + result.named_id);
  }
  const auto made = request.signatures.find(result.signature);
  const bool is_success = result.status >= 200 && result.status < 300;
  if (!result.signature.empty() &&
      (made == request.signatures.end() || made->second != result.status)) {
    this->Add(Rule::kMixed, id, "another answer has this signature");
  }
  if (!is_success) return;
  if (result.signature.empty()) {
    this->Add(Rule::kMixed, id, "a success without signature");
  }
  this->CheckBody(id, request);
}

void Checker::CheckBody(const std::string& id, const RequestRecord& request) {
  const CallerResult& result = request.result;
  const std::set<std::string> versions = VersionsIn(result.body);
  // CheckVersions judges these.
  if (versions.size() > 1) return;
  // Versions have names of the same length.
  const std::string expected =
      AnswerBody(result.route, id, versions.empty() ? "v1" : *versions.begin(),
                 result.last_event);
  const Rule rule =
      TraitsOf(result.route).is_stream ? Rule::kOrder : Rule::kMixed;
  const std::string sizes = std::to_string(result.body.size()) + " of " +
                            std::to_string(expected.size()) + " bytes";
  // Nothing told the gateway that more was due, and it has told its caller no
  // more than it knew.
  const bool is_stream = TraitsOf(result.route).is_stream;
  const bool is_as_received = request.was_closed_early &&
                              result.ends_with_connection &&
                              expected.starts_with(result.body) &&
                              (!is_stream || result.body.ends_with("\n\n"));
  if (result.is_whole && is_as_received) return;
  if (result.is_whole && result.body != expected) {
    this->Add(rule, id, "looks whole with " + sizes);
    return;
  }
  // An answer that is seen to be cut may end anywhere in what an upstream
  // wrote.
  const bool is_of_upstream =
      expected.starts_with(result.body) ||
      std::ranges::any_of(request.odd_bodies, [&](const std::string& body) {
        return body.starts_with(result.body);
      });
  if (!is_of_upstream) {
    this->Add(rule, id, "other bytes, cut after " + sizes);
  }
}

void Checker::CheckLost(const std::string& id, const RequestRecord& request) {
  const CallerResult& result = request.result;
  if (result.sent == TimePoint() || result.gave_up || result.is_whole) return;
  if (!std::ranges::all_of(request.faults, IsSound)) return;
  const GatewayProcess& process = *this->gateways[result.gateway];
  const Surroundings around = Around(process, result.begun, result.ended);
  if (around.was_disturbed) return;
  const bool was_passed_on = !request.faults.empty();
  if (!was_passed_on && result.ended - result.sent <= kLossSlack) return;

  const std::string detail =
      std::string(was_passed_on ? "passed on" : "not passed on") +
      ", the connection ended after " +
      std::to_string(ToMilliseconds(result.ended - result.sent)) + " ms";
  if (request.has_upstream_ended) {
    this->Add(Rule::kLost, id, detail);
    this->violations.back().cause = "ended-upstream";
    return;
  }
  if (!around.stopped_at) return this->Add(Rule::kClosed, id, detail);
  const Duration grace = FromSeconds(process.Options().grace_s);
  if (IsExcusedByGrace(request, *around.stopped_at, grace)) return;
  this->Add(
      Rule::kLost, id,
      detail + ", sent " +
          std::to_string(ToMilliseconds(result.sent - *around.stopped_at)) +
          " ms after SIGTERM");
  this->violations.back().cause = LastSignal(process, result.ended);
}

std::string Checker::LastSignal(const GatewayProcess& process, TimePoint time) {
  std::string name;
  for (const auto& [at, event] : process.History()) {
    if (at > time || event == ProcessEvent::kExit) continue;
    name = ProcessEventName(event);
  }
  return name;
}

void Checker::CheckBadPart() {
  // Each arrival of a request with the part ends an upstream.
  const auto& arrivals = this->seen.BadArrivals();
  if (arrivals.size() < kCrashesOfRule) return;
  const TimePoint bound = arrivals[kCrashesOfRule - 1].first + kContact;
  int late = 0;
  for (const auto& [at, id] : arrivals) {
    const auto found = this->seen.All().find(id);
    if (at <= bound || found == this->seen.All().end()) continue;
    const CallerResult& result = found->second.result;
    const GatewayProcess& process = *this->gateways[result.gateway];
    if (Around(process, result.begun, at).was_disturbed) continue;
    if (++late > kMaxLateSends) {
      this->Add(Rule::kBudget, id,
                "sent although upstreams had ended under " +
                    std::to_string(arrivals.size()) + " of its kind");
    }
  }
}

void Checker::CheckService(const std::string& id,
                           const RequestRecord& request) {
  const CallerResult& result = request.result;
  if (result.status == 0 || request.faults.empty()) return;
  if (!std::ranges::all_of(request.faults, IsProvedRefusal)) return;
  if (IsPromise(result.status)) return;
  this->Add(
      Rule::kService, id,
      "refused by all upstreams, answered " + std::to_string(result.status));
}

void Checker::CheckVersions() {
  std::map<std::string, std::set<std::string>> streams;
  std::set<std::string> joined;
  for (const auto& [id, request] : this->seen.All()) {
    if (!TraitsOf(request.result.route).is_stream) continue;
    std::set<std::string>& versions = streams[StreamOf(id)];
    versions.merge(VersionsIn(request.result.body));
    if (versions.size() < 2 || !joined.insert(StreamOf(id)).second) continue;
    this->Add(Rule::kOrder, id, "events of two software versions");
    this->violations.back().cause = "joined-versions";
  }
}

void Checker::CheckConfig(const std::string& id, const RequestRecord& request) {
  const CallerResult& result = request.result;
  // An upstream's own answer has arrived there.
  if (!IsDenial(result.status) || !request.faults.empty()) return;
  const auto& versions = this->seen.Versions();
  const Duration age =
      result.begun - versions[static_cast<size_t>(result.added) - 1];
  if (age <= kConfigApply) return;
  for (const auto& [away, back] : this->seen.StoreAway()) {
    if (result.ended >= away && result.begun <= back + kConfigApply) return;
  }
  this->Add(Rule::kConfig, id,
            "answered " + std::to_string(result.status) + " by gateway " +
                std::to_string(result.gateway) + ", the route of version " +
                std::to_string(result.added) + " was acknowledged " +
                std::to_string(ToMilliseconds(age)) + " ms before");
  this->violations.back().cause = "stale-config";
}

void Checker::Add(Rule rule, const std::string& id, std::string detail) {
  this->violations.push_back(
      {.rule = rule, .id = id, .detail = std::move(detail)});
}

}  // namespace fuchsiadrum::soak

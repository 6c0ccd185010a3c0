#include "soak/observations.h"

#include <utility>

#include "gateway/clock.h"

namespace fuchsiadrum::soak {

using gateway::Now;

void Observations::AddLine(const std::string& id, std::string text) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].lines.push_back({.at = Now(), .text = std::move(text)});
}

void Observations::AddArrival(const std::string& id, UpstreamFault fault,
                              const std::string& text) {
  const std::lock_guard lock(this->mutex);
  RequestRecord& request = this->requests[id];
  request.faults.push_back(fault);
  request.lines.push_back({.at = Now(), .text = text});
}

void Observations::AddRun(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  RequestRecord& request = this->requests[id];
  ++request.runs;
  request.lines.push_back(
      {.at = Now(), .text = "upstream: run " + std::to_string(request.runs)});
}

void Observations::AddRunEnd(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].run_ended = Now();
}

void Observations::AddSignature(const std::string& id,
                                const std::string& signature,
                                unsigned int status) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].signatures[signature] = status;
}

void Observations::AddOddBody(const std::string& id, const std::string& body) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].odd_bodies.push_back(body);
}

void Observations::AddBadArrival(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->bad_arrivals.emplace_back(Now(), id);
  this->requests[id].faults.push_back(UpstreamFault::kEnd);
}

void Observations::AddEarlyClose(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].was_closed_early = true;
}

void Observations::AddUpstreamEnd(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].has_upstream_ended = true;
}

void Observations::AddChange(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->requests[id].was_changed = true;
}

void Observations::AddVersion() {
  const std::lock_guard lock(this->mutex);
  this->versions.push_back(Now());
}

int Observations::NewestVersion() {
  const std::lock_guard lock(this->mutex);
  return static_cast<int>(this->versions.size());
}

void Observations::AddStoreAway() {
  const std::lock_guard lock(this->mutex);
  this->store_away.emplace_back(Now(), Now());
}

void Observations::AddStoreBack() {
  const std::lock_guard lock(this->mutex);
  this->store_away.back().second = Now();
}

void Observations::AddResult(const std::string& id, CallerResult result) {
  const std::lock_guard lock(this->mutex);
  RequestRecord& request = this->requests[id];
  std::string text = "caller: status " + std::to_string(result.status);
  if (result.status != 0 && !result.is_whole) text += ", cut";
  if (result.gave_up) text += ", gave up";
  request.lines.push_back({.at = Now(), .text = std::move(text)});
  request.result = std::move(result);
}

}  // namespace fuchsiadrum::soak

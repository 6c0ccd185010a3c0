#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiadrum/serving/attempt_policy.h"
#include "fuchsiadrum/serving/caller_request.h"
#include "fuchsiadrum/serving/serving_config.h"

namespace fuchsiadrum::gateway {

/// One request while it is served: what the caller asked for, what the
/// configuration says about it, and what has ended it early.
struct ActiveRequest {
  ActiveRequest(serving::CallerRequest caller_request,
                serving::ServingConfigPtr current_config);
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

  /// Sets the service that the request is for, one of its route's.
  void SetService(const std::string& name);
  /// Priority of the request; 0 is the most urgent.
  int Priority() const;
  /// Time until the caller's time limit or the route's timeout, whichever ends
  /// first. Unlike `deadline` it includes no slack for a late answer.
  Duration TimeLeft() const;
  /// Outcome of an attempt whose exchange broke off: kCallerGone if the caller
  /// has left, else kBrokenMidway if part of the answer has been sent to it
  /// (`has_begun`), else kTimedOut if the deadline has passed, else kBroken.
  serving::AttemptOutcome BrokenOutcome(bool has_begun) const;

  /// Parts of the prompt that other requests may share: all but the last.
  std::vector<uint64_t> SharedParts() const;
  /// Hash of the organisation's name, 0 without one.
  uint64_t OrganisationHash() const;

  /// Shared with the upstream connection, which sends the body from it.
  std::shared_ptr<const serving::CallerRequest> shared_request;
  const serving::CallerRequest& request;
  serving::ServingConfigPtr config;
  const serving::Route* route = nullptr;
  const serving::Organisation* organisation = nullptr;
  /// Name of the chosen service, and the traits of its model engines; empty if
  /// its upstreams are not model engines.
  std::string service;
  std::optional<serving::EngineTraits> engine;
  TimePoint arrived;
  TimePoint deadline;
  bool caller_gone = false;
  bool timed_out = false;
  /// True if a stop of the gateway has ended the request.
  bool stopped = false;
  /// The last decision whether the stopping gateway may send the request;
  /// nullopt: none was made. A repeated decision is not logged again.
  std::optional<bool> logged_stop_decision;
};

}  // namespace fuchsiadrum::gateway

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "fuchsiadrum/serving/prompt_quarantine.h"
#include "gateway/active_request.h"
#include "gateway/gateway_answer.h"
#include "gateway/gateway_core.h"
#include "gateway/http_connection.h"
#include "gateway/upstream_attempt.h"

namespace fuchsiadrum::gateway {

/// How far an attempt had come when its exchange broke off.
struct AttemptProgress {
  bool has_head = false;
  /// Events of a stream that it had relayed.
  int events = 0;
};

/// Asks serving::PromptQuarantine for one request whether its prompt may run,
/// and tells it how its attempts end.
class PromptGuard {
 public:
  PromptGuard(GatewayCore& gateway_core, const ActiveRequest& active_request)
      : core(gateway_core), active(active_request) {}
  ~PromptGuard();
  PromptGuard(const PromptGuard&) = delete;
  PromptGuard& operator=(const PromptGuard&) = delete;

  /// Returns the answer if the request may not be sent now. `runs`: number of
  /// attempts that may have run it.
  std::optional<GatewayAnswer> HoldBack(int runs);
  /// The request is about to be sent.
  void OnSend();
  /// The attempt's answer goes on, or has ended well.
  void OnSound(const UpstreamAttempt& attempt);
  /// The upstream whose answer ended last takes no connections any more.
  void OnUpstreamLost() { this->is_upstream_lost = true; }
  /// The attempt's exchange broke off.
  void OnBroken(const UpstreamAttempt& attempt,
                const HttpConnection& connection,
                const AttemptProgress& progress);
  /// True unless the last attempt may have ended its upstream.
  bool MayRepeat() const;

 private:
  GatewayCore& core;
  const ActiveRequest& active;
  std::vector<uint64_t> parts;
  /// What the request holds of a suspicion or a trial.
  serving::QuarantineCheck check;
  uint64_t mark = 0;
  bool is_upstream_lost = false;
  /// The last attempt that broke off may have ended its upstream, which had
  /// begun to answer it.
  bool may_have_crashed_upstream = false;
};

}  // namespace fuchsiadrum::gateway

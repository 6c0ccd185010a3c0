#pragma once

#include <string>

#include "daemon/daemon_metrics.h"
#include "fuchsiadrum/serving/answer_fault.h"

namespace fuchsiadrum::daemon {

/// Logs and counts answers of servers that are malformed. Thread-safe.
class AnswerFaultLog {
 public:
  explicit AnswerFaultLog(DaemonMetrics& daemon_metrics)
      : metrics(daemon_metrics) {}

  /// `address`: that of the server, "IP:port".
  void Count(const std::string& address, serving::AnswerFault fault);

 private:
  DaemonMetrics& metrics;
};

}  // namespace fuchsiadrum::daemon

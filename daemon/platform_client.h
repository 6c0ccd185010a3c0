#pragma once

#include <memory>
#include <string>

#include "daemon/daemon_metrics.h"
#include "daemon/http_call.h"
#include "daemon/http_message.h"
#include "daemon/messages.h"

namespace fuchsiadrum::daemon {

/// One connection to the platform, made anew when it fails.
class PlatformChannel {
 public:
  PlatformChannel(std::string platform_address, asio::io_context& io_context,
                  DaemonMetrics& daemon_metrics)
      : address(std::move(platform_address)),
        context(io_context),
        faults(daemon_metrics) {}

  /// Sends the request and calls the handler with its answer.
  void Call(std::string_view method, const std::string& target,
            std::string_view body, const HttpCallLimits& limits,
            HttpCall::OnAnswer handler);

 private:
  std::string address;
  asio::io_context& context;
  AnswerFaultLog faults;
  std::shared_ptr<HttpClientConnection> connection;
};

/// Client of the platform's log and VM list, in the log thread. One read, one
/// append and one poll of the list are in flight at most.
class PlatformClient {
 public:
  PlatformClient(const pb::PlatformSettings& settings,
                 asio::io_context& io_context, Ring<ToLog>& from_control,
                 Ring<FromLog>& to_control, DaemonMetrics& daemon_metrics);

  /// Starts to poll the VM list.
  void Start() { this->PollVms(); }

 private:
  void OnOrder(const ToLog& order);
  void Read(uint64_t from);
  void OnRead(uint64_t from, const HttpAnswer& answer);
  void Append(const std::string& batch);
  void PollVms();
  void OnVms(const HttpAnswer& answer);

  std::string records_target;
  HttpCallLimits limits;
  uint64_t wait_ms = 0;
  bool last_read_failed = false;
  RingSender<FromLog> sender;
  DaemonMetrics& metrics;
  asio::steady_timer read_timer;
  asio::steady_timer vms_timer;
  PlatformChannel reader;
  PlatformChannel appender;
  PlatformChannel vm_list;
};

}  // namespace fuchsiadrum::daemon

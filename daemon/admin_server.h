#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/admin_connection.h"
#include "daemon/client_share.h"
#include "daemon/control.h"
#include "daemon/http_listener.h"

namespace fuchsiadrum::daemon {

/// The operators' HTTP server, in the admin thread.
class AdminServer {
 public:
  AdminServer(const pb::AdminSettings& settings, asio::io_context& io_context,
              Ring<FromAdmin>& to_control, const Control& control_part,
              DaemonMetrics& daemon_metrics);

  /// Opens "IP:port"; otherwise the reason. Call it before the thread starts.
  std::string Open(const std::string& address);
  /// Address in use.
  settings::Endpoint Address() const { return this->listener.Address(); }

  // For AdminConnection. The handlers run in the admin thread while the
  // connection exists; false if the ring is full.
  bool Ask(AdminConnection& connection, StatusCall call,
           std::function<void(std::string)> handler);
  bool Pass(AdminConnection& connection, AdminCall call,
            std::function<void(node::Node::AdminAnswer)> handler);
  /// False if the control thread has not ticked for some seconds.
  bool IsControlAlive() const;
  /// Metrics of the daemon itself.
  std::string DaemonText() const { return this->metrics.Text(); }
  void CountBadInput(const BadInput& input);

 private:
  void OnSocket(Tcp::socket socket);

  asio::io_context& context;
  Ring<FromAdmin>& ring;
  const Control& control;
  DaemonMetrics& metrics;
  std::shared_ptr<ClientShare> share;
  HttpListener listener;
};

}  // namespace fuchsiadrum::daemon

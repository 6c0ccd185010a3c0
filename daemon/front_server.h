#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

#include "daemon/client_share.h"
#include "daemon/daemon_metrics.h"
#include "daemon/front_connection.h"
#include "daemon/http_listener.h"
#include "daemon/messages.h"
#include "daemon/request_reader.h"

namespace fuchsiadrum::daemon {

/// Options of the front.
struct FrontOptions {
  pb::FrontSettings settings;
  /// Makes request ids unique in the fleet.
  VmRef self;
};

/// The callers' HTTP server. Everything but Drain and InFlight runs in the
/// front thread.
class FrontServer {
 public:
  FrontServer(FrontOptions front_options, asio::io_context& io_context,
              Ring<FromFront>& to_control, DaemonMetrics& daemon_metrics);

  /// Opens the callers' address; otherwise the reason. Call it before the
  /// thread starts.
  std::string Open();
  /// Address in use.
  settings::Endpoint Address() const { return this->listener.Address(); }
  /// The node's reply to a request.
  void OnReply(ToFront action);

  /// From now on new requests are refused as not run. Any thread.
  void StopNewWork();
  /// Ends all open requests with an explicit error. Any thread.
  void CutAll();
  /// Requests without their whole answer. Any thread.
  size_t InFlight() const { return this->in_flight; }

  // For FrontConnection.
  asio::io_context& Context() { return this->context; }
  RequestReader& Reader() { return this->reader; }
  bool IsClosing() const { return this->closing; }
  /// A new X-Request-Id.
  std::string NewRequestId();
  /// Hands the request to the control thread; false if the ring is full.
  bool Submit(const CallerRequestPtr& request,
              std::weak_ptr<FrontConnection> connection);
  /// Hands a call to the control thread; false if the ring is full.
  bool Call(AdminCall call);
  /// The request got its whole answer.
  void Forget(const CallerRequest& request);
  /// The caller closed its connection before that.
  void Gone(const CallerRequest& request);
  DaemonMetrics::ConnectionCount Connections() const {
    return this->metrics.Connections();
  }
  void CountBadInput(const BadInput& input);
  void CountCut(const char* cause);
  void RecordFirstToken(Duration added);

 private:
  void OnSocket(Tcp::socket socket);

  FrontOptions options;
  HttpLimits limits;
  std::shared_ptr<ClientShare> share;
  asio::io_context& context;
  Ring<FromFront>& ring;
  RingSender<FromFront> sender;
  DaemonMetrics& metrics;
  RequestReader reader;
  HttpListener listener;
  std::unordered_map<node::RequestHandle, std::weak_ptr<FrontConnection>>
      waiting;
  std::string id_prefix;
  uint64_t last_id = 0;
  node::RequestHandle last_handle = 0;
  std::atomic<bool> closing{false};
  std::atomic<size_t> in_flight{0};
};

}  // namespace fuchsiadrum::daemon
